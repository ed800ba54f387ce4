package runlease

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/internal/boottime"
)

const (
	origin = "origin"
	helper = "helper"
)

// errCut is the error of a call that is lost.
var errCut = errors.New("no reply")

// pair is a grantor and a holder with the path between them, in virtual time.
type pair struct {
	started time.Time
	grantor *Grantor
	holder  *Holder
	ctx     context.Context

	mu sync.Mutex
	// path returns the way of the next call. It is called with mu held.
	path func() leg
}

// leg is the way of a call and of its answer: their delays, and whether they arrive.
type leg struct {
	call, answer      time.Duration
	reached, answered bool
}

// whole and cut are the ways of calls over a path that works and over one that does not.
func whole() leg { return leg{reached: true, answered: true} }
func cut() leg   { return leg{} }

// setPath changes the path between the hosts.
func (p *pair) setPath(path func() leg) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.path = path
}

func (p *pair) nextLeg() leg {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.path()
}

// sleep returns false if the test has ended meanwhile.
func (p *pair) sleep(d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-p.ctx.Done():
		return false
	}
}

// callTimeout bounds the calls between the hosts.
const callTimeout = 700 * time.Millisecond

func newPair(ctx context.Context) *pair {
	p := &pair{started: time.Now(), ctx: ctx, path: whole}
	clock, logger := clockwork.NewRealClock(), slog.New(slog.DiscardHandler)
	p.grantor = NewGrantor(p.call, clock, logger)
	p.holder = NewHolder(HolderOptions{Call: p.call, Clock: clock, Boottime: p.now, Logger: logger})
	go func() { _ = p.holder.Run(ctx) }()
	return p
}

// now is never zero, like the time since a host has started.
func (p *pair) now() boottime.Instant { return boottime.Instant(time.Since(p.started) + time.Hour) }

// call calls the host of the given name over the path.
func (p *pair) call(ctx context.Context, host, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := p.nextLeg()
	data, err := json.Marshal(params)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		if !p.sleep(l.call) || !l.reached {
			return
		}
		var reply any
		var err error
		if host == origin && method == MethodRenew {
			reply, err = p.grantor.HandleRenew(p.ctx, helper, data)
		} else {
			reply, err = p.holder.HandleRevoke(p.ctx, origin, data)
		}
		if !p.sleep(l.answer) || !l.answered {
			return
		}
		if r, ok := result.(*renewed); ok && err == nil {
			*r = reply.(renewed)
		}
		done <- err
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return errCut
	}
}

// TestRequestGoesOnOnlyAfterTheRunBefore guards against a host that goes on with a request while
// the host that it gave it to still works on it, whatever is lost or late between the two.
func TestRequestGoesOnOnlyAfterTheRunBefore(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ms := func(most int, name string) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(rt, name)) * time.Millisecond
		}
		legs := rapid.SliceOfN(rapid.Custom(func(lt *rapid.T) leg {
			ms := func(most int, name string) time.Duration {
				return time.Duration(rapid.IntRange(0, most).Draw(lt, name)) * time.Millisecond
			}
			slow := rapid.SampledFrom([]int{5, 350, 3000}).Draw(lt, "slow_ms")
			return leg{
				call: ms(slow, "call_ms"), answer: ms(slow, "answer_ms"),
				reached: rapid.IntRange(0, 3).Draw(lt, "reached") > 0, answered: rapid.IntRange(0, 3).Draw(lt, "answered") > 0,
			}
		}), 1, 20).Draw(rt, "legs")
		cutFrom := rapid.IntRange(1, 20).Draw(rt, "cut_from")
		received, revoked, deadline := ms(1500, "received"), ms(9000, "revoked"), 20*time.Second
		var working atomic.Bool
		ended := true
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			p, n := newPair(ctx), 0
			p.setPath(func() leg {
				if n++; n > cutFrom {
					return cut()
				}
				return legs[n%len(legs)]
			})
			grant := p.grantor.Open(helper, "request")
			go func() {
				if !p.sleep(received) {
					return
				}
				l, err := p.holder.Acquire(ctx, origin, grant.ID())
				if err != nil {
					return
				}
				working.Store(true)
				<-l.Context().Done()
				working.Store(false)
				l.Release()
			}()
			time.Sleep(revoked)
			if grant.Revoke(ctx) == nil {
				synctest.Wait()
				ended = !working.Load()
				for range deadline / time.Second {
					time.Sleep(time.Second)
					ended = ended && !working.Load()
				}
			}
		})
		if !ended {
			rt.Fatal("the holder works on a request that its grantor has taken back")
		}
	})
}

