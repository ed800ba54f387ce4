package daemon_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/resource"
)

// Guards against hosts that keep running a version after the team's right to
// it was taken away, while one of them has lost the store.
func TestOnlyAllowedVersionsRun(t *testing.T) {
	c := newCluster(t)
	c.Faults[6].Inject(memkv.Outage, memkv.Always)
	team := c.resource(resource.KindTeam, demo.TeamName)
	team.Spec.(*resource.Team).Versions = []string{"small-1"}
	c.apply(team)
	c.inForceWithin(inForce)
	before := c.versions()
	for i := range testHosts {
		for range 3 {
			if resp, err := c.via(i, client.Request{}, prompt("x")); err != nil || resp.Receipt.Version != "small-1" {
				t.Errorf("host %d: version %+v, %v", i, resp.Receipt, err)
			}
		}
	}
	if after := c.versions(); after["small-2"] != before["small-2"] || after["large-1"] != before["large-1"] {
		t.Errorf("versions that are not allowed ran: %v, then %v", before, after)
	}
}

// Guards against a withdrawn version that gets work from hosts whose watch has
// gone silent, that read the past, or that have lost the store.
func TestWithdrawnVersionGetsNoWork(t *testing.T) {
	c := newCluster(t)
	pinned, err := c.client(0, 3).NewSession(c.ctx, "small")
	if err != nil || pinned.Version != "small-2" {
		t.Fatalf("session on %q, %v", pinned.Version, err)
	}
	for _, f := range c.Faults {
		f.Inject(memkv.SilentWatch, memkv.Always)
	}
	c.Faults[5].Inject(memkv.StaleReads, memkv.Always)
	c.Faults[6].Inject(memkv.Outage, memkv.Always)
	c.withdraw("small-2")
	c.inForceWithin(inForce)
	before := c.versions()["small-2"]
	for i := range testHosts {
		if resp, err := c.via(i, client.Request{}, prompt("x")); err != nil || resp.Receipt.Version != "small-1" {
			t.Errorf("host %d: %+v, %v", i, resp.Receipt, err)
		}
		if resp, err := c.via(i, client.Request{Session: pinned.Session}, prompt("x")); err != nil || resp.Receipt.Version != "small-1" {
			t.Errorf("host %d, session on the withdrawn version: %+v, %v", i, resp.Receipt, err)
		}
	}
	if after := c.versions()["small-2"]; after != before {
		t.Errorf("the withdrawn version ran %d more requests", after-before)
	}
}

// Guards against a session that changes its version in a roll-out, at another
// host or after a restart, and against a silent move after a withdrawal.
func TestSessionKeepsItsVersion(t *testing.T) {
	c := newCluster(t)
	s, err := c.client(0, 3).NewSession(c.ctx, "small")
	if err != nil {
		t.Fatal(err)
	}
	c.apply(resource.Resource{Kind: resource.KindRollout, Name: "small", Spec: &resource.Rollout{
		Model: "small", From: "small-2", To: "small-1", Steps: []float64{1}, StepDuration: resource.Duration(time.Hour),
		State: resource.RolloutHalted,
	}})
	c.inForceWithin(inForce)
	if err := c.StopHost(c.ctx, 2); err != nil {
		t.Fatal(err)
	}
	if err := c.StartHost(c.ctx, 2); err != nil {
		t.Fatal(err)
	}
	for i := range testHosts {
		resp, err := c.via(i, client.Request{Session: s.Session}, prompt("x"))
		if err != nil || resp.Receipt.Version != s.Version || resp.Receipt.SessionMoved {
			t.Errorf("host %d: %+v, %v; want version %s", i, resp.Receipt, err, s.Version)
		}
		if fresh, err := c.via(i, client.Request{}, prompt("x")); err != nil || fresh.Receipt.Version != "small-1" {
			t.Errorf("host %d: new work on %+v, %v; want the version of the roll-out", i, fresh.Receipt, err)
		}
	}
	c.withdraw(s.Version)
	c.inForceWithin(inForce)
	resp, err := c.via(4, client.Request{Session: s.Session}, prompt("x"))
	if err != nil || !resp.Receipt.SessionMoved || resp.Receipt.MovedFrom != s.Version || resp.Receipt.Version == s.Version {
		t.Errorf("after the withdrawal: %+v, %v", resp.Receipt, err)
	}
}

