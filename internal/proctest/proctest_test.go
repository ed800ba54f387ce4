package proctest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/internal/proctest"
	"github.com/corianderlever/corianderlever/load"
	"github.com/corianderlever/corianderlever/platform/memkv"
	"github.com/corianderlever/corianderlever/resource"
)

const (
	seed        = 20261204
	hosts       = 7
	engines     = 3
	testTimeout = 88 * time.Second
	// inForce and settled are the stated bounds on a change and on recovery.
	inForce = 4 * time.Second
	settled = 10 * time.Second
	// pause is longer than any lease of the hosts.
	pause = 12 * time.Second
	// chaosTime and rollTime are those of the load; each covers its phase.
	chaosTime = 27 * time.Second
	rollTime  = 15 * time.Second
	rate      = 60 // requests per second of each generator
	// flushed bounds the wait for the last billing records.
	flushed = 5 * time.Second
	// withdrawn is the version that is withdrawn under load.
	withdrawn = "small-2"
)

// trial is the state of the test.
type trial struct {
	*proctest.Cluster
	t      *testing.T
	ctx    context.Context
	oracle proctest.Oracle
	began  time.Time
	// dir holds the logs of the hosts and the records of the callers.
	dir string
}

// Guards against broken invariants that only show with real processes: lost
// memory after a kill, paused holders of leases, connections that break, and
// requests cut by a rolling restart, several at a time.
func TestInvariantsUnderFailure(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and takes more than a minute")
	}
	tr := newTrial(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	once := tr.startLoad(tr.mix("once", chaosTime), 1)
	repeated := tr.startLoad(tr.mix("repeated", chaosTime), 5)
	accepted := tr.chaos(rng)
	tr.Faults.ClearAll()
	tr.waitSameRevision()
	tr.oracle.Callers = append(tr.oracle.Callers, once(), repeated())
	rolling := tr.startLoad(tr.mix("rolling", rollTime), 5)
	tr.rollingRestart()
	tr.oracle.Callers = append(tr.oracle.Callers, rolling())
	tr.check(accepted)
}

func newTrial(t *testing.T) *trial {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	dir, err := os.MkdirTemp("", "proctest")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("seed %d; logs of the hosts and records of the callers are in %s", seed, dir)
			return
		}
		_ = os.RemoveAll(dir)
	})
	binary, err := proctest.Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	c, err := proctest.Start(ctx, binary, dir, hosts, engines)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	list, err := demo.Resources(c.Endpoints)
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range list {
		if terms, ok := r.Spec.(*resource.Terms); ok {
			// Without a price nothing is deferred to a later minute, which would
			// outlast the test.
			terms.PeakPrice = 0
		}
	}
	tr := &trial{Cluster: c, t: t, ctx: ctx, began: time.Now(), dir: dir}
	_, err = c.Apply(ctx, 0, list...)
	tr.must(err)
	tr.waitSameRevision()
	return tr
}

func (tr *trial) must(err error) {
	tr.t.Helper()
	if err != nil {
		tr.t.Fatalf("seed %d: %v", seed, err)
	}
}

func (tr *trial) log(format string, args ...any) {
	tr.t.Logf("%6.2fs "+format, append([]any{time.Since(tr.began).Seconds()}, args...)...)
}

// mix is sent by two teams in three ranks.
func (tr *trial) mix(prompt string, duration time.Duration) load.Mix {
	m := load.Mix{Seeds: tr.Seeds(), Rate: rate, Duration: resource.Duration(duration), MaxRequests: 2000, Seed: seed}
	chat := func(team, key, rank, model string, streamed bool, weight float64) {
		m.Streams = append(m.Streams, load.Stream{
			Team: team, Key: key, Rank: rank, Weight: weight, Model: model, Prompt: prompt, MaxTokens: 8, Streamed: streamed,
		})
	}
	call := func(team, key, operation string, weight float64) {
		m.Streams = append(m.Streams, load.Stream{
			Team: team, Key: key, Rank: "urgent", Weight: weight, Service: "booking", Operation: operation,
		})
	}
	for team, key := range map[string]string{demo.TeamName: demo.TeamKey, demo.OtherTeamName: demo.OtherTeamKey} {
		chat(team, key, "urgent", "small", true, 2)
		chat(team, key, "normal", "small", false, 2)
		chat(team, key, "normal", "letters", true, 1)
		chat(team, key, "batch", "letters", false, 1)
		call(team, key, "book", 2)
		call(team, key, "lookup", 2)
	}
	slices.SortStableFunc(m.Streams, func(a, b load.Stream) int { return len(a.Team) - len(b.Team) })
	return m
}

