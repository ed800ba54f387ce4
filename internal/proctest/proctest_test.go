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
	// propagationBound bounds the time until a change takes effect on all hosts;
	// recoveryBound bounds the recovery after faults.
	propagationBound = 4 * time.Second
	recoveryBound    = 10 * time.Second
	// pauseTime is longer than any lease of the hosts.
	pauseTime = 12 * time.Second
	// faultTime and rollingTime are the durations of the load during the faults and
	// during the rolling restart; each covers its phase.
	faultTime   = 27 * time.Second
	rollingTime = 15 * time.Second
	rate        = 60 // requests per second of each generator
	// duplicateInterval is the time between two bookings that are sent to
	// duplicateCopies hosts at once.
	duplicateInterval = 200 * time.Millisecond
	duplicateCopies   = 3
	// billTimeout bounds the wait until the last billing records are written.
	billTimeout = 5 * time.Second
	// withdrawnVersion is the version that is withdrawn under load.
	withdrawnVersion = "small-2"
)

// testRun is a cluster under test, with the records of its callers.
type testRun struct {
	*proctest.Cluster
	t         *testing.T
	ctx       context.Context
	oracle    proctest.Oracle
	startTime time.Time
	// dir holds the logs of the hosts and the records of the callers.
	dir string
}

// TestInvariantsUnderFailure guards against violated invariants that only occur
// with real processes and simultaneous faults: state lost in a kill, paused
// lease holders, broken connections, and requests cut by a rolling restart.
func TestInvariantsUnderFailure(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and takes more than a minute")
	}
	tr := newTestRun(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	singleAttempt := tr.startLoad(tr.mix("once", faultTime), 1)
	retried := tr.startLoad(tr.mix("repeated", faultTime), 5)
	duplicates := tr.startDuplicates(rng)
	accepted := tr.injectFaults(rng)
	tr.Faults.ClearAll()
	tr.waitSameRevision()
	tr.oracle.Callers = append(tr.oracle.Callers, singleAttempt(), retried(), duplicates())
	rolling := tr.startLoad(tr.mix("rolling", rollingTime), 5)
	tr.rollingRestart()
	tr.oracle.Callers = append(tr.oracle.Callers, rolling())
	tr.check(accepted)
}

func newTestRun(t *testing.T) *testRun {
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
	tr := &testRun{Cluster: c, t: t, ctx: ctx, startTime: time.Now(), dir: dir}
	_, err = c.Apply(ctx, 0, list...)
	tr.must(err)
	tr.waitSameRevision()
	return tr
}

func (tr *testRun) must(err error) {
	tr.t.Helper()
	if err != nil {
		tr.t.Fatalf("seed %d: %v", seed, err)
	}
}

func (tr *testRun) log(format string, args ...any) {
	tr.t.Logf("%6.2fs "+format, append([]any{time.Since(tr.startTime).Seconds()}, args...)...)
}

func (tr *testRun) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-tr.ctx.Done():
		tr.must(tr.ctx.Err())
	}
}

// waitSameRevision waits until all hosts have the same revision and fails the
// test after recoveryBound.
func (tr *testRun) waitSameRevision() {
	tr.t.Helper()
	deadline := time.Now().Add(recoveryBound)
	for {
		got := tr.Revisions(tr.ctx)
		if got[0] > 0 && slices.Min(got) == slices.Max(got) {
			tr.log("all hosts have revision %d", got[0])
			return
		}
		if time.Now().After(deadline) {
			tr.t.Errorf("seed %d: hosts have revisions %v after %v, want one revision on all hosts", seed, got, recoveryBound)
			return
		}
		tr.wait(50 * time.Millisecond)
	}
}

// check fails the test for each violation that the oracle finds.
func (tr *testRun) check(accepted time.Time) {
	for _, e := range append(slices.Clone(tr.Endpoints.Engines), tr.Endpoints.Booking) {
		tr.oracle.Runs = append(tr.oracle.Runs, e.Runs()...)
	}
	violations := tr.oracle.CheckRuns()
	for _, r := range tr.oracle.RunsAfter(withdrawnVersion, accepted.Add(propagationBound)) {
		violations = append(violations, fmt.Sprintf("withdrawn version ran %v after the withdrawal was accepted: %+v", r.Started.Sub(accepted), r))
	}
	rolling := tr.oracle.Callers[len(tr.oracle.Callers)-1]
	for _, r := range rolling.Records {
		if r.Outcome != load.OutcomeAnswered {
			violations = append(violations, fmt.Sprintf("request failed during the rolling restart: %+v", r))
		}
	}
	tr.checkLoadAnswered()
	violations = append(violations, tr.checkBill()...)
	for _, b := range violations[:min(len(violations), 40)] {
		tr.t.Errorf("seed %d: %s", seed, b)
	}
	tr.log("%d runs, %d violations", len(tr.oracle.Runs), len(violations))
}

// checkLoadAnswered fails the test if too few requests were answered for the other
// checks to be meaningful.
func (tr *testRun) checkLoadAnswered() {
	for _, c := range tr.oracle.Callers {
		answered := 0
		for _, r := range c.Records {
			if r.Outcome == load.OutcomeAnswered {
				answered++
			}
		}
		if answered < len(c.Records)/2 || answered < 100 {
			tr.t.Errorf("seed %d: load %q had only %d of %d requests answered", seed, c.Prompt, answered, len(c.Records))
		}
	}
	if !slices.ContainsFunc(tr.oracle.Runs, func(r fakeengine.Run) bool { return r.Version == withdrawnVersion }) {
		tr.t.Errorf("seed %d: version %s never ran", seed, withdrawnVersion)
	}
}

// checkBill returns the violations of the bill. It waits up to billTimeout until
// the last records are written and there are none.
func (tr *testRun) checkBill() []string {
	deadline := time.Now().Add(billTimeout)
	for {
		bill, err := proctest.ReadBill(tr.ctx, tr.Store, tr.startTime.Add(-time.Hour), tr.startTime.Add(time.Hour))
		tr.must(err)
		violations := tr.oracle.CheckBill(bill)
		if len(violations) == 0 || time.Now().After(deadline) {
			tr.log("the bill has %d records, requests by team %v", len(bill.Records), bill.Requests)
			return violations
		}
		tr.wait(100 * time.Millisecond)
	}
}
