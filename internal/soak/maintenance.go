package soak

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// signalFaults act on processes by signals and on their settings files.
var signalFaults = []fault{
	{"hosts stopped", func(s *soak, ctx context.Context, pick func(int) int, _ time.Duration) {
		s.stopHosts(ctx, faultRand(pick))
	}},
	{"hosts get SIGHUP", func(s *soak, ctx context.Context, pick func(int) int, _ time.Duration) {
		rng := faultRand(pick)
		hosts := s.someHosts(rng)
		for range 1 + rng.IntN(3) {
			for _, h := range hosts {
				h.Hangup()
				wait(ctx, time.Duration(rng.IntN(2))*time.Millisecond)
			}
			wait(ctx, randomTime(rng, maxSignalGap))
		}
	}},
	{"settings files damaged", func(s *soak, _ context.Context, pick func(int) int, _ time.Duration) {
		rng := faultRand(pick)
		var wg sync.WaitGroup
		for _, h := range s.someHosts(rng) {
			kind, d := damage(rng.IntN(int(damages))), randomTime(rng, maxDamageTime)
			wg.Go(func() { s.damageSettings(h, kind, d) })
			if rng.IntN(2) == 0 {
				h.Hangup()
			}
		}
		wg.Wait()
	}},
}

// planFaults are further faults of a run with maintenance only.
var planFaults = []fault{
	{"configuration written", func(s *soak, _ context.Context, pick func(int) int, _ time.Duration) {
		idle := minIdleTimeout + randomTime(faultRand(pick), maxIdle)
		s.d.SetLimits(map[string]any{"MaxBodyBytes": 1 << 20, "IdleTimeoutMs": idle.Milliseconds()})
		s.d.Configure(platformtest.ValidKey, platformtest.RevokedKey)
	}},
	{"endpoint replaced", func(s *soak, ctx context.Context, pick func(int) int, _ time.Duration) {
		s.replaceEndpoint(ctx, s.endpoints()[pick(len(s.endpoints()))])
	}},
}

const (
	// maxPlanGap bounds the time between two faults in a run with maintenance only.
	maxPlanGap = 1200 * time.Millisecond
	// minIdleTimeout is the lowest limit on the time for which callers leave a connection
	// idle. They keep to four fifths of it.
	minIdleTimeout = maxIdle*5/4 + time.Second/4
	// maxStopGap bounds the time between the stops of a series.
	maxStopGap = 1500 * time.Millisecond
	// maxSignalGap bounds the time between two signals of a series.
	maxSignalGap = 400 * time.Millisecond
	// maxDamageTime bounds the time for which a settings file is wrong.
	maxDamageTime = 1500 * time.Millisecond
	// maxDowntime bounds the time between the end of a process and the next one.
	maxDowntime = time.Second
)

// maintain runs random faults of signalFaults and planFaults that overlap, and waits until
// the last one has ended.
func (s *soak) maintain(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { s.injectMore(ctx, refusalFaults, 9) })
	wg.Go(func() { s.rollOut(ctx, rand.New(rand.NewPCG(s.Seed, 10))) })
	rng := rand.New(rand.NewPCG(s.Seed, 5))
	list := append(append([]fault(nil), signalFaults...), planFaults...)
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		f, target := list[rng.IntN(len(list))], rng.Int()
		s.log("%s", f.name)
		wg.Go(func() { f.run(s, ctx, func(n int) int { return target % n }, 0) })
		wait(ctx, randomTime(rng, maxPlanGap))
	}
}

// faultRand returns the random stream of one fault.
func faultRand(pick func(int) int) *rand.Rand {
	return rand.New(rand.NewPCG(uint64(pick(math.MaxInt)), 6))
}

func randomTime(rng *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(rng.Int64N(int64(limit)))
}

// someHosts returns one, several or most hosts in random order.
func (s *soak) someHosts(rng *rand.Rand) []*Host {
	n := 1
	switch rng.IntN(3) {
	case 1:
		n = 1 + rng.IntN(len(s.hosts))
	case 2:
		n = max(1, len(s.hosts)-1)
	}
	var hosts []*Host
	for _, i := range rng.Perm(len(s.hosts))[:n] {
		hosts = append(hosts, s.hosts[i])
	}
	return hosts
}

