package soak

import (
	"context"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// disturbance is one kind of trouble; it returns when the trouble is over.
type disturbance struct {
	name string
	run  func(s *soak, ctx context.Context, pick func(n int) int, d time.Duration)
}

var disturbances = []disturbance{
	{"host killed", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		h := s.hosts[pick(len(s.hosts))]
		h.Kill()
		wait(ctx, d/2)
		s.restart(h)
	}},
	{"host stopped", func(s *soak, _ context.Context, pick func(int) int, _ time.Duration) {
		h := s.hosts[pick(len(s.hosts))]
		took, err := h.Stop(graceTime)
		if err != nil {
			s.report("%s stopped after %v: %v", h.Name, took, err)
		}
		s.restart(h)
	}},
	{"host paused", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.hosts[pick(len(s.hosts))].Pause(ctx, d)
	}},
	{"all hosts killed", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		for _, h := range s.hosts {
			h.Kill()
		}
		wait(ctx, d/4)
		for _, h := range s.hosts {
			s.restart(h)
		}
	}},
	{"store silent for a host", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		p := s.hosts[pick(len(s.hosts))].Store
		p.Silence()
		wait(ctx, d)
		p.Heal()
	}},
	{"store refuses a host", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		p := s.hosts[pick(len(s.hosts))].Store
		p.Refuse()
		wait(ctx, d)
		p.Heal()
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
		p.Heal()
	}},
	{"store down", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		s.d.Store.Down.Store(true)
		wait(ctx, d)
		s.d.Store.Down.Store(false)
	}},
	{"store down, entries lapse", func(s *soak, ctx context.Context, _ func(int) int, d time.Duration) {
		s.d.Store.Down.Store(true)
		wait(ctx, d)
		for _, e := range s.endpoints() {
			e.Unregister(s.d.Store)
		}
		s.d.Store.Down.Store(false)
	}},
	{"history of the store gone", func(s *soak, _ context.Context, _ func(int) int, _ time.Duration) {
		s.d.Store.Put("other/key", nil)
		s.d.Store.Compact(1 << 40)
	}},
	{"answers of an endpoint lost", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
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

const (
	// disturbFor are the shortest and longest time of a disturbance, disturbGap
	// the longest pause between two begins, so that they overlap.
	minDisturb = 500 * time.Millisecond
	maxDisturb = 7 * time.Second
	maxGap     = 2 * time.Second
)

// disturb begins disturbances at random for the time of the run and waits
// until the last one is over. A key is revoked on the way. One host is hit by
// one disturbance of its process at a time.
func (s *soak) disturb(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	var processes sync.Mutex
	revokeAt := time.Now().Add(s.Duration / 2)
	end := time.Now().Add(s.Duration)
	for time.Now().Before(end) && ctx.Err() == nil {
		k := s.rng.IntN(len(disturbances))
		x := disturbances[k]
		which, d := s.rng.Int(), minDisturb+time.Duration(s.rng.Int64N(int64(maxDisturb-minDisturb)))
		wg.Go(func() {
			if k < processDisturbances {
				processes.Lock()
				defer processes.Unlock()
			}
			s.log("%s, %v", x.name, d.Round(time.Millisecond))
			x.run(s, ctx, func(n int) int { return which % n }, d)
		})
		wait(ctx, time.Duration(s.rng.Int64N(int64(maxGap))))
		if s.history.Revoked.IsZero() && time.Now().After(revokeAt) {
			s.d.Configure(platformtest.ValidKey)
			s.history.Revoked = time.Now()
			s.log("key revoked")
		}
	}
}

// processDisturbances is the number of disturbances that act on processes.
const processDisturbances = 4

func (s *soak) restart(h *Host) {
	if err := h.Start(); err != nil {
		s.report("%s did not start: %v", h.Name, err)
	}
}

func (s *soak) endpoints() []*platformtest.Endpoint {
	return append(append([]*platformtest.Endpoint(nil), s.d.PlainEndpoints...), s.d.Engines...)
}
