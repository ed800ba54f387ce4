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

// observe hands a host's load on as hosts do.
func observe(t *testing.T, e *balance.EngineChooser, host string, loads map[string]balance.EngineLoad, hosts int) {
	t.Helper()
	const limit = 340
	if err := e.ObserveDigest(host, balance.EncodeLoads(loads, limit), hosts); err != nil {
		t.Fatal(err)
	}
}

func prompt(subject string, shared, own int, request int) balance.EngineRequest {
	return balance.EngineRequest{Model: "m", Parts: []balance.PromptPart{{ID: subject, Tokens: shared}, {ID: fmt.Sprint("own", request), Tokens: own}}}
}

// TestHostsAgreeOnAHome guards against hosts that send prompts with the same
// beginning to different engines, each of which then reads it.
func TestHostsAgreeOnAHome(t *testing.T) {
	clock := clockwork.NewFakeClock()
	one, two := engines(clock, 12), engines(clock, 12)
	used := map[string]bool{}
	for i := range 50 {
		subject := fmt.Sprint("subject", i)
		a, errA := one.Choose(prompt(subject, 10_000, 500, 1))
		b, errB := two.Choose(prompt(subject, 10_000, 500, 2))
		if errA != nil || errB != nil || a.Endpoint != b.Endpoint || a.Reason != balance.ReasonPreferred || a.UncachedTokens != 500 {
			t.Fatalf("%+v, %+v", a, b)
		}
		used[a.Endpoint] = true
	}
	if len(used) < 10 {
		t.Errorf("50 subjects use %d of 12 engines", len(used))
	}
}

// TestBusyHomeIsLeft guards against one subject that gets much of the traffic
// and waits at its home while other engines are idle.
func TestBusyHomeIsLeft(t *testing.T) {
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
			t.Errorf("%s got %d of 200 requests", id, n)
		}
	}
	if len(used) != 4 {
		t.Errorf("used %v", used)
	}
}

// TestUrgentWorkDoesNotSeeLessUrgentBacklog guards against urgent requests that
// leave the engine that has their prompt because less urgent ones wait there.
func TestUrgentWorkDoesNotSeeLessUrgentBacklog(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 4)
	req := prompt("s", 10_000, 500, 0)
	home, _ := e.Choose(req)
	observe(t, e, "other", map[string]balance.EngineLoad{home.Endpoint: {Running: 1, BacklogMS: []int64{0, 0, 0, 0, 0, 60_000}}}, 2)
	req.Priority = 1
	if c, _ := e.Choose(req); c.Endpoint != home.Endpoint || c.Backlog != 0 {
		t.Errorf("urgent request at %+v, home %s", c, home.Endpoint)
	}
	req.Priority = 5
	if c, _ := e.Choose(req); c.Endpoint == home.Endpoint {
		t.Errorf("request of the same level waits a minute at %+v", c)
	}
}

// TestPeersBacklogIsWorkedOff guards against a report of another host that
// keeps an engine out of use after its work is done.
func TestPeersBacklogIsWorkedOff(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 2)
	for host := range 3 {
		observe(t, e, fmt.Sprint("h", host), map[string]balance.EngineLoad{
			"e0": {Running: 1, BacklogMS: []int64{500}}, "e1": {Running: 1, BacklogMS: []int64{500}},
		}, 4)
	}
	if got := e.MeanBacklog("", 0); got != 1500*time.Millisecond {
		t.Errorf("backlog %v of three hosts", got)
	}
	clock.Advance(time.Second)
	if got := e.MeanBacklog("", 0); got != 500*time.Millisecond {
		t.Errorf("backlog %v a second later", got)
	}
}

// TestBacklogReturnsToZero guards against work that stays counted after its
// request has begun to answer or has failed.
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
			if rapid.Bool().Draw(rt, "begin") {
				open[len(open)-1].FirstEvent()
			}
		}
		for _, w := range open {
			w.End()
			w.End()
		}
		if got, loads := e.MeanBacklog("", 9), e.LocalLoads(); got != 0 || len(loads) != 0 {
			rt.Fatalf("backlog %v, loads %v with nothing under way", got, loads)
		}
	})
}

// TestLearnsTheReadingTime guards against choices by a reading time that is far
// from what the engines need.
func TestLearnsTheReadingTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := engines(clock, 1)
	const perToken = 80 * time.Microsecond
	for i := range 200 {
		req := balance.EngineRequest{Model: "m", Parts: []balance.PromptPart{{ID: fmt.Sprint("p", i), Tokens: 5000}}}
		c, _ := e.Choose(req)
		w := e.Start(c, req)
		clock.Advance(time.Duration(c.UncachedTokens) * perToken)
		w.FirstEvent()
		w.End()
	}
	if got := e.PrefillTime("m", 1000); got < 70*time.Millisecond || got > 90*time.Millisecond {
		t.Errorf("1000 tokens take %v, want about 80ms", got)
	}
}

// TestChooseKeepsVersionAndExclusions guards against a session that leaves its
// version and a repeat at the endpoint that failed.
func TestChooseKeepsVersionAndExclusions(t *testing.T) {
	clock := clockwork.NewFakeClock()
	e := balance.NewEngineChooser(clock, "a")
	e.SetEngines([]balance.EngineSpec{{ID: "old", Version: "v1"}, {ID: "new", Version: "v2"}})
	req := prompt("s", 100, 100, 0)
	req.Version = "v2"
	if c, err := e.Choose(req); err != nil || c.Endpoint != "new" {
		t.Errorf("%+v, %v", c, err)
	}
	req.Exclude = []string{"new"}
	if c, err := e.Choose(req); err == nil {
		t.Errorf("chose %+v", c)
	}
	e.Avoid("old", time.Second)
	if c, err := e.Choose(prompt("s", 100, 100, 1)); err != nil || c.Endpoint != "new" {
		t.Errorf("an engine that does not answer was chosen: %+v, %v", c, err)
	}
	e.Avoid("new", time.Second)
	if _, err := e.Choose(prompt("s", 100, 100, 1)); err != nil {
		t.Error("no engine is chosen while all are avoided")
	}
}

// TestFewReportsStandForAll guards against engines that look idle in a large
// fleet because only some of its hosts have reported lately.
func TestFewReportsStandForAll(t *testing.T) {
	e := engines(clockwork.NewFakeClock(), 1)
	for host := range 3 {
		observe(t, e, fmt.Sprint("h", host), map[string]balance.EngineLoad{"e0": {Running: 1, BacklogMS: []int64{10}}}, 61)
	}
	if got := e.MeanBacklog("", 0); got != 600*time.Millisecond {
		t.Errorf("backlog %v, want that of sixty hosts", got)
	}
}
