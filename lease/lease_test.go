package lease

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

var bg = context.Background()

// candidate is one host with its own clock and its own faulty connection to the
// store.
type candidate struct {
	*Candidate
	clock *clockwork.FakeClock
	kv    *memkv.Faulty
}

// fencedResource rejects orders with an old fencing token.
type fencedResource struct{ highest int64 }

func (f *fencedResource) accept(fencing int64) bool {
	ok := fencing >= f.highest
	f.highest = max(f.highest, fencing)
	return ok
}

// slowReplies advances the clocks between the effect of a lease call and its reply.
type slowReplies struct {
	kv.KV
	after func()
}

func (s slowReplies) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	defer s.after()
	return s.KV.GrantLease(ctx, ttl)
}

func (s slowReplies) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	defer s.after()
	return s.KV.KeepAlive(ctx, id)
}

// simulation is a set of candidates for one role, the store that they share, and a
// resource that checks fencing tokens. fencing and holder are the newest observed
// fencing token and its holder.
type simulation struct {
	delay      time.Duration
	storeClock *clockwork.FakeClock
	candidates []*candidate
	resource   fencedResource
	fencing    int64
	holder     *candidate
}

func newSimulation(n int) *simulation {
	sim := &simulation{storeClock: clockwork.NewFakeClock()}
	store := memkv.New(sim.storeClock)
	for i := range n {
		c := &candidate{clock: clockwork.NewFakeClock(), kv: memkv.NewFaulty(store, sim.storeClock)}
		cfg := Config{Role: "allocator", Host: fmt.Sprint("h", i), Logger: slog.New(slog.DiscardHandler)}
		slow := slowReplies{KV: c.kv, after: func() { sim.advance(sim.delay) }}
		c.Candidate = New(slow, c.clock, rand.New(rand.NewPCG(1, uint64(i))), cfg)
		sim.candidates = append(sim.candidates, c)
	}
	return sim
}

// advance moves all clocks; the clock of candidate i runs 5%*i slower than the
// store's.
func (sim *simulation) advance(d time.Duration) {
	sim.storeClock.Advance(d)
	for i, c := range sim.candidates {
		c.clock.Advance(d - d*time.Duration(i)/20)
	}
}

// check fails if there are two valid holders or if the fencing token does not rise
// with a change of holder.
func (sim *simulation) check(rt *rapid.T) {
	var valid *candidate
	for _, c := range sim.candidates {
		tok, ok := c.Token()
		if !ok {
			continue
		}
		if valid != nil {
			rt.Fatalf("two valid holders, %s and %s, want at most one", valid.cfg.Host, c.cfg.Host)
		}
		valid = c
		if tok.Fencing < sim.fencing || tok.Fencing == sim.fencing && sim.holder != c {
			rt.Fatalf("fencing token %d of %s after token %d, want a higher one for a new holder", tok.Fencing, c.cfg.Host, sim.fencing)
		}
		sim.fencing, sim.holder = tok.Fencing, c
	}
}

// TestOneHolder guards against two hosts that act for one role at the same time, a
// fencing token that falls or is used twice, and a late action of a paused holder
// that the resource accepts or that Guard reports as successful.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(3)
		pick := rapid.SampledFrom(sim.candidates)
		seconds := rapid.IntRange(1, 12)
		stepOthers := func(paused *candidate) {
			for _, c := range sim.candidates {
				if c != paused {
					c.step(bg)
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"":     sim.check,
			"step": func(rt *rapid.T) { pick.Draw(rt, "host").step(bg) },
			"advance": func(rt *rapid.T) {
				sim.advance(time.Duration(seconds.Draw(rt, "s")) * time.Second)
			},
			"clock jump": func(rt *rapid.T) {
				pick.Draw(rt, "host").clock.Advance(time.Duration(seconds.Draw(rt, "s")) * time.Second)
			},
			"fault": func(rt *rapid.T) {
				fault := rapid.SampledFrom([]memkv.Fault{memkv.Outage, memkv.ReplyLost, memkv.RequestLost, memkv.StaleReads}).Draw(rt, "fault")
				pick.Draw(rt, "host").kv.Inject(fault, rapid.IntRange(1, 4).Draw(rt, "calls"))
			},
			"slow replies": func(rt *rapid.T) {
				sim.delay = time.Duration(rapid.IntRange(0, 9).Draw(rt, "s")) * time.Second
			},
			"release": func(rt *rapid.T) { pick.Draw(rt, "host").release(bg) },
			"act, perhaps paused": func(rt *rapid.T) {
				c, pause := pick.Draw(rt, "host"), seconds.Draw(rt, "s")
				others := rapid.Bool().Draw(rt, "others step")
				late := false
				err := c.Guard(bg, func(_ context.Context, fencing int64) error {
					for range pause {
						sim.advance(time.Second)
						if others {
							stepOthers(c)
							sim.check(rt)
						}
						late = late || sim.holder != c
						if sim.holder != c {
							sim.resource.accept(sim.fencing)
						}
					}
					if accepted := sim.resource.accept(fencing); accepted && late {
						rt.Fatalf("resource accepted a late order of %s, want it rejected", c.cfg.Host)
					}
					return nil
				})
				if late && !errors.Is(err, ErrLeaseLapsed) {
					rt.Fatalf("Guard returned %v after another host acquired the role, want ErrLeaseLapsed", err)
				}
				if _, ok := c.Token(); !ok && err == nil {
					rt.Fatalf("Guard returned nil without a valid lease, want an error")
				}
			},
		})
		sim.delay = 0
		for _, c := range sim.candidates {
			c.kv.ClearAll()
		}
		sim.checkConverged(rt)
	})
}

