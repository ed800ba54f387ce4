package proctest_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// majority is the number of hosts to pause so that the others cannot reach a
// majority of hosts.
const majority = hosts/2 + 1

// sendChat sends one short chat to one host and returns its error.
func (tr *testRun) sendChat(addr string) error {
	body := api.ChatRequest{Model: "small", MaxTokens: 2, Messages: []api.Message{{Role: "user", Content: "cut off"}}}
	_, err := demo.DirectClient(addr, demo.TeamKey).Chat(tr.ctx, client.Request{Rank: "urgent"}, body)
	return err
}

// rejectedNotRun reports whether err has the code unavailable and the outcome
// not_run, the rejection of a host that cannot confirm its configuration.
func rejectedNotRun(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && e.Code == api.CodeUnavailable && e.Outcome == api.OutcomeNotRun
}

// runs returns the number of runs that the engines have started.
func (tr *testRun) runs() int {
	n := 0
	for _, e := range tr.Endpoints.Engines {
		n += len(e.Runs())
	}
	return n
}

// TestIsolatedHostsRejectNewWork guards against hosts that serve with a stale
// configuration. Hosts that reach neither the key-value service nor a majority
// of hosts must reject new work within the time in which a change takes effect
// everywhere, and serve again once reconnected. During an outage of the service
// alone, all hosts keep serving.
func TestIsolatedHostsRejectNewWork(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and takes half a minute")
	}
	tr := newTestRun(t)
	seeds := tr.Seeds()
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.waitUntil(recoveryBound, "the outage lasts longer than a read of the store stays valid", func() bool {
		return time.Since(tr.startTime) > 2*propagationBound
	})
	for i, addr := range seeds {
		if err := tr.sendChat(addr); err != nil {
			t.Errorf("host %d did not serve during an outage of the service: %v", i, err)
		}
	}
	for _, h := range tr.Hosts[:majority] {
		tr.must(h.Pause())
	}
	isolated := seeds[majority:]
	tr.waitUntil(propagationBound, "isolated hosts reject new work", func() bool {
		for _, addr := range isolated {
			if !rejectedNotRun(tr.sendChat(addr)) {
				return false
			}
		}
		return true
	})
	before := tr.runs()
	for range 3 {
		for _, addr := range isolated {
			if err := tr.sendChat(addr); !rejectedNotRun(err) {
				t.Errorf("isolated host returned error %v, want code unavailable and outcome not_run", err)
			}
		}
	}
	if after := tr.runs(); after != before {
		t.Errorf("isolated hosts started %d runs, want 0", after-before)
	}
	for _, h := range tr.Hosts[:majority] {
		tr.must(h.Resume())
	}
	tr.Faults.ClearAll()
	for i, addr := range seeds {
		tr.waitUntil(recoveryBound, "all hosts serve again", func() bool { return tr.sendChat(addr) == nil })
		if t.Failed() {
			t.Fatalf("host %d does not serve after the outage", i)
		}
	}
}

// waitUntil polls until ok returns true and fails the test after bound.
func (tr *testRun) waitUntil(bound time.Duration, condition string, ok func() bool) {
	tr.t.Helper()
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			tr.t.Fatalf("condition not met within %v: %s", bound, condition)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
