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

// TestOnlyAllowedVersionsRun guards against hosts that still run a version after it
// was removed from the team's allowed versions, also while one of them cannot reach
// the store.
func TestOnlyAllowedVersionsRun(t *testing.T) {
	c := newCluster(t)
	c.Faults[6].Inject(memkv.Outage, memkv.Always)
	team := c.resource(resource.KindTeam, demo.TeamName)
	team.Spec.(*resource.Team).Versions = []string{"small-1"}
	c.apply(team)
	c.waitInForce(inForce)
	before := c.runsByVersion()
	for i := range testHosts {
		for range 3 {
			if resp, err := c.sendVia(i, client.Request{}, prompt("x")); err != nil || resp.Receipt.Version != "small-1" {
				t.Errorf("host %d: %+v, %v; want version small-1", i, resp.Receipt, err)
			}
		}
	}
	if after := c.runsByVersion(); after["small-2"] != before["small-2"] || after["large-1"] != before["large-1"] {
		t.Errorf("runs by version were %v and are %v, want no more of small-2 and large-1", before, after)
	}
}

// TestWithdrawnVersionGetsNoWork guards against hosts that send requests to a
// withdrawn version because their watch is silent, their reads are stale, or they
// cannot reach the store.
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
	c.waitInForce(inForce)
	before := c.runsByVersion()["small-2"]
	for i := range testHosts {
		if resp, err := c.sendVia(i, client.Request{}, prompt("x")); err != nil || resp.Receipt.Version != "small-1" {
			t.Errorf("host %d: %+v, %v; want version small-1", i, resp.Receipt, err)
		}
		if resp, err := c.sendVia(i, client.Request{Session: pinned.Session}, prompt("x")); err != nil || resp.Receipt.Version != "small-1" {
			t.Errorf("host %d, session on the withdrawn version: %+v, %v; want version small-1", i, resp.Receipt, err)
		}
	}
	if after := c.runsByVersion()["small-2"]; after != before {
		t.Errorf("the withdrawn version ran %d more requests, want 0", after-before)
	}
}

// TestSessionKeepsItsVersion guards against a session that changes its version
// during a roll-out, at another host or after a restart of a host, and against a
// move after a withdrawal that is not reported to the caller.
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
	c.waitInForce(inForce)
	if err := c.StopHost(c.ctx, 2); err != nil {
		t.Fatal(err)
	}
	if err := c.StartHost(c.ctx, 2); err != nil {
		t.Fatal(err)
	}
	for i := range testHosts {
		resp, err := c.sendVia(i, client.Request{Session: s.Session}, prompt("x"))
		if err != nil || resp.Receipt.Version != s.Version || resp.Receipt.SessionMoved {
			t.Errorf("host %d: %+v, %v; want version %s", i, resp.Receipt, err, s.Version)
		}
		if fresh, err := c.sendVia(i, client.Request{}, prompt("x")); err != nil || fresh.Receipt.Version != "small-1" {
			t.Errorf("host %d: new work on %+v, %v; want small-1, the version of the roll-out", i, fresh.Receipt, err)
		}
	}
	c.withdraw(s.Version)
	c.waitInForce(inForce)
	resp, err := c.sendVia(4, client.Request{Session: s.Session}, prompt("x"))
	if err != nil || !resp.Receipt.SessionMoved || resp.Receipt.MovedFrom != s.Version || resp.Receipt.Version == s.Version {
		t.Errorf("after the withdrawal: %+v, %v; want another version and a reported move", resp.Receipt, err)
	}
}

// TestBookingRunsAtMostOnceOverHosts guards against a booking that runs twice when
// its caller sends it through all hosts at once while the store loses requests and
// replies, and against the outcome not_run for a booking that ran.
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
			t.Errorf("booking %d ran %d times, want at most 1", n, runs[id])
		}
		if answered[n] > 0 && runs[id] == 0 {
			t.Errorf("booking %d was answered but never ran", n)
		}
		if runs[id] == 1 && notRun[n] == testHosts {
			t.Errorf("booking %d ran but every host answered not_run", n)
		}
	}
}

