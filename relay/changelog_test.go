package relay_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
)

// TestChangesOfManyEndpointsShareLines guards against one line for each endpoint at each
// host of a large fleet, and against ids that are missing in the log.
func TestChangesOfManyEndpointsShareLines(t *testing.T) {
	const endpoints = 248
	r := newRig(t)
	var all []fleet.Endpoint
	for i := range endpoints {
		all = append(all, fleet.Endpoint{
			ID: fmt.Sprintf("i-%08x", i), Service: "s", Address: fmt.Sprintf("10.0.0.%d:8000", i), Version: "v1", Revision: int64(i + 1), Started: 1,
		})
	}
	r.fleet.Replace(all, false, time.Now())
	for i := range all {
		all[i].Started, all[i].Revision = 2, all[i].Revision+endpoints
	}
	r.fleet.Replace(all, false, time.Now())
	r.fleet.Replace(nil, false, time.Now())
	r.relay.FlushLog()
	log := r.logged()
	if got := strings.Count(log, "\n"); got > 15 {
		t.Errorf("%d lines for %d changes, want at most 15", got, 3*endpoints)
	}
	for _, e := range all {
		found := strings.Index(log, e.ID+"@"+e.Address)
		restarted := strings.Index(log, e.ID+"@2")
		gone := strings.LastIndex(log, e.ID+"@"+e.Address)
		if found < 0 || restarted < found || gone < restarted {
			t.Errorf("%s found at byte %d, restarted at %d, gone at %d of the log", e.ID, found, restarted, gone)
		}
	}
}