// checkConverged fails if no host holds the role 40 s after the faults end.
func (sim *simulation) checkConverged(rt *rapid.T) {
	for range 40 {
		sim.advance(time.Second)
		for _, c := range sim.candidates {
			c.step(bg)
		}
		sim.check(rt)
	}
	if _, ok := sim.holder.Token(); !ok {
		rt.Fatal("no valid holder 40 s after the faults ended")
	}
}

// TestRecognizesOwnWrite guards against a candidate that doesn't act for a TTL
// although it holds the role, because the reply of its write was lost.
func TestRecognizesOwnWrite(t *testing.T) {
	sim := newSimulation(1)
	c := sim.candidates[0]
	c.kv.OnCall(func(call memkv.Call, _ string) memkv.Fault {
		if call == memkv.CallCompareAndSwap {
			return memkv.ReplyLost
		}
		return memkv.None
	})
	c.step(bg)
	if tok, ok := c.Token(); !ok || tok.Fencing != 1 {
		t.Fatalf("Token() = %v, %v, want a valid token with fencing 1", tok, ok)
	}
}

// TestOldAttempt guards against a candidate that mistakes its own earlier write,
// which the store holds under an older lease, for the write of its current attempt.
// Its token would outlast that lease.
func TestOldAttempt(t *testing.T) {
	sim := newSimulation(1)
	c := sim.candidates[0]
	c.kv.Inject(memkv.StaleReads, memkv.Always) // reads show the role as not held
	c.kv.OnCall(func(call memkv.Call, _ string) memkv.Fault {
		if call == memkv.CallCompareAndSwap {
			return memkv.ReplyLost
		}
		return memkv.None
	})
	c.step(bg)
	sim.advance(DefaultTTL / 2)
	c.step(bg) // a second attempt, in conflict with the write of the first
	c.kv.ClearAll()
	c.step(bg)
	if tok, ok := c.Token(); ok && tok.ValidUntil.After(c.clock.Now().Add(DefaultTTL/2)) {
		t.Fatalf("token %v outlasts the lease of the first attempt", tok)
	}
}

// TestSlowReply guards against a token whose validity is counted from the reply.
// The store may count the lease from as early as the call.
func TestSlowReply(t *testing.T) {
	sim := newSimulation(1)
	c := sim.candidates[0]
	sim.delay = DefaultMargin
	for range 2 { // grant, then renewal
		called := c.clock.Now()
		c.step(bg)
		if tok, _ := c.Token(); !tok.ValidUntil.Equal(called.Add(DefaultTTL - DefaultMargin)) {
			t.Fatalf("token %v for a call at %v, want it valid until TTL minus margin after the call", tok, called)
		}
	}
}

// TestActionEndsWithItsToken guards against an action that goes on after its token has lapsed,
// until the next renewal fails, while another host already holds the role.
func TestActionEndsWithItsToken(t *testing.T) {
	const limit = 10 * time.Second // for the action to notice
	sim := newSimulation(2)
	a, b := sim.candidates[0], sim.candidates[1]
	a.step(bg)
	a.kv.Inject(memkv.Outage, memkv.Always)
	err := a.Guard(bg, func(ctx context.Context, _ int64) error {
		sim.advance(DefaultTTL - DefaultMargin - time.Second)
		a.step(bg) // fails while the token is valid
		if ctx.Err() != nil {
			t.Error("action cancelled while its token is valid")
		}
		sim.advance(DefaultMargin + time.Second)
		if b.step(bg); b.currentTerm() == nil {
			t.Error("the other host does not hold the role")
		}
		select {
		case <-ctx.Done():
		case <-time.After(limit):
			t.Error("the action of the first host goes on")
		}
		return nil
	})
	if !errors.Is(err, ErrLeaseLapsed) {
		t.Errorf("Guard returned %v, want ErrLeaseLapsed", err)
	}
}

// sleepClock reports each time that Run starts to wait.
type sleepClock struct {
	*clockwork.FakeClock
	asleep chan struct{}
}

func (c sleepClock) After(d time.Duration) <-chan time.Time {
	ch := c.FakeClock.After(d)
	c.asleep <- struct{}{}
	return ch
}

// TestRun guards against a Run that does not renew the role, that keeps it after
// its context ended, or that releases it while an action is still running.
func TestRun(t *testing.T) {
	sim := newSimulation(2)
	a, b := sim.candidates[0], sim.candidates[1]
	clock := sleepClock{a.clock, make(chan struct{}, 8)}
	a.Candidate = New(a.kv, clock, a.rng, a.cfg)
	ctx, cancel := context.WithCancel(bg)
	done := make(chan error)
	go func() { done <- a.Run(ctx) }()
	for range 12 { // longer than one TTL
		<-clock.asleep
		sim.advance(DefaultTTL / renewalsPerTTL)
	}
	<-clock.asleep
	err := a.Guard(bg, func(ctx context.Context, _ int64) error {
		cancel()
		<-ctx.Done()
		if b.step(bg); b.currentTerm() != nil {
			t.Error("role released while an action is running")
		}
		return nil
	})
	if !errors.Is(err, ErrLeaseLapsed) {
		t.Errorf("Guard with the release during its action: got %v, want ErrLeaseLapsed", err)
	}
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if b.step(bg); b.currentTerm() == nil {
		t.Fatal("role not released when Run ended")
	}
}
