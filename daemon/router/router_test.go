package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/corianderlever/corianderlever/membership"
)

// TestCutOffHostKeepsItsPartOfTheRetryBudget guards against a host that takes a
// larger part of the shared budget when it loses sight of the others: they go on
// with theirs.
func TestCutOffHostKeepsItsPartOfTheRetryBudget(t *testing.T) {
	const fleet = 89
	h := &Host{}
	h.SetBounds(Bounds{RetryRatio: 0.9, RetryWindow: 10 * time.Second, ExtraRetries: 218})
	members := make([]membership.Member, fleet)
	for i := range members {
		members[i] = membership.Member{Host: fmt.Sprint("h", i), State: membership.Alive}
	}
	h.countHosts(members)
	inTouch := h.relaySettings().Retry.ExtraRetries
	for i := range members[1:] {
		members[i+1].State = membership.Failed
	}
	h.countHosts(members)
	if cutOff := h.relaySettings().Retry.ExtraRetries; cutOff > inTouch || cutOff*fleet > 218 {
		t.Errorf("extra repeats %.2f when cut off, %.2f before, bound 218 for %d hosts", cutOff, inTouch, fleet)
	}
	if got := h.relaySettings().Hosts; got != 1 {
		t.Errorf("%d hosts taken to put load on engines, want the one that is live", got)
	}
}

// TestReadersHaveFastLinks guards against readers that cannot pass the state on
// when many hosts start at once: a host behind a slow link then serves with an old
// configuration.
func TestReadersHaveFastLinks(t *testing.T) {
	member := func(name, domain string, link int, state membership.State) membership.Member {
		return membership.Member{Host: name, FailureDomain: domain, LinkMbps: link, State: state}
	}
	var got []string
	for _, m := range readers([]membership.Member{
		member("a1", "a", 10, membership.Alive), member("a2", "a", 200, membership.Failed), member("a3", "a", 200, membership.Alive),
		member("a4", "a", 10, membership.Alive), member("b1", "b", 10, membership.Alive), member("b2", "b", 10, membership.Suspect),
	}) {
		got = append(got, m.Host)
	}
	if diff := cmp.Diff([]string{"a3", "a1", "b1"}, got); diff != "" {
		t.Error(diff)
	}
}
