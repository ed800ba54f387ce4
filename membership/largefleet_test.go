package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
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

// TestObservationsSentLeastOftenComeFirst guards against changes that spread slowly because
// heartbeats repeat others that were sent more often.
func TestObservationsSentLeastOftenComeFirst(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now := time.Unix(1000, 0)
		table := fleetTable(now, rapid.IntRange(0, 30).Draw(rt, "members"))
		var want []*record
		for _, r := range table.inOrder() {
			r.selfReported = r.Incarnation // nothing for the member itself to refute
			if r.transmitsLeft = rapid.IntRange(0, 4).Draw(rt, "left"); r.transmitsLeft > 0 && r.Host != "host-0001" {
				want = append(want, r)
			}
		}
		slices.SortStableFunc(want, func(a, b *record) int { return b.transmitsLeft - a.transmitsLeft })
		limit := rapid.IntRange(0, 10).Draw(rt, "limit")
		want = want[:min(limit, len(want))]
		var hosts, got []string
		for _, r := range want {
			hosts = append(hosts, r.Host)
		}
		for _, m := range table.Observations(now, "host-0001", limit) {
			got = append(got, m.Host)
		}
		if diff := cmp.Diff(hosts, got); diff != "" {
			rt.Fatalf("hosts of the observations (-want +got):\n%s", diff)
		}
	})
}

// TestAnyFirstHostsAreSpread guards against a choice of hosts of which one failure domain has
// two more than another that has hosts left, or a slower link than one left out.
func TestAnyFirstHostsAreSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var members []Member
		left := make(map[string]int)
		for i := range rapid.IntRange(0, 30).Draw(rt, "members") {
			m := Member{
				Host: fmt.Sprint("host-", i), FailureDomain: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "domain"),
				LinkMbps: rapid.SampledFrom([]int{10, 100}).Draw(rt, "link"), State: rapid.SampledFrom([]State{Alive, Failed}).Draw(rt, "state"),
			}
			members = append(members, m)
			if m.State == Alive {
				left[m.FailureDomain]++
			}
		}
		chosen, slowest := make(map[string]int), make(map[string]int)
		for _, m := range SpreadOverDomains(members) {
			if m.State != Alive {
				rt.Fatalf("%s is not alive", m.Host)
			}
			for domain := range left {
				if left[domain] > 0 && chosen[domain] < chosen[m.FailureDomain] {
					rt.Fatalf("%d of %s before the next of %s, which has %d", chosen[m.FailureDomain]+1, m.FailureDomain, domain, chosen[domain])
				}
			}
			if before, ok := slowest[m.FailureDomain]; ok && m.LinkMbps > before {
				rt.Fatalf("%s with a link of %d Mbit/s after one of %d", m.Host, m.LinkMbps, before)
			}
			slowest[m.FailureDomain] = m.LinkMbps
			chosen[m.FailureDomain]++
			left[m.FailureDomain]--
		}
		for domain, n := range left {
			if n != 0 {
				rt.Fatalf("%d hosts of %s not listed", n, domain)
			}
		}
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

// BenchmarkObservationsLargeFleet measures the choice of the records for a heartbeat while
// the whole fleet has just started.
func BenchmarkObservationsLargeFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	t := fleetTable(now, largeFleet)
	b.ReportAllocs()
	for b.Loop() {
		for _, r := range t.records {
			r.transmitsLeft = 1 + len(r.Host)%3
		}
		t.Observations(now, "host-0001", maxObservations)
	}
}

// BenchmarkSpreadLargeFleet measures the choice of the hosts that follow the store.
func BenchmarkSpreadLargeFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	members := fleetTable(now, largeFleet).Members(now)
	b.ReportAllocs()
	for b.Loop() {
		SpreadOverDomains(members)
	}
}
