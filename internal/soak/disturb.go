package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// fault is one kind of injected fault; run returns when the fault has ended.
type fault struct {
	name string
	run  func(s *soak, ctx context.Context, pick func(n int) int, d time.Duration)
}

var faults = []fault{
	{"host killed", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		h := s.hosts[pick(len(s.hosts))]
		h.control.Lock()
		defer h.control.Unlock()
		h.Kill()
		wait(ctx, d/2)
		s.restart(h)
	}},
	{"host stopped", func(s *soak, _ context.Context, pick func(int) int, _ time.Duration) {
		h := s.hosts[pick(len(s.hosts))]
		h.control.Lock()
		defer h.control.Unlock()
		s.stop(h, nil)
		s.restart(h)
	}},
	{"host paused", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.hosts[pick(len(s.hosts))].Pause(ctx, d)
	}},
	{"all hosts killed", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		for _, h := range s.hosts {
			h.control.Lock()
			defer h.control.Unlock()
			h.Kill()
		}
		wait(ctx, d/4)
		for _, h := range s.hosts {
			s.restart(h)
		}
	}},
	{"store stalled for a host", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		p := s.hosts[pick(len(s.hosts))].Store
		p.Stall()
		wait(ctx, d)
		p.ClearFaults()
	}},
	{"store refuses connections of a host", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		p := s.hosts[pick(len(s.hosts))].Store
		p.Refuse()
		wait(ctx, d)
		p.ClearFaults()
	}},
	{"connections to the store reset", func(s *soak, _ context.Context, _ func(int) int, _ time.Duration) {
		for _, h := range s.hosts {
			h.Store.Reset()
		}
	}},
	{"store slow for a host", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		p := s.hosts[pick(len(s.hosts))].Store
		p.Delay(200 * time.Millisecond)
		wait(ctx, d)
		p.ClearFaults()
	}},
	{"store down", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		s.d.Store.Down.Store(true)
		wait(ctx, d)
		s.d.Store.Down.Store(false)
	}},
	{"store down, entries expire", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		s.d.Store.Down.Store(true)
		wait(ctx, d)
		for _, e := range s.endpoints() {
			e.Unregister(s.d.Store)
		}
		s.d.Store.Down.Store(false)
	}},
	{"store history compacted", func(s *soak, _ context.Context, _ func(int) int, _ time.Duration) {
		s.d.Store.Put("other/key", nil)
		s.d.Store.Compact(math.MaxInt64)
	}},
	{"endpoint loses answers", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		e := s.endpoints()[pick(len(s.endpoints()))]
		e.LoseEvery.Store(3)
		wait(ctx, d)
		e.LoseEvery.Store(0)
	}},
	{"endpoint fails", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		e := s.endpoints()[pick(len(s.endpoints()))]
		e.FailEvery.Store(2)
		wait(ctx, d)
		e.FailEvery.Store(0)
	}},
	{"streams cut", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		e := s.d.Engines[pick(len(s.d.Engines))]
		e.CutEvery.Store(2)
		wait(ctx, d)
		e.CutEvery.Store(0)
	}},
}

// laterFaults are drawn by a generator of their own, so that a seed keeps the faults
// that it draws from the list above.
var laterFaults = []fault{
	{"store restored from a copy", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		backup := s.d.Store.Copy()
		wait(ctx, d)
		s.d.Store.Down.Store(true)
		wait(ctx, d/4)
		s.d.RestoreStore(backup)
		s.d.Store.Down.Store(false)
	}},
	{"answers end after their header", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		e := s.d.Engines[pick(len(s.d.Engines))]
		e.HeaderOnlyEvery.Store(2)
		wait(ctx, d)
		e.HeaderOnlyEvery.Store(0)
	}},
	{"streams cut and not resumed", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		for _, e := range s.d.Engines {
			e.CutEvery.Store(3)
			e.UnknownEvery.Store(2)
		}
		wait(ctx, d)
		for _, e := range s.d.Engines {
			e.CutEvery.Store(0)
			e.UnknownEvery.Store(0)
		}
	}},
}

// linkFaults act on the paths between hosts and endpoints.
var linkFaults = []fault{
	{"links lost silently", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.loseLinks(ctx, platformtest.LinkSilent, pick, d)
	}},
	{"links lost one way", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.loseLinks(ctx, platformtest.LinkOneWay, pick, d)
	}},
	{"links reset", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.loseLinks(ctx, platformtest.LinkReset, pick, d)
	}},
	{"no new connections", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.loseLinks(ctx, platformtest.LinkNoNew, pick, d)
	}},
	{"endpoint silent for a moment", func(s *soak, ctx context.Context, pick func(int) int, _ time.Duration) {
		e := s.endpoints()[pick(len(s.endpoints()))]
		e.Silent.Store(true)
		wait(ctx, silentTime)
		e.Silent.Store(false)
	}},
}