// TestLeaseIsRenewedWhileTheGrantorWantsTheRun guards against a run that is ended although its
// host is wanted and reached, also if single renewals are lost.
func TestLeaseIsRenewedWhileTheGrantorWantsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, n := newPair(t.Context()), 0
		p.setPath(func() leg {
			n++
			return leg{call: time.Millisecond, answer: time.Millisecond, reached: n%3 != 2, answered: true}
		})
		l, err := p.holder.Acquire(t.Context(), origin, p.grantor.Open(helper, "request").ID())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Release()
		time.Sleep(time.Minute)
		if err := context.Cause(l.Context()); err != nil {
			t.Errorf("the run has ended: %v", err)
		}
	})
}

// TestRunEndsWhileItsHostIsCutOff guards against a run that goes on without end at a host that
// its grantor does not reach.
func TestRunEndsWhileItsHostIsCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		l, err := p.holder.Acquire(t.Context(), origin, p.grantor.Open(helper, "request").ID())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Release()
		p.setPath(cut)
		select {
		case <-l.Context().Done():
		case <-time.After(ttl + margin):
			t.Error("the run goes on")
		}
		if err := context.Cause(l.Context()); !errors.Is(err, ErrEnded) {
			t.Errorf("cause %v, want ErrEnded", err)
		}
	})
}

// TestSuspendedHolderHasNoLease guards against a host that was suspended with its timers and goes
// on with a request whose lease has ended meanwhile.
func TestSuspendedHolderHasNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		var suspended atomic.Int64
		p.holder.opts.Boottime = func() boottime.Instant { return p.now() + boottime.Instant(suspended.Load()) }
		l, err := p.holder.Acquire(t.Context(), origin, p.grantor.Open(helper, "request").ID())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Release()
		p.setPath(cut)
		synctest.Wait()
		suspended.Store(int64(ttl))
		time.Sleep(checkInterval)
		synctest.Wait()
		if l.Context().Err() == nil {
			t.Error("the run goes on after the host was suspended")
		}
	})
}

// TestRequestReceivedLateIsNotRun guards against a request that a host reads after the one that
// sent it has given it to another host.
func TestRequestReceivedLateIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		grant := p.grantor.Open(helper, "request")
		time.Sleep(time.Second)
		before := time.Now()
		if err := grant.Revoke(t.Context()); err != nil || time.Since(before) > 0 {
			t.Errorf("error %v after %v, want none at once: the host has not asked for the lease", err, time.Since(before))
		}
		if _, err := p.holder.Acquire(t.Context(), origin, grant.ID()); !errors.Is(err, ErrDenied) {
			t.Errorf("error %v, want ErrDenied", err)
		}
	})
}

// TestLeaseIsForOneHost guards against a host that works on a request which was given to another
// one.
func TestLeaseIsForOneHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		if _, err := p.holder.Acquire(t.Context(), origin, p.grantor.Open("other", "request").ID()); !errors.Is(err, ErrDenied) {
			t.Errorf("error %v, want ErrDenied", err)
		}
	})
}

