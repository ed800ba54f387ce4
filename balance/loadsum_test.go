package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

// TestSumEqualsLoads compares the picture that a host gets from sums over two groups of
// hosts with the load of all hosts. It guards against load that is counted twice or left
// out, this host's own included.
func TestSumEqualsLoads(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const hostCount, limit = 6, 4 << 10
		clock := clockwork.NewFakeClock()
		groups := []*balance.LoadTable{balance.NewLoadTable(clock), balance.NewLoadTable(clock)}
		var hosts []*balance.EngineChooser
		var own [][]byte
		for i := range hostCount {
			h := engines(clock, 20)
			for n := range rapid.IntRange(0, 8).Draw(rt, "requests") {
				req := prompt(fmt.Sprint("s", n), 3000, 2000, 100*i+n)
				req.Priority = rapid.IntRange(0, 9).Draw(rt, "priority")
				c, err := h.Choose(req)
				if err != nil {
					rt.Fatal(err)
				}
				h.Start(c, req)
			}
			hosts = append(hosts, h)
			own = append(own, balance.EncodeLoads(h.LocalLoads(), limit))
			if err := groups[i%2].Observe(fmt.Sprint("h", i), balance.LoadSum{Hosts: 1, Digest: own[i]}); err != nil {
				rt.Fatal(err)
			}
		}
		var want time.Duration
		for _, h := range hosts {
			want += h.MeanBacklog("", 9)
		}
		other := balance.NewLoadTable(clock)
		if err := other.Observe("group", balance.SumLoads(limit, groups[1])); err != nil {
			rt.Fatal(err)
		}
		sum := balance.SumLoads(limit, groups[0], other)
		if sum.Hosts != hostCount {
			rt.Fatalf("sum over %d hosts, want %d", sum.Hosts, hostCount)
		}
		const rounding = hostCount * 10 * balance.PriorityLevels * time.Millisecond
		for i, h := range hosts {
			if err := h.ObserveSum(sum, own[i], hostCount); err != nil {
				rt.Fatal(err)
			}
			if got := h.MeanBacklog("", 9); got > want+rounding || got < want-rounding {
				rt.Errorf("host %d sees a backlog of %v, want %v", i, got, want)
			}
		}
	})
}

// TestOldSumsAreDropped guards against load that counts on after the host that reported
// it, or the one that summed it up, is gone.
func TestOldSumsAreDropped(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := balance.NewLoadTable(clock)
	digest := balance.EncodeLoads(map[string]balance.EngineLoad{"e0": {Running: 3, BacklogMS: []int64{900}}}, 100)
	if err := table.Observe("h", balance.LoadSum{Hosts: 2, Digest: digest}); err != nil {
		t.Fatal(err)
	}
	e := engines(clock, 1)
	if err := e.ObserveSum(balance.SumLoads(100, table), nil, 3); err != nil {
		t.Fatal(err)
	}
	if got := e.MeanBacklog("", 0); got == 0 {
		t.Error("no backlog right after the sum")
	}
	clock.Advance(4 * time.Second)
	if got := e.MeanBacklog("", 0); got != 0 {
		t.Errorf("backlog %v from a sum that is 4 s old", got)
	}
	if sum := balance.SumLoads(100, table); sum.Hosts != 0 || len(sum.Digest) != 0 {
		t.Errorf("sum %+v over reports that are 4 s old, want none", sum)
	}
	if err := table.Observe("h", balance.LoadSum{Digest: []byte{1}}); !errors.Is(err, balance.ErrMalformedDigest) {
		t.Errorf("malformed digest: error %v, want ErrMalformedDigest", err)
	}
}
