package membership

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestMemberMatchesMembers guards against a look-up by name that returns a
// different record, or none, for a host in the list of members.
func TestMemberMatchesMembers(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(now, Member{Host: "a", State: Alive})
	for _, host := range []string{"b", "c.d"} {
		table.Merge(now, Member{Host: host, State: Alive, PeerAddress: host + ":1", Incarnation: 1})
	}
	table.Leave(now)
	later := now.Add(time.Second)
	for _, want := range table.Members(later) {
		got, ok := table.Member(later, want.Host)
		if diff := cmp.Diff(want, got); !ok || diff != "" {
			t.Errorf("member %s, found %t: %s", want.Host, ok, diff)
		}
	}
	if _, ok := table.Member(later, "x"); ok {
		t.Error("Member found an unknown host")
	}
}