// Guards against a booking that runs twice when its caller repeats it through
// all hosts at once while the store loses replies, and against a false not_run.
func TestBookingRunsAtMostOnceOverHosts(t *testing.T) {
	c := newCluster(t)
	rng := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	for _, f := range c.Faults {
		f.OnCall(func(call memkv.Call, _ string) memkv.Fault {
			mu.Lock()
			defer mu.Unlock()
			if call != memkv.CallCompareAndSwap {
				return memkv.None
			}
			return []memkv.Fault{memkv.None, memkv.None, memkv.ReplyLost, memkv.RequestLost}[rng.IntN(4)]
		})
	}
	const bookings = 8
	ids := make([]string, bookings)
	answered := make([]int, bookings)
	notRun := make([]int, bookings)
	var wg sync.WaitGroup
	for n := range bookings {
		ids[n] = uuid.Must(uuid.NewV7()).String()
		for i := range testHosts {
			wg.Go(func() {
				cl := demo.DirectClient(c.Hosts[i].EntryAddress(), demo.TeamKey)
				_, err := cl.Call(c.ctx, client.Request{ID: ids[n]}, "booking", "book", map[string]any{"n": n})
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err == nil:
					answered[n]++
				case outcomeOf(err) == api.OutcomeNotRun:
					notRun[n]++
				}
			})
		}
	}
	wg.Wait()
	runs := make(map[string]int)
	for _, r := range c.Endpoints.Booking.Runs() {
		runs[r.Key]++
	}
	for n, id := range ids {
		if runs[id] > 1 {
			t.Errorf("booking %d ran %d times", n, runs[id])
		}
		if answered[n] > 0 && runs[id] == 0 {
			t.Errorf("booking %d was answered and never ran", n)
		}
		if runs[id] == 1 && notRun[n] == testHosts {
			t.Errorf("booking %d ran and every host said not_run", n)
		}
	}
}

// Guards against new work on an endpoint that leaves.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.SilentWatch, memkv.Always)
	}
	e := c.resource(resource.KindEndpoint, "engine-a")
	e.Spec.(*resource.Endpoint).State = resource.EndpointLeaving
	c.apply(e)
	c.inForceWithin(leavingBound)
	before := len(c.Endpoints.Engines[0].Runs())
	for i := range testHosts {
		for range 4 {
			if _, err := c.via(i, client.Request{}, prompt("x")); err != nil {
				t.Errorf("host %d: %v", i, err)
			}
		}
	}
	if after := len(c.Endpoints.Engines[0].Runs()); after != before {
		t.Errorf("the leaving endpoint got %d requests", after-before)
	}
}

// Guards against requests cut by a rolling restart, against answers that are
// not whole, and against a bill that misses or doubles a request.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	c := newCluster(t)
	cl := c.client(-1, 1) // no repeats: a cut request would show
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := make(map[string]float64)
	for worker := range 8 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil && n < 2000; n++ {
				id := uuid.Must(uuid.NewV7()).String()
				text := fmt.Sprintf("worker %d request %d", worker, n)
				// The request itself is not cancelled, only the loop.
				resp, err := cl.Stream(c.ctx, client.Request{ID: id}, prompt(text), func(string) error { return nil })
				mu.Lock()
				if err != nil {
					t.Errorf("%s: %v", text, err)
				} else {
					served[id] = resp.Receipt.Cost
				}
				mu.Unlock()
			}
		})
	}
	for i := range testHosts {
		long := c.startLong(i)
		if err := c.StopHost(c.ctx, i); err != nil {
			t.Errorf("stop host %d: %v", i, err)
		}
		if r := <-long; r.err != nil {
			t.Errorf("the long answer of host %d: %v", i, r.err)
		} else {
			mu.Lock()
			served[r.id] = r.cost
			mu.Unlock()
		}
		if err := c.StartHost(c.ctx, i); err != nil {
			t.Fatal(err)
		}
	}
	cancel()
	wg.Wait()
	c.checkBill(served)
}

