package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleetTable returns a table with n members besides the host itself.
func fleetTable(now time.Time, n int) *Table {
	t := NewTable(now, Member{Host: "host-0150-self", Started: 1, Incarnation: 1})
	for i := range n {
		t.Merge(now, Member{Host: fmt.Sprintf("host-%04d", i), FailureDomain: fmt.Sprint("domain-", i%3), Started: 1, Incarnation: 1})
	}
	return t
}

// TestMembersStayInOrder guards against a member list out of order, with members twice or
// without some, and against counts that differ from it, as members come, fail and are
// forgotten.
func TestMembersStayInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		table := NewTable(now, Member{Host: "m", Started: 1, Incarnation: 1})
		host := rapid.SampledFrom([]string{"a", "c", "l", "m", "n", "x", "z"})
		rt.Repeat(map[string]func(*rapid.T){
			"merge": func(rt *rapid.T) {
				state := rapid.SampledFrom([]State{Alive, Suspect, Leaving, Failed, Left}).Draw(rt, "state")
				table.Merge(now, Member{Host: host.Draw(rt, "host"), Started: 1, Incarnation: rapid.Int64Range(1, 4).Draw(rt, "incarnation"), State: state})
			},
			"tick": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(rt, "seconds")) * time.Second)
				table.Tick(now)
			},
			"": func(rt *rapid.T) {
				members := table.Members(now)
				if len(members) != len(table.records)+1 {
					rt.Fatalf("%d members listed of %d", len(members), len(table.records)+1)
				}
				var want Counts
				for i, m := range members {
					if i > 0 && members[i-1].Host >= m.Host {
						rt.Fatalf("%s listed before %s", members[i-1].Host, m.Host)
					}
					if known, ok := table.Member(now, m.Host); !ok || known != m {
						rt.Fatalf("listed %v, known %v", m, known)
					}
					if m.State.Live() {
						want.Live++
					}
					if m.State != Left {
						want.Possible++
					}
				}
				if got := table.Count(); got != want {
					rt.Fatalf("counted %+v, listed %+v", got, want)
				}
			},
		})
	})
}

// largeFleet is the number of other hosts in the benchmarks.
const largeFleet = 294

// BenchmarkMembersLargeFleet measures a copy of the member list.
func BenchmarkMembersLargeFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	t := fleetTable(now, largeFleet)
	b.ReportAllocs()
	for b.Loop() {
		t.Members(now)
	}
}

// BenchmarkTickLargeFleet measures the check of all members in each heartbeat period.
func BenchmarkTickLargeFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	t := fleetTable(now, largeFleet)
	b.ReportAllocs()
	for b.Loop() {
		t.Tick(now)
	}
}
