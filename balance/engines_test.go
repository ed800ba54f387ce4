package balance_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

func engines(clock clockwork.Clock, n int) *balance.EngineChooser {
	e := balance.NewEngineChooser(clock, "a")
	var specs []balance.EngineSpec
	for i := range n {
		specs = append(specs, balance.EngineSpec{ID: fmt.Sprint("e", i), FailureDomain: "a", Version: "v1", CacheTokens: 100_000})
	}
	e.SetEngines(specs)
	return e
}

// observe sends a host's load to e in a digest of the size that hosts use.
func observe(t *testing.T, e *balance.EngineChooser, host string, loads map[string]balance.EngineLoad, hosts int) {
	t.Helper()
	const limit = 340
	if err := e.ObserveDigest(host, balance.EncodeLoads(loads, limit), hosts); err != nil {
		t.Fatal(err)
	}
}

// prompt returns a request whose prompt has a shared part and a part specific to the
// request.
func prompt(sharedID string, shared, own int, request int) balance.EngineRequest {
	return balance.EngineRequest{Model: "m", Parts: []balance.PromptPart{{ID: sharedID, Tokens: shared}, {ID: fmt.Sprint("own", request), Tokens: own}}}
}

// TestHostsAgreeOnPreferredEngine guards against hosts that send prompts with the same
// prefix to different engines, each of which then has to prefill it.
func TestHostsAgreeOnPreferredEngine(t *testing.T) {
	clock := clockwork.NewFakeClock()
	hostA, hostB := engines(clock, 12), engines(clock, 12)
	used := map[string]bool{}
	for i := range 50 {
		sharedID := fmt.Sprint("subject", i)
		a, errA := hostA.Choose(prompt(sharedID, 10_000, 500, 1))
		b, errB := hostB.Choose(prompt(sharedID, 10_000, 500, 2))
		if errA != nil || errB != nil || a.Endpoint != b.Endpoint || a.Reason != balance.ReasonPreferred || a.UncachedTokens != 500 {
			t.Fatalf("chose %+v and %+v, want the same preferred engine with 500 uncached tokens", a, b)
		}
		used[a.Endpoint] = true
	}
	if len(used) < 10 {
		t.Errorf("50 prefixes use %d of 12 engines, want at least 10", len(used))
	}
}

// TestLoadOutweighsPreferredEngine guards against a prefix with much of the traffic
// whose requests all queue at the preferred engine while other engines are idle.
func TestLoadOutweighsPreferredEngine(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 4)
	used := map[string]int{}
	for i := range 200 {
		req := prompt("hot", 5_000, 4_000, i)
		c, err := e.Choose(req)
		if err != nil {
			t.Fatal(err)
		}
		e.Start(c, req)
		used[c.Endpoint]++
	}
	for id, n := range used {
		if n > 100 {
			t.Errorf("%s got %d of 200 requests, want at most 100", id, n)
		}
	}
	if len(used) != 4 {
		t.Errorf("requests by engine %v, want 4 engines", used)
	}
}

// TestBacklogOfLowerPriorityIsIgnored guards against urgent requests that leave the
// engine which has their prompt cached because less urgent requests are queued there.
func TestBacklogOfLowerPriorityIsIgnored(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 4)
	req := prompt("s", 10_000, 500, 0)
	preferred, _ := e.Choose(req)
	observe(t, e, "other", map[string]balance.EngineLoad{preferred.Endpoint: {Running: 1, BacklogMS: []int64{0, 0, 0, 0, 0, 60_000}}}, 2)
	req.Priority = 1
	if c, _ := e.Choose(req); c.Endpoint != preferred.Endpoint || c.Backlog != 0 {
		t.Errorf("urgent request: chose %+v, want %s without a backlog", c, preferred.Endpoint)
	}
	req.Priority = 5
	if c, _ := e.Choose(req); c.Endpoint == preferred.Endpoint {
		t.Errorf("request of the same priority: chose %+v, where it waits for a minute", c)
	}
}