// Guards against billing records that are lost when a host is stopped while
// the service is away: its peers must write their copies afterwards.
func TestStopInOutageLosesNoRecord(t *testing.T) {
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.Outage, memkv.Always)
	}
	served := make(map[string]float64)
	for i := range testHosts {
		id := uuid.Must(uuid.NewV7()).String()
		resp, err := c.via(i, client.Request{ID: id}, prompt("x"))
		if err != nil {
			t.Fatalf("host %d: %v", i, err)
		}
		served[id] = resp.Receipt.Cost
	}
	if err := c.StopHost(c.ctx, 2); err != nil {
		t.Error(err)
	}
	for _, f := range c.Faults {
		f.ClearAll()
	}
	c.checkBill(served)
}

// Guards against a change that is not in force everywhere in time, and against
// a configuration that reverts after a restart during an outage or when the
// store answers from the past.
func TestConfigurationIsInForceAndNeverReverts(t *testing.T) {
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.SilentWatch, memkv.Always)
		f.Inject(memkv.StaleReads, memkv.Always)
	}
	c.Faults[0].ClearAll() // the operator's host reaches the store
	c.withdraw("small-1")
	c.inForceWithin(inForce)
	list, err := c.Admin().List(c.ctx, "Terms", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range c.Faults {
		f.Inject(memkv.Outage, memkv.Always)
	}
	if err := c.StopHost(c.ctx, 3); err != nil {
		t.Error(err)
	}
	if err := c.StartHost(c.ctx, 3); err != nil {
		t.Fatal(err)
	}
	got, err := admin.NewClient("http://"+c.Hosts[3].EntryAddress(), demo.OperatorKey, nil).List(c.ctx, "", "")
	if err != nil || got.Revision < list.Revision {
		t.Errorf("the restarted host has revision %d, %v; want %d", got.Revision, err, list.Revision)
	}
	if _, err := c.via(3, client.Request{}, prompt("x")); err != nil {
		t.Errorf("a request during the outage: %v", err)
	}
	_, err = c.Admin().Apply(c.ctx, admin.ApplyRequest{ExpectRevision: list.Revision, Delete: []resource.Key{{Kind: resource.KindCascade, Name: "letters"}}})
	if outcomeOf(err) != api.OutcomeNotRun {
		t.Errorf("a change during the outage: %v", err)
	}
}

// Guards against two operators of whom both win a race, and against a conflict
// that does not show the difference.
func TestRacingOperators(t *testing.T) {
	c := newCluster(t)
	list, err := c.Admin().List(c.ctx, "Cascade", "letters")
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, testHosts)
	for i, h := range c.Hosts {
		go func() {
			spec := *list.Resources[0].Spec.(*resource.Cascade)
			spec.QualityTarget = 0.5 + float64(i)/100
			_, err := admin.NewClient("http://"+h.EntryAddress(), demo.OperatorKey, nil).Apply(c.ctx, admin.ApplyRequest{
				ExpectRevision: list.Revision, Author: fmt.Sprint("operator-", i),
				Set: []resource.Resource{{Kind: resource.KindCascade, Name: "letters", Spec: &spec}},
			})
			results <- err
		}()
	}
	won := 0
	for range testHosts {
		err := <-results
		var conflict *admin.ConflictError
		switch {
		case err == nil:
			won++
		case !errors.As(err, &conflict):
			t.Errorf("want a conflict, got %v", err)
		case !slices.ContainsFunc(conflict.Differences, func(d admin.Difference) bool { return d.Name == "letters" && strings.Contains(d.Diff, "Quality") }):
			t.Errorf("the conflict shows %+v", conflict.Differences)
		}
	}
	if won != 1 {
		t.Errorf("%d operators won", won)
	}
}
