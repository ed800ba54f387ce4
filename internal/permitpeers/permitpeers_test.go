package permitpeers_test

import (
	"fmt"
	"testing"

	"github.com/corianderlever/corianderlever/internal/permitpeers"
	"github.com/corianderlever/corianderlever/membership"
)

// members returns members in these states: self, which is alive, and one for each state.
func members(states ...membership.State) []membership.Member {
	out := []membership.Member{{Host: "self", Incarnation: 7}}
	for i, state := range states {
		out = append(out, membership.Member{Host: string(rune('a' + i)), State: state})
	}
	return out
}

// TestMinorityGrantsNoPermits guards against hosts that are cut off from the others and
// grant the permits of an endpoint to themselves, beside the host that grants them to the
// majority.
func TestMinorityGrantsNoPermits(t *testing.T) {
	const (
		alive, suspect, failed = membership.Alive, membership.Suspect, membership.Failed
		leaving, left          = membership.Leaving, membership.Left
	)
	for name, c := range map[string]struct {
		members []membership.Member
		grants  bool
	}{
		"alone":                        {members(), true},
		"with one of three":            {members(alive, failed), true},
		"without two of three":         {members(failed, suspect), false},
		"half":                         {members(alive, failed, failed), false},
		"after the others have left":   {members(left, left, leaving), true},
		"the others have left or fail": {members(left, failed), false},
	} {
		peers := &permitpeers.Peers{Self: "self", Members: func() []membership.Member { return c.members }}
		if _, ok := peers.Granter("endpoint"); ok != c.grants {
			t.Errorf("%s: a host grants permits: %v, want %v", name, ok, c.grants)
		}
	}
}

// TestIncarnationIsThatOfTheHost guards against a granter that does not notice that others
// took it for failed.
func TestIncarnationIsThatOfTheHost(t *testing.T) {
	peers := &permitpeers.Peers{Self: "self", Members: func() []membership.Member { return members(membership.Alive) }}
	if got := peers.Incarnation(); got != 7 {
		t.Errorf("got incarnation %d, want 7", got)
	}
}

// TestFewHostsShareAColdEndpoint guards against a cold endpoint that gets the saved shares of
// many hosts at once, because hosts that are cut off do not agree on the few that may use theirs.
func TestFewHostsShareAColdEndpoint(t *testing.T) {
	const hosts = 90
	for n := range 50 {
		endpoint, sharing := fmt.Sprint("endpoint-", n), 0
		for self := range hosts {
			view := make([]membership.Member, hosts)
			for i := range view {
				view[i] = membership.Member{Host: fmt.Sprint("host-", i), State: membership.Failed}
			}
			view[self].State = membership.Alive // it is cut off from all others
			peers := &permitpeers.Peers{Self: view[self].Host, Members: func() []membership.Member { return view }}
			if peers.SharesCold(endpoint) {
				sharing++
			}
		}
		if sharing != 3 {
			t.Errorf("%d of %d hosts use their share of %s, want 3", sharing, hosts, endpoint)
		}
	}
}
