package limiter_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

var errNoAnswer = errors.New("no answer")

// permitFleet simulates hosts that send to one endpoint with a rate limit. Hosts die,
// and each of the others notices it at a time of its own.
type permitFleet struct {
	rng   *rand.Rand
	clock *clockwork.FakeClock
	hosts []*permitHost
	// lossy is the share of the questions between hosts that get no answer.
	lossy float64
}

type permitHost struct {
	fleet   *permitFleet
	index   int
	permits *limiter.Permits
	died    time.Time // zero while it is alive
	// noticeAfter is how long after its death the host learns of another one's.
	noticeAfter time.Duration
	told        bool
}

// Granter implements limiter.PermitPeers: the first host that this one takes for alive.
func (h *permitHost) Granter(string) (string, bool) {
	for _, o := range h.fleet.hosts {
		noticed := !o.died.IsZero() && h.fleet.clock.Since(o.died) > h.noticeAfter
		if !noticed && o != h {
			return fmt.Sprint(o.index), true
		}
		if o == h {
			return "", true
		}
	}
	return "", true
}

// Ask implements limiter.PermitPeers. The answer may be lost after the permit was
// granted.
func (h *permitHost) Ask(_ context.Context, host string, req limiter.PermitRequest) (limiter.PermitReply, error) {
	for _, o := range h.fleet.hosts {
		if fmt.Sprint(o.index) == host && o.died.IsZero() {
			reply := o.permits.Grant(req)
			if h.fleet.rng.Float64() < h.fleet.lossy {
				return limiter.PermitReply{}, errNoAnswer
			}
			return reply, nil
		}
	}
	return limiter.PermitReply{}, errNoAnswer
}

// Hosts implements limiter.PermitPeers.
func (h *permitHost) Hosts() int { return len(h.fleet.hosts) }

// SharesCold implements limiter.PermitPeers: the first three hosts.
func (h *permitHost) SharesCold(string) bool { return h.index < 3 }

// Incarnation implements limiter.PermitPeers: a dead host does not return.
func (h *permitHost) Incarnation() int64 { return 0 }

func newPermitFleet(seed uint64, hosts int) *permitFleet {
	f := &permitFleet{rng: rand.New(rand.NewPCG(seed, 1)), clock: clockwork.NewFakeClockAt(epoch)}
	for i := range hosts {
		h := &permitHost{fleet: f, index: i, noticeAfter: time.Duration(1000+f.rng.IntN(2000)) * time.Millisecond}
		h.permits = limiter.NewPermits(f.clock, slog.New(slog.DiscardHandler), h)
		f.hosts = append(f.hosts, h)
	}
	return f
}

// TestHostsTogetherKeepTheNamedLimit guards against hosts that each keep an endpoint's
// limit and together exceed it, also when the host that grants the permits dies and its
// successor starts, at any number of hosts and any limit; and against an endpoint that
// gets far less than it takes.
func TestHostsTogetherKeepTheNamedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			window = 4 * time.Second
			step   = 20 * time.Millisecond
			length = 40 * time.Second
		)
		f := newPermitFleet(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 2, 6, 7, 64, 295}).Draw(t, "hosts"))
		rate := rapid.SampledFrom([]float64{0.3, 1, 1.1, 5, 40}).Draw(t, "rate")
		f.lossy = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "lost answers")
		killEvery := rapid.SampledFrom([]time.Duration{0, 9 * time.Second, 15 * time.Second}).Draw(t, "kill every")
		var sent []time.Time
		for elapsed := time.Duration(0); elapsed < length; elapsed += step {
			f.clock.Advance(step)
			if killEvery > 0 && elapsed > 0 && elapsed%killEvery == 0 {
				f.killGranter()
			}
			for range 3 { // 150 attempts a second
				h := f.hosts[f.rng.IntN(len(f.hosts))]
				if !h.died.IsZero() || h.permits.Acquire(context.Background(), "e") > 0 {
					continue
				}
				if h.told {
					sent = append(sent, f.clock.Now())
				}
				h.told = true
				h.permits.Observe("e", f.clock.Now(), rate)
			}
		}
		settled := 0
		for i, from := range sent {
			if from.Sub(epoch) < 5*time.Second {
				continue // before all hosts know the limit
			}
			settled++
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < window {
					n++
				}
			}
			if allowed := 1.5*window.Seconds()*rate + 5; float64(n) > allowed {
				t.Fatalf("%d requests in %v from %v on, want at most %v", n, window, from.Sub(epoch), allowed)
			}
		}
		if calm := f.lossy == 0 && killEvery == 0 && len(f.hosts) <= 7; calm && float64(settled) < 0.7*rate*(length-5*time.Second).Seconds() {
			t.Errorf("%d requests in %v, want about %v a second", settled, length-5*time.Second, rate)
		}
	})
}

// killGranter kills the host that grants the permits, unless few are left.
func (f *permitFleet) killGranter() {
	alive := 0
	for _, h := range f.hosts {
		if h.died.IsZero() {
			alive++
		}
	}
	for _, h := range f.hosts {
		if h.died.IsZero() && alive > 1 {
			h.died = f.clock.Now()
			return
		}
	}
}

// TestLimitEndsWithTheAnswerThatNamesNone guards against a limit that is kept after the
// endpoint has recovered, and against one that ends with a late answer to a request from
// before.
func TestLimitEndsWithTheAnswerThatNamesNone(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	permits := limiter.NewPermits(clock, slog.New(slog.DiscardHandler), limiter.LocalPermits{})
	before := clock.Now()
	clock.Advance(time.Second)
	permits.Observe("e", clock.Now(), 1)
	permits.Observe("e", before, 0)
	if permits.Acquire(context.Background(), "e") == 0 {
		t.Error("an answer to an earlier request ended the limit")
	}
	clock.Advance(time.Second)
	permits.Observe("e", clock.Now(), 0)
	for range 10 {
		if permits.Acquire(context.Background(), "e") > 0 || len(permits.Denials()) > 0 {
			t.Fatal("the endpoint names no limit any more, but requests are denied")
		}
	}
}

// TestLimitsReachHostsWithoutAnswers guards against a host that sends at full rate
// because the endpoint has answered only others, and against an old limit that replaces
// a newer one.
func TestLimitsReachHostsWithoutAnswers(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	first := limiter.NewPermits(clock, slog.New(slog.DiscardHandler), limiter.LocalPermits{})
	second := limiter.NewPermits(clock, slog.New(slog.DiscardHandler), limiter.LocalPermits{})
	exchange := func(from, to *limiter.Permits) {
		data, err := from.Marks()
		if err != nil {
			t.Fatal(err)
		}
		if err := to.MergeMarks(data); err != nil {
			t.Fatal(err)
		}
	}
	first.Observe("e", clock.Now(), 1)
	exchange(first, second)
	if second.Acquire(context.Background(), "e") == 0 {
		t.Error("the host sends without a permit")
	}
	clock.Advance(2 * time.Second)
	second.Observe("e", clock.Now(), 0)
	exchange(first, second)
	if second.Acquire(context.Background(), "e") > 0 {
		t.Error("an older limit replaced the newer answer without one")
	}
	if second.MergeMarks([]byte("{")) == nil {
		t.Error("got no error for a malformed message")
	}
}
