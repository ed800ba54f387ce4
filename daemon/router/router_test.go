package router

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/relay"
)

// TestPartitionedHostKeepsItsRetryBudgetShare guards against a host that takes a
// larger share of the retry budget when it is partitioned from the other hosts,
// which still use their shares.
func TestPartitionedHostKeepsItsRetryBudgetShare(t *testing.T) {
	const fleet = 89
	h := &Host{}
	h.SetBounds(Bounds{RetryRatio: 0.9, RetryWindow: 10 * time.Second, ExtraRetries: 218})
	now := time.Unix(1000, 0)
	members := membership.NewTable(now, membership.Member{Host: "h0"})
	others := func(state membership.State) {
		for i := 1; i < fleet; i++ {
			members.Merge(now, membership.Member{Host: fmt.Sprint("h", i), State: state})
		}
	}
	others(membership.Alive)
	h.countHosts(members.Count())
	connected := h.relaySettings().Retry.ExtraRetries
	if got := h.relaySettings().Hosts; got != fleet {
		t.Errorf("got %d hosts that put load on engines, want all %d", got, fleet)
	}
	others(membership.Failed)
	h.countHosts(members.Count())
	if partitioned := h.relaySettings().Retry.ExtraRetries; partitioned > connected || partitioned*fleet > 218 {
		t.Errorf("got %.2f extra retries when partitioned, want at most the %.2f before and at most 218 over %d hosts", partitioned, connected, fleet)
	}
	if got := h.relaySettings().Hosts; got != 1 {
		t.Errorf("got %d hosts that put load on engines, want the live one only", got)
	}
}

// TestStoreReadersHaveFastLinks guards against store readers whose links are too slow
// to forward the state when many hosts start at once. The other hosts then serve
// with a stale configuration.
func TestStoreReadersHaveFastLinks(t *testing.T) {
	member := func(name, domain string, link int, state membership.State) membership.Member {
		return membership.Member{Host: name, FailureDomain: domain, LinkMbps: link, State: state}
	}
	readers, others := storeReaders([]membership.Member{
		member("a1", "a", 10, membership.Alive), member("a2", "a", 200, membership.Failed), member("a3", "a", 200, membership.Alive),
		member("a4", "a", 10, membership.Alive), member("a5", "a", 10, membership.Alive), member("b1", "b", 10, membership.Alive), member("b2", "b", 10, membership.Suspect),
	})
	names := func(members []membership.Member) []string {
		var out []string
		for _, m := range members {
			out = append(out, m.Host)
		}
		return out
	}
	if diff := cmp.Diff([]string{"a3", "b1", "a1"}, names(readers)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff([]string{"a4", "a5"}, names(others)); diff != "" {
		t.Errorf("hosts that would take their place: %s", diff)
	}
}

// TestFeedKeepsToTheBoundsOfTheDeployment guards against waits of the feed that leave no time
// for a second source of a change, as constants did where the deployment allows less than them.
func TestFeedKeepsToTheBoundsOfTheDeployment(t *testing.T) {
	h := &Host{}
	for _, limit := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second, 4 * time.Second, time.Minute} {
		h.SetBounds(Bounds{ChangeTime: limit})
		timing := h.feedTiming()
		if timing.Wait >= timing.FreshAge || timing.FreshAge >= timing.StaleAge {
			t.Errorf("limit %v: ages are not in order: %+v", limit, timing)
		}
		if worst := timing.StaleAge + maxPeerQueries*timing.Hedge; worst >= limit {
			t.Errorf("limit %v: %v until the last host is asked: %+v", limit, worst, timing)
		}
	}
}

// TestLateInAStopOnlyShortRequestsAreAccepted guards against requests that a stopping host
// accepts although they may outlast it, and that are cut without a complete answer.
func TestLateInAStopOnlyShortRequestsAreAccepted(t *testing.T) {
	const grace = 8 * time.Second
	clock := clockwork.NewFakeClock()
	h := &Host{opts: Options{Clock: clock, Logger: slog.New(slog.DiscardHandler)}}
	h.SetBounds(Bounds{GracePeriod: grace})
	h.servers = newServerService(h)
	if !h.accepts(relay.Prospect{Timeout: 20 * time.Second}) {
		t.Error("a running host rejects a request")
	}
	began := clock.Now()
	h.stop.Store(newShutdown(clock, grace))
	for _, step := range []struct {
		after, timeout time.Duration
		want           bool
	}{
		{time.Second, 20 * time.Second, true},
		{3 * time.Second, 20 * time.Second, false},
		{3 * time.Second, 0, false},
		{3 * time.Second, 1500 * time.Millisecond, true},
		{6500 * time.Millisecond, 1500 * time.Millisecond, false},
	} {
		clock.Advance(began.Add(step.after).Sub(clock.Now()))
		if got := h.accepts(relay.Prospect{Timeout: step.timeout}); got != step.want {
			t.Errorf("%v after the signal, timeout %v: accepted %t, want %t", step.after, step.timeout, got, step.want)
		}
	}
	h.servers.requests.Refuse()
	if h.accepts(relay.Prospect{Timeout: time.Millisecond}) {
		t.Error("a request is accepted after the last address list has expired")
	}
}

// TestChangedSettingsDoNotMoveTheEndOfAStop guards against a stop that is cut short, and
// against requests that are accepted beyond its end, because the grace period in the settings
// changed after the stop signal.
func TestChangedSettingsDoNotMoveTheEndOfAStop(t *testing.T) {
	const grace = 8 * time.Second
	clock := clockwork.NewFakeClock()
	// A shorter grace period applies, see TestGracePeriodThatChangesDuringAStop.
	for _, changed := range []time.Duration{0, 2 * grace} {
		h := &Host{opts: Options{Clock: clock, Logger: slog.New(slog.DiscardHandler)}}
		h.servers = newServerService(h)
		h.SetBounds(Bounds{GracePeriod: grace})
		stop := newShutdown(clock, grace)
		defer stop.cancel()
		h.stop.Store(stop)
		h.SetBounds(Bounds{GracePeriod: changed, RevocationTime: time.Second})
		clock.Advance(acceptAllTime)
		if !h.accepts(relay.Prospect{Timeout: grace - stopMargin(grace) - acceptAllTime}) {
			t.Errorf("grace period changed to %v: a request that fits the old one is rejected", changed)
		}
		if h.accepts(relay.Prospect{Timeout: grace - acceptAllTime}) {
			t.Errorf("grace period changed to %v: a request that lasts beyond the old one is accepted", changed)
		}
		if got := h.bounds.Load().RevocationTime; got != time.Second {
			t.Errorf("got revocation time %v, want the changed one", got)
		}
	}
}