// TestRevokedRunEndsAtOnce guards against a wait for the end of a lease at a host that can be
// told, and against one that says so before it has ended its work.
func TestRevokedRunEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		grant := p.grantor.Open(helper, "request")
		l, err := p.holder.Acquire(t.Context(), origin, grant.ID())
		if err != nil {
			t.Fatal(err)
		}
		const endTime = 50 * time.Millisecond
		go func() {
			<-l.Context().Done()
			time.Sleep(endTime)
			l.Release()
		}()
		before := time.Now()
		if err := grant.Revoke(t.Context()); err != nil || time.Since(before) != endTime {
			t.Errorf("error %v after %v, want none after %v", err, time.Since(before), endTime)
		}
	})
}

// TestHostOfAnEarlierReleaseEndsItsRunFirst guards against a request that goes on while a host
// which asks for no lease still waits for the probes of its connection.
func TestHostOfAnEarlierReleaseEndsItsRunFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		p.setPath(cut)
		grant := p.grantor.Open(helper, "request")
		time.Sleep(askTimeout)
		before := time.Now()
		if err := grant.Revoke(t.Context()); err != nil || time.Since(before) != unleasedTime {
			t.Errorf("error %v after %v, want none after %v", err, time.Since(before), unleasedTime)
		}
	})
}

// TestLeaseCountsFromTheQuestion guards against a lease that a holder counts from the answer, so
// that it outlasts the count of its grantor by the time that the answer took.
func TestLeaseCountsFromTheQuestion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair(t.Context())
		p.setPath(func() leg {
			p.path = cut // of the renewals
			return leg{answer: callTimeout - time.Millisecond, reached: true, answered: true}
		})
		asked := time.Now()
		l, err := p.holder.Acquire(t.Context(), origin, p.grantor.Open(helper, "request").ID())
		if err != nil {
			t.Fatal(err)
		}
		defer l.Release()
		<-l.Context().Done()
		if took := time.Since(asked); took > ttl+checkInterval {
			t.Errorf("the lease has lasted %v, want %v", took, ttl)
		}
	})
}

// TestLateGrantIsNotUsed guards against a run under a lease that was revoked, or has expired while
// the host was suspended, before its grant arrived.
func TestLateGrantIsNotUsed(t *testing.T) {
	for name, meanwhile := range map[string]func(p *pair, grant *Grant, suspend func()){
		"revoked": func(p *pair, grant *Grant, _ func()) { _ = grant.Revoke(p.ctx) },
		"expired": func(_ *pair, _ *Grant, suspend func()) { suspend() },
	} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair(t.Context())
			var suspended atomic.Int64
			p.holder.opts.Boottime = func() boottime.Instant { return p.now() + boottime.Instant(suspended.Load()) }
			p.setPath(func() leg {
				p.path = whole // of the revocation
				return leg{answer: callTimeout / 2, reached: true, answered: true}
			})
			grant := p.grantor.Open(helper, "request")
			go func() {
				p.sleep(callTimeout / 4)
				meanwhile(p, grant, func() { suspended.Store(int64(ttl)) })
			}()
			if l, err := p.holder.Acquire(t.Context(), origin, grant.ID()); !errors.Is(err, ErrDenied) {
				t.Errorf("%s: lease %v, error %v, want ErrDenied", name, l, err)
			}
		})
	}
}

// TestReleasedLeaseIsForgotten guards against a holder that goes on asking for leases whose work
// has ended, and keeps them in memory.
func TestReleasedLeaseIsForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		p := newPair(t.Context())
		p.setPath(func() leg {
			calls.Add(1)
			return whole()
		})
		l, err := p.holder.Acquire(t.Context(), origin, p.grantor.Open(helper, "request").ID())
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(ttl)
		l.Release()
		time.Sleep(checkInterval)
		before := calls.Load()
		time.Sleep(time.Minute)
		p.holder.mu.Lock()
		defer p.holder.mu.Unlock()
		if n := calls.Load(); n != before || before < 2 || len(p.holder.leases) > 0 || len(p.holder.asked) > 0 {
			t.Errorf("%d calls, then %d; %d leases and %d grantors are kept", before, n-before, len(p.holder.leases), len(p.holder.asked))
		}
	})
}
