package dispatch_test

import (
	"context"
	"testing"

	"github.com/corianderlever/corianderlever/api"
)

// TestCallerWhoLeavesLosesNoEndpoint guards against a host that takes its endpoints for
// unreachable because a request was cancelled while its connection was opened.
func TestCallerWhoLeavesLosesNoEndpoint(t *testing.T) {
	r := newRig(t, 1)
	held := r.holdEngines(api.OutcomeNotRun)
	f := r.start(false, "left")
	<-held.started
	_ = f.end(context.Canceled) // its error is not under test
	if lost := r.pool.LostServices(); len(lost) != 0 {
		t.Errorf("services %v count as lost, want none", lost)
	}
}