// TestPeerBacklogDecreasesWithTime guards against a peer's digest that keeps an engine
// out of use after the engine has processed the reported backlog.
func TestPeerBacklogDecreasesWithTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 2)
	for host := range 3 {
		observe(t, e, fmt.Sprint("h", host), map[string]balance.EngineLoad{
			"e0": {Running: 1, BacklogMS: []int64{500}}, "e1": {Running: 1, BacklogMS: []int64{500}},
		}, 4)
	}
	if got := e.MeanBacklog("", 0); got != 1500*time.Millisecond {
		t.Errorf("backlog %v from three hosts, want 1.5s", got)
	}
	clock.Advance(time.Second)
	if got := e.MeanBacklog("", 0); got != 500*time.Millisecond {
		t.Errorf("backlog %v a second later, want 500ms", got)
	}
}

// TestBacklogReturnsToZero guards against prefill time that remains in the backlog
// after the first event or the end of its request.
func TestBacklogReturnsToZero(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := engines(clock, 3)
		var open []*balance.InFlight
		for i := range rapid.IntRange(1, 30).Draw(rt, "requests") {
			req := prompt(fmt.Sprint(i%3), 2_000, 1_000, i)
			req.Priority = i % 12
			c, err := e.Choose(req)
			if err != nil {
				rt.Fatal(err)
			}
			open = append(open, e.Start(c, req))
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "first event") {
				open[len(open)-1].FirstEvent()
			}
		}
		for _, f := range open {
			f.End()
			f.End()
		}
		if got, loads := e.MeanBacklog("", 9), e.LocalLoads(); got != 0 || len(loads) != 0 {
			rt.Fatalf("backlog %v, loads %v with no request in flight, want none", got, loads)
		}
	})
}

// TestPrefillTimeFollowsObservations guards against an estimate of the prefill time that
// is far from what the engines need.
func TestPrefillTimeFollowsObservations(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 1)
	const perToken = 80 * time.Microsecond
	for i := range 200 {
		req := balance.EngineRequest{Model: "m", Parts: []balance.PromptPart{{ID: fmt.Sprint("p", i), Tokens: 5000}}}
		c, _ := e.Choose(req)
		f := e.Start(c, req)
		clock.Advance(time.Duration(c.UncachedTokens) * perToken)
		f.FirstEvent()
		f.End()
	}
	if got := e.PrefillTime("m", 1000); got < 70*time.Millisecond || got > 90*time.Millisecond {
		t.Errorf("prefill time of 1000 tokens is %v, want about 80ms", got)
	}
}

// TestChooseKeepsVersionAndExclusions guards against a session that changes its version
// and against a retry at the endpoint that failed.
func TestChooseKeepsVersionAndExclusions(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := balance.NewEngineChooser(clock, "a")
	e.SetEngines([]balance.EngineSpec{{ID: "old", Version: "v1"}, {ID: "new", Version: "v2"}})
	req := prompt("s", 100, 100, 0)
	req.Version = "v2"
	if c, err := e.Choose(req); err != nil || c.Endpoint != "new" {
		t.Errorf("chose %+v, error %v, want the engine of version v2", c, err)
	}
	req.Exclude = []string{"new"}
	if c, err := e.Choose(req); err == nil {
		t.Errorf("chose %+v, want an error because the engine is excluded", c)
	}
	e.Avoid("old", time.Second)
	if c, err := e.Choose(prompt("s", 100, 100, 1)); err != nil || c.Endpoint != "new" {
		t.Errorf("chose %+v, error %v, want new because old is avoided", c, err)
	}
	e.Avoid("new", time.Second)
	if _, err := e.Choose(prompt("s", 100, 100, 1)); err != nil {
		t.Error("no engine chosen while all are avoided")
	}
}

// TestFewReportsAreExtrapolated guards against engines that look idle in a large fleet
// because only some of its hosts have reported recently.
func TestFewReportsAreExtrapolated(t *testing.T) {
	e := engines(clockwork.NewFakeClock(), 1)
	for host := range 3 {
		observe(t, e, fmt.Sprint("h", host), map[string]balance.EngineLoad{"e0": {Running: 1, BacklogMS: []int64{10}}}, 61)
	}
	if got := e.MeanBacklog("", 0); got != 600*time.Millisecond {
		t.Errorf("backlog %v, want 600ms, extrapolated to sixty hosts", got)
	}
}
