package soak

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// refusalFaults act on endpoints that refuse new connections and finish their answers.
var refusalFaults = []fault{
	{"endpoints refuse new connections", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.withEndpoints(faultRand(pick), func(e *platformtest.Endpoint) { s.refuse(ctx, e, d) })
	}},
	{"endpoints leave and return", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		s.withEndpoints(faultRand(pick), func(e *platformtest.Endpoint) { s.leave(ctx, e, d) })
	}},
}

// withEndpoints runs a function for some endpoints at once: engines, at times all of them, or
// any endpoints.
func (s *soak) withEndpoints(rng *rand.Rand, run func(e *platformtest.Endpoint)) {
	list := slices.Concat(s.d.Engines, s.d.Spares)
	if rng.IntN(3) == 0 {
		list = s.allEndpoints()
	}
	n := len(list)
	if rng.IntN(2) == 0 {
		n = 1 + rng.IntN(n)
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, i := range rng.Perm(len(list))[:n] {
		s.log("%s refuses connections", list[i].ID)
		wg.Go(func() { run(list[i]) })
	}
}

// refuse makes an endpoint refuse new connections for some time.
func (s *soak) refuse(ctx context.Context, e *platformtest.Endpoint, d time.Duration) {
	if err := e.Refuse(); err != nil {
		s.addViolation("%s does not stop listening: %v", e.ID, err)
	}
	wait(ctx, d)
	if err := e.Accept(); err != nil {
		s.addViolation("%s does not listen again: %v", e.ID, err)
	}
}

// leave makes an endpoint finish its answers and end, and starts it again after some time.
func (s *soak) leave(ctx context.Context, e *platformtest.Endpoint, d time.Duration) {
	back := time.After(d)
	leaveCtx, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	if err := e.Leave(leaveCtx); err != nil {
		s.log("%s was ended with answers under way: %v", e.ID, err)
	}
	select {
	case <-back:
	case <-ctx.Done():
	}
	if err := e.Start(); err != nil {
		s.addViolation("%s does not start again: %v", e.ID, err)
	}
}

const (
	// rolloutTime is the time within which a roll-out is ordered to end. rolloutSlack is the
	// time after that until which it is watched.
	rolloutTime  = 5 * time.Second
	rolloutSlack = 5 * time.Second
	// statusPoll is the time between two looks at the state of a roll-out.
	statusPoll = 20 * time.Millisecond
)

// rollOut has the engines replaced by those of another version. When the roll-out ends, the
// engines of the version that is given up refuse connections at once and finish their answers.
func (s *soak) rollOut(ctx context.Context, rng *rand.Rand) {
	wait(ctx, randomTime(rng, s.Duration/4))
	for _, e := range s.d.Spares {
		if err := e.Launch(); err != nil {
			s.addViolation("%s does not start: %v", e.ID, err)
		}
	}
	s.d.OrderRollout(platformtest.TargetVersion, rolloutTime)
	state := s.awaitRollout(ctx)
	s.log("roll-out %s", state)
	switch state {
	case "completed":
		s.retire(ctx, s.d.Engines)
	case "reverted":
		s.retire(ctx, s.d.Spares)
	}
}

// awaitRollout returns the state in which the roll-out ends.
func (s *soak) awaitRollout(ctx context.Context) string {
	const running = "in_progress"
	state := running
	for end := time.Now().Add(rolloutTime + rolloutSlack); state == running && ctx.Err() == nil && time.Now().Before(end); {
		wait(ctx, statusPoll)
		state = cmp.Or(s.d.Store.Status(ctx, platformtest.EngineService), running)
	}
	return state
}

// retire ends engines, each after its answers, and deletes their entries then.
func (s *soak) retire(ctx context.Context, engines []*platformtest.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, longCallTimeout)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, e := range engines {
		wg.Go(func() {
			if err := e.Retire(ctx); err != nil {
				s.log("%s was ended with answers under way: %v", e.ID, err)
			}
			e.Unregister(s.d.Store)
		})
	}
}