// TestLeavingEndpointGetsNoWork guards against new requests to an endpoint in the
// state leaving.
func TestLeavingEndpointGetsNoWork(t *testing.T) {
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.SilentWatch, memkv.Always)
	}
	e := c.resource(resource.KindEndpoint, "engine-a")
	e.Spec.(*resource.Endpoint).State = resource.EndpointLeaving
	c.apply(e)
	c.waitInForce(leavingBound)
	before := len(c.Endpoints.Engines[0].Runs())
	for i := range testHosts {
		for range 4 {
			if _, err := c.sendVia(i, client.Request{}, prompt("x")); err != nil {
				t.Errorf("host %d: %v", i, err)
			}
		}
	}
	if after := len(c.Endpoints.Engines[0].Runs()); after != before {
		t.Errorf("the leaving endpoint got %d requests, want 0", after-before)
	}
}

// TestRollingRestartCutsNoRequest guards against requests that are cut by a rolling
// restart, truncated answers, and a bill that misses a request or counts it twice.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	c := newCluster(t)
	cl := c.client(-1, 1) // no retries, which would hide a cut request
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := make(map[string]float64)
	for worker := range 8 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil && n < 2000; n++ {
				id := uuid.Must(uuid.NewV7()).String()
				text := fmt.Sprintf("worker %d request %d", worker, n)
				// Cancelling ctx ends the loop but not the request in flight.
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
		answer := c.startLongAnswer(i)
		if err := c.StopHost(c.ctx, i); err != nil {
			t.Errorf("stop host %d: %v", i, err)
		}
		if r := <-answer; r.err != nil {
			t.Errorf("long answer of host %d: %v", i, r.err)
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

// TestStopInOutageLosesNoRecord guards against billing records that are lost when a
// host is stopped during an outage of the store. Its peers must write their copies
// afterwards.
func TestStopInOutageLosesNoRecord(t *testing.T) {
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.Outage, memkv.Always)
	}
	served := make(map[string]float64)
	for i := range testHosts {
		id := uuid.Must(uuid.NewV7()).String()
		resp, err := c.sendVia(i, client.Request{ID: id}, prompt("x"))
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

// TestConfigurationIsInForceAndNeverReverts guards against a configuration change
// that does not reach all hosts in time, and against a configuration that reverts
// after a restart during an outage or because the store returns stale reads.
func TestConfigurationIsInForceAndNeverReverts(t *testing.T) {
	c := newCluster(t)
	for _, f := range c.Faults {
		f.Inject(memkv.SilentWatch, memkv.Always)
		f.Inject(memkv.StaleReads, memkv.Always)
	}
	c.Faults[0].ClearAll() // the operator's host reaches the store
	c.withdraw("small-1")
	c.waitInForce(inForce)
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
		t.Errorf("the restarted host has revision %d, %v; want at least %d", got.Revision, err, list.Revision)
	}
	if _, err := c.sendVia(3, client.Request{}, prompt("x")); err != nil {
		t.Errorf("request during the outage: %v", err)
	}
	_, err = c.Admin().Apply(c.ctx, admin.ApplyRequest{ExpectRevision: list.Revision, Delete: []resource.Key{{Kind: resource.KindCascade, Name: "letters"}}})
	if outcomeOf(err) != api.OutcomeNotRun {
		t.Errorf("change during the outage: %v, want outcome not_run", err)
	}
}

// TestRacingOperators guards against concurrent changes by operators of which more
// than one succeeds, and against a conflict error that does not show the
// difference.
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
			t.Errorf("got %v, want a conflict", err)
		case !slices.ContainsFunc(conflict.Differences, func(d admin.Difference) bool { return d.Name == "letters" && strings.Contains(d.Diff, "Quality") }):
			t.Errorf("the conflict shows %+v, want the difference of the cascade letters", conflict.Differences)
		}
	}
	if won != 1 {
		t.Errorf("%d operators succeeded, want 1", won)
	}
}