// stopHosts stops hosts, at once or one after the other, each while the one before may
// still stop, and starts them again.
func (s *soak) stopHosts(ctx context.Context, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	gap := time.Duration(rng.IntN(3)) * maxStopGap / 3
	for _, h := range s.someHosts(rng) {
		own := rand.New(rand.NewPCG(rng.Uint64(), 8))
		wg.Go(func() { s.cycle(ctx, h, own) })
		wait(ctx, gap)
	}
}

// cycle stops a host and starts it again, once or twice, unless it is already stopped,
// killed or paused.
func (s *soak) cycle(ctx context.Context, h *Host, rng *rand.Rand) {
	if !h.control.TryLock() {
		return
	}
	defer h.control.Unlock()
	for range 1 + rng.IntN(2) {
		signals := drawSignals(rng)
		s.log("%s stops, with %v", h.Name, signals)
		s.stop(h, signals.send)
		wait(ctx, randomTime(rng, maxDowntime))
		s.startDisturbed(ctx, h, rng)
		if rng.IntN(4) > 0 {
			// Otherwise the next stop comes right after the start.
			wait(ctx, randomTime(rng, maxDowntime))
		}
	}
}

// startDisturbed starts a host, in some cases with SIGHUP right after its start or a
// settings file that is wrong for a moment.
func (s *soak) startDisturbed(ctx context.Context, h *Host, rng *rand.Rand) {
	var wg sync.WaitGroup
	defer wg.Wait()
	kind, d, hangups := damage(rng.IntN(int(damages))), randomTime(rng, maxDamageTime), rng.IntN(3)
	if damaged := rng.IntN(4) == 0; damaged {
		wg.Go(func() { s.damageSettings(h, kind, d) })
		wait(ctx, d/2)
	}
	s.restart(h)
	for range hangups {
		h.Hangup()
		wait(ctx, randomTime(rng, maxSignalGap))
	}
}

func (s *soak) damageSettings(h *Host, kind damage, d time.Duration) {
	s.log("settings of %s %v for %v", h.Name, kind, d.Round(time.Millisecond))
	if err := h.Settings.Damage(kind, d); err != nil {
		s.addViolation("settings of %s: %v", h.Name, err)
	}
}

// stopSignals are the signals that a process gets while it stops.
type stopSignals struct {
	// At are the times of SIGHUP after SIGTERM. Every is the time between two further ones
	// until the process ends; zero for none.
	At    []time.Duration
	Every time.Duration
	// Term is the time of a second SIGTERM; zero for none.
	Term time.Duration
}

// drawSignals draws the signals of a stop.
func drawSignals(rng *rand.Rand) stopSignals {
	var out stopSignals
	for range rng.IntN(3) {
		out.At = append(out.At, randomTime(rng, gracePeriod))
	}
	if rng.IntN(3) == 0 {
		out.Every = 10*time.Millisecond + randomTime(rng, maxSignalGap/4)
	}
	if rng.IntN(3) == 0 {
		out.Term = 1 + randomTime(rng, gracePeriod)
	}
	return out
}

// send sends the signals until the process ends.
func (s stopSignals) send(ctx context.Context, p *process) {
	var wg sync.WaitGroup
	defer wg.Wait()
	later := func(d time.Duration, signal syscall.Signal) {
		wg.Go(func() {
			wait(ctx, d)
			p.signal(signal)
		})
	}
	for _, d := range s.At {
		later(d, syscall.SIGHUP)
	}
	if s.Term > 0 {
		later(s.Term, syscall.SIGTERM)
	}
	for s.Every > 0 && ctx.Err() == nil {
		wait(ctx, s.Every)
		p.signal(syscall.SIGHUP)
	}
}

// replaceEndpoint drains an endpoint, waits for its requests, and starts it again.
func (s *soak) replaceEndpoint(ctx context.Context, e *platformtest.Endpoint) {
	if !e.Draining.CompareAndSwap(false, true) {
		return
	}
	defer e.Draining.Store(false)
	wait(ctx, drainBound+idlePoll)
	for end := time.Now().Add(longCallTimeout); !e.Idle() && time.Now().Before(end); {
		wait(ctx, idlePoll)
	}
	if e.Idle() {
		e.Restart(s.d.Store)
	}
}

// idlePoll is the time between two looks at the requests of an endpoint that drains.
const idlePoll = 500 * time.Millisecond
