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

// majority is the number of hosts that are paused, so that the others are cut
// off from most hosts.
const majority = hosts/2 + 1

// ask sends one short chat to one host and returns its error.
func (tr *trial) ask(addr string) error {
	body := api.ChatRequest{Model: "small", MaxTokens: 2, Messages: []api.Message{{Role: "user", Content: "cut off"}}}
	_, err := demo.DirectClient(addr, demo.TeamKey).Chat(tr.ctx, client.Request{Rank: "urgent"}, body)
	return err
}

// refused reports whether the error is the refusal of a host that cannot
// confirm its configuration.
func refused(err error) bool {
	var e *api.Error
	return errors.As(err, &e) && e.Code == api.CodeUnavailable && e.Outcome == api.OutcomeNotRun
}

// runs returns the number of requests that the engines have begun.
func (tr *trial) runs() int {
	n := 0
	for _, e := range tr.Endpoints.Engines {
		n += len(e.Runs())
	}
	return n
}

// Guards against hosts that go on with a configuration that may have changed
// where they cannot see it: cut off from the service and from most hosts they
// must refuse new work within the time in which a change is in force
// everywhere, and serve again afterwards. While only the service is away, all
// go on.
func TestCutOffHostsRefuseNewWork(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes and takes half a minute")
	}
	tr := newTrial(t)
	seeds := tr.Seeds()
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.within(settled, "the outage outlasts what a read of the store counts", func() bool {
		return time.Since(tr.began) > 2*inForce
	})
	for i, addr := range seeds {
		if err := tr.ask(addr); err != nil {
			t.Errorf("host %d in an outage of the service: %v", i, err)
		}
	}
	for _, h := range tr.Hosts[:majority] {
		tr.must(h.Pause())
	}
	cut := seeds[majority:]
	tr.within(inForce, "the hosts that are cut off refuse new work", func() bool {
		for _, addr := range cut {
			if !refused(tr.ask(addr)) {
				return false
			}
		}
		return true
	})
	before := tr.runs()
	for range 3 {
		for _, addr := range cut {
			if err := tr.ask(addr); !refused(err) {
				t.Errorf("a host that is cut off answered with %v", err)
			}
		}
	}
	if after := tr.runs(); after != before {
		t.Errorf("hosts that are cut off started %d runs", after-before)
	}
	for _, h := range tr.Hosts[:majority] {
		tr.must(h.Resume())
	}
	tr.Faults.ClearAll()
	for i, addr := range seeds {
		tr.within(settled, "all hosts serve again", func() bool { return tr.ask(addr) == nil })
		if t.Failed() {
			t.Fatalf("host %d does not serve again", i)
		}
	}
}

// within polls until ok or the bound has passed.
func (tr *trial) within(bound time.Duration, what string, ok func() bool) {
	tr.t.Helper()
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			tr.t.Fatalf("not within %v: %s", bound, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}