// startLoad sends a mix; the function that it returns waits for its end.
func (tr *trial) startLoad(mix load.Mix, attempts int) func() proctest.Caller {
	g, err := load.NewGenerator(mix, attempts)
	tr.must(err)
	out := proctest.Caller{Attempts: attempts, Prompt: mix.Streams[0].Prompt}
	done := make(chan error, 1)
	go func() { done <- g.Run(tr.ctx, func(r load.Record) { out.Records = append(out.Records, r) }) }()
	return func() proctest.Caller {
		tr.must(<-done)
		tr.save(out)
		counts := make(map[string]int)
		for _, r := range out.Records {
			counts[r.Outcome+" "+r.Code]++
		}
		tr.log("load %q ended: %v", out.Prompt, counts)
		return out
	}
}

// save writes the records of a caller beside the logs.
func (tr *trial) save(c proctest.Caller) {
	data, err := json.MarshalIndent(c.Records, "", " ")
	tr.must(err)
	tr.must(os.WriteFile(filepath.Join(tr.dir, c.Prompt+".json"), data, 0o600))
}

func (tr *trial) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-tr.ctx.Done():
		tr.must(tr.ctx.Err())
	}
}

func (tr *trial) kill(i int) {
	tr.log("kill host %d", i)
	tr.oracle.Kills = append(tr.oracle.Kills, time.Now())
	tr.must(tr.Hosts[i].Kill())
}

func (tr *trial) restart(i int) {
	tr.must(tr.Hosts[i].Start(tr.ctx))
	tr.log("host %d is back", i)
}

// lostReplies loses replies of writes, before and after they take effect.
func (tr *trial) lostReplies(rng *rand.Rand) {
	tr.log("lost replies")
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(rng.Uint64(), 2))
	tr.Faults.OnCall(func(call memkv.Call, _ string) memkv.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call != memkv.CallCompareAndSwap && call != memkv.CallDelete {
			return memkv.None
		}
		return []memkv.Fault{memkv.None, memkv.None, memkv.LostAfter, memkv.LostBefore}[source.IntN(4)]
	})
}

// chaos injects the faults. It returns when the withdrawal was accepted.
func (tr *trial) chaos(rng *rand.Rand) time.Time {
	order := rng.Perm(hosts)
	tr.wait(time.Second)
	tr.kill(order[0])
	tr.must(tr.Endpoints.Engines[0].Restart())
	tr.wait(time.Second)
	tr.restart(order[0])
	accepted := tr.firstPause(rng, order)
	tr.secondPause(rng, order)
	return accepted
}

// firstPause pauses a host while watches are silent, replies get lost, a
// version is withdrawn, connections go silent, and the store has an outage.
func (tr *trial) firstPause(rng *rand.Rand, order []int) time.Time {
	tr.log("pause host %d", order[1])
	paused := time.Now()
	tr.must(tr.Hosts[order[1]].Pause())
	tr.Faults.Inject(memkv.SilentWatch, memkv.Always)
	tr.lostReplies(rng)
	tr.wait(time.Second)
	accepted := tr.withdraw(order[2])
	tr.log("silence engine 1")
	tr.Endpoints.Engines[1].Silence()
	tr.wait(3 * time.Second)
	tr.Faults.ClearAll()
	tr.log("outage")
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.wait(3 * time.Second)
	tr.Faults.ClearAll()
	tr.log("outage ends")
	tr.wait(time.Until(paused.Add(pause)))
	tr.must(tr.Hosts[order[1]].Resume())
	tr.log("resume host %d", order[1])
	return accepted
}

// secondPause pauses another host, kills a host while the store is slow, and
// kills and restarts one in an outage. The kills are far enough apart for
// peers to write the records of the first.
func (tr *trial) secondPause(rng *rand.Rand, order []int) {
	tr.log("pause host %d", order[3])
	paused := time.Now()
	tr.must(tr.Hosts[order[3]].Pause())
	tr.log("slow store")
	tr.Faults.SetDelay(200 * time.Millisecond)
	tr.kill(order[2])
	tr.wait(time.Second)
	tr.restart(order[2])
	tr.Faults.ClearAll()
	tr.wait(3 * time.Second)
	tr.log("outage")
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.wait(500 * time.Millisecond)
	tr.kill(order[0])
	tr.wait(500 * time.Millisecond)
	tr.restart(order[0])
	tr.Faults.ClearAll()
	tr.log("outage ends, restart engine 2, silence engine 0")
	tr.must(tr.Endpoints.Engines[2].Restart())
	tr.Endpoints.Engines[0].Silence()
	tr.lostReplies(rng)
	tr.wait(time.Until(paused.Add(pause)))
	tr.must(tr.Hosts[order[3]].Resume())
	tr.log("resume host %d", order[3])
}

