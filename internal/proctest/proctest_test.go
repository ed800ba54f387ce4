package proctest_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/internal/proctest"
	"github.com/corianderlever/corianderlever/load"
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
	// Bookings that their caller sends several times at once.
	twinInterval = 200 * time.Millisecond
	twinCopies   = 3
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
	twins := tr.startTwins(rng)
	accepted := tr.chaos(rng)
	tr.Faults.ClearAll()
	tr.waitSameRevision()
	tr.oracle.Callers = append(tr.oracle.Callers, once(), repeated(), twins())
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

func (tr *trial) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-tr.ctx.Done():
		tr.must(tr.ctx.Err())
	}
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

// check asks the oracle.
func (tr *trial) check(accepted time.Time) {
	for _, e := range append(slices.Clone(tr.Endpoints.Engines), tr.Endpoints.Booking) {
		tr.oracle.Runs = append(tr.oracle.Runs, e.Runs()...)
	}
	bad := tr.oracle.CheckRuns()
	for _, r := range tr.oracle.RunsAfter(withdrawn, accepted.Add(inForce)) {
		bad = append(bad, fmt.Sprintf("ran %v after the withdrawal: %+v", r.Started.Sub(accepted), r))
	}
	rolling := tr.oracle.Callers[len(tr.oracle.Callers)-1]
	for _, r := range rolling.Records {
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
		if answered < len(c.Records)/2 || answered < 100 {
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