// endlessFaults act on endpoints that send bytes without end.
var endlessFaults = []fault{
	{"endpoint sends without end", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		e := s.endpoints()[pick(len(s.endpoints()))]
		kind := 1 + platformtest.Endless(pick(int(platformtest.EndlessKinds)-1))
		s.log("%s sends without end, kind %d", e.ID, kind)
		e.Endless.Store(int64(kind))
		wait(ctx, d)
		e.Endless.Store(int64(platformtest.EndlessNone))
	}},
}

// silentTime is the time for which a sound endpoint sends nothing.
const silentTime = 1500 * time.Millisecond

// loseLinks cuts some hosts, at times all, off from the endpoints.
func (s *soak) loseLinks(ctx context.Context, state platformtest.LinkState, pick func(int) int, d time.Duration) {
	first, n := pick(len(s.hosts)), 1+pick(2*len(s.hosts)+1)%len(s.hosts)
	set := func(state platformtest.LinkState) {
		for i := range n {
			s.setLink(s.hosts[(first+i)%len(s.hosts)], state)
		}
	}
	s.log("%d hosts from %s on lose their links", n, s.hosts[first].Name)
	set(state)
	wait(ctx, d)
	set(platformtest.LinkUp)
}

const (
	// minFaultTime and maxFaultTime bound the duration of a fault. maxFaultGap
	// bounds the time between the starts of two faults and is shorter than
	// maxFaultTime, so that faults overlap.
	minFaultTime = 500 * time.Millisecond
	maxFaultTime = 7 * time.Second
	maxFaultGap  = 2 * time.Second
)

// injectFaults starts random faults for the duration of the run and waits until
// the last one has ended. It revokes a key after half of the duration. Faults of the
// first list that act on processes run one at a time.
func (s *soak) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var processes sync.Mutex
	wg.Go(func() { s.injectMore(ctx, laterFaults, 2) })
	wg.Go(func() { s.injectMore(ctx, linkFaults, 3) })
	wg.Go(func() { s.injectMore(ctx, signalFaults, 4) })
	wg.Go(func() { s.injectMore(ctx, endlessFaults, 5) })
	wg.Go(func() { s.injectMore(ctx, refusalFaults, 9) })
	wg.Go(func() { s.injectMore(ctx, pathFaults, pathStream) })
	revokeAt := time.Now().Add(s.Duration / 2)
	end := time.Now().Add(s.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		k := s.rng.IntN(len(faults))
		f := faults[k]
		target, d := s.rng.Int(), minFaultTime+time.Duration(s.rng.Int64N(int64(maxFaultTime-minFaultTime)))
		wg.Go(func() {
			if k < processFaults {
				processes.Lock()
				defer processes.Unlock()
			}
			s.log("%s, %v", f.name, d.Round(time.Millisecond))
			f.run(s, ctx, func(n int) int { return target % n }, d)
		})
		wait(ctx, time.Duration(s.rng.Int64N(int64(maxFaultGap))))
		if s.history.Revoked.IsZero() && time.Now().After(revokeAt) {
			s.d.Configure(platformtest.ValidKey)
			s.history.Revoked = time.Now()
			s.log("key revoked")
		}
	}
}

// maxLaterFaultGap bounds the time between two faults of laterFaults or linkFaults.
const maxLaterFaultGap = 4 * time.Second

// injectMore runs random faults of a list, one after the other, from a random stream of
// their own.
func (s *soak) injectMore(ctx context.Context, list []fault, stream uint64) {
	rng := rand.New(rand.NewPCG(s.Seed, stream))
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		wait(ctx, time.Duration(rng.Int64N(int64(maxLaterFaultGap))))
		f := list[rng.IntN(len(list))]
		target, d := rng.Int(), minFaultTime+time.Duration(rng.Int64N(int64(maxFaultTime-minFaultTime)))
		s.log("%s, %v", f.name, d.Round(time.Millisecond))
		f.run(s, ctx, func(n int) int { return target % n }, d)
	}
}

// processFaults is the number of faults that act on processes; they come first
// in faults.
const processFaults = 4

// stop shuts a host down gracefully. The caller holds its control.
func (s *soak) stop(h *Host, meanwhile func(ctx context.Context, p *process)) {
	took, err := h.Stop(stopTimeout, meanwhile)
	s.log("%s ended after %v", h.Name, took.Round(time.Millisecond))
	if err != nil {
		s.addViolation("%s ended %v after SIGTERM: %v", h.Name, took.Round(time.Millisecond), err)
	}
}

func (s *soak) restart(h *Host) {
	if err := h.Start(); err != nil {
		s.addViolation("%s did not start: %v", h.Name, err)
	}
}

func (s *soak) endpoints() []*platformtest.Endpoint {
	return append(append([]*platformtest.Endpoint(nil), s.d.PlainEndpoints...), s.d.Engines...)
}

// allEndpoints returns also the engines of the version that a roll-out brings.
func (s *soak) allEndpoints() []*platformtest.Endpoint { return append(s.endpoints(), s.d.Spares...) }