func (tr *trial) withdraw(host int) time.Time {
	list, err := tr.Admin(host).List(tr.ctx, string(resource.KindVersion), withdrawn)
	tr.must(err)
	r := list.Resources[0]
	r.Spec.(*resource.Version).State = resource.VersionWithdrawn
	accepted, err := tr.Apply(tr.ctx, host, r)
	tr.must(err)
	tr.log("withdrawal accepted")
	return accepted
}

// waitSameRevision demands that all hosts have the newest revision in time.
func (tr *trial) waitSameRevision() {
	tr.t.Helper()
	deadline := time.Now().Add(settled)
	for {
		got := tr.Revisions(tr.ctx)
		if got[0] > 0 && slices.Min(got) == slices.Max(got) {
			tr.log("all hosts have revision %d", got[0])
			return
		}
		if time.Now().After(deadline) {
			tr.t.Errorf("seed %d: revisions %v after %v", seed, got, settled)
			return
		}
		tr.wait(50 * time.Millisecond)
	}
}

func (tr *trial) rollingRestart() {
	tr.wait(500 * time.Millisecond)
	tr.log("rolling restart")
	for i, p := range tr.Hosts {
		if err := p.Terminate(tr.ctx); err != nil {
			tr.t.Errorf("seed %d: stop host %d: %v", seed, i, err)
		}
		tr.must(p.Start(tr.ctx))
	}
	tr.log("rolling restart ended")
}

// check asks the oracle.
func (tr *trial) check(accepted time.Time) {
	for _, e := range append(slices.Clone(tr.Endpoints.Engines), tr.Endpoints.Desk) {
		tr.oracle.Runs = append(tr.oracle.Runs, e.Runs()...)
	}
	bad := tr.oracle.CheckRuns()
	for _, r := range tr.oracle.RunsAfter(withdrawn, accepted.Add(inForce)) {
		bad = append(bad, fmt.Sprintf("ran %v after the withdrawal: %+v", r.Started.Sub(accepted), r))
	}
	for _, r := range tr.oracle.Callers[2].Records {
		if r.Outcome != load.OutcomeAnswered {
			bad = append(bad, fmt.Sprintf("failed in the rolling restart: %+v", r))
		}
	}
	tr.demandWork()
	bad = append(bad, tr.checkBill()...)
	for _, b := range bad[:min(len(bad), 40)] {
		tr.t.Errorf("seed %d: %s", seed, b)
	}
	tr.log("%d runs, %d violations", len(tr.oracle.Runs), len(bad))
}

// demandWork fails if the run was too thin to show anything.
func (tr *trial) demandWork() {
	for _, c := range tr.oracle.Callers {
		answered := 0
		for _, r := range c.Records {
			if r.Outcome == load.OutcomeAnswered {
				answered++
			}
		}
		if answered < len(c.Records)/2 || answered < 500 {
			tr.t.Errorf("seed %d: load %q had %d of %d requests answered", seed, c.Prompt, answered, len(c.Records))
		}
	}
	if !slices.ContainsFunc(tr.oracle.Runs, func(r fakeengine.Run) bool { return r.Version == withdrawn }) {
		tr.t.Errorf("seed %d: %s never ran", seed, withdrawn)
	}
}

// checkBill waits until the last records are written.
func (tr *trial) checkBill() []string {
	deadline := time.Now().Add(flushed)
	for {
		bill, err := proctest.ReadBill(tr.ctx, tr.Store, tr.began.Add(-time.Hour), tr.began.Add(time.Hour))
		tr.must(err)
		bad := tr.oracle.CheckBill(bill)
		if len(bad) == 0 || time.Now().After(deadline) {
			tr.log("the bill has %d ids, by team %v", len(bill.Records), bill.Requests)
			return bad
		}
		tr.wait(100 * time.Millisecond)
	}
}
