package limiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/membership"
)

// TestMarksFitIntoOneHeartbeat guards against a crash of many requests whose
// marks do not fit into a heartbeat. Such a signal was dropped entirely, and no
// host received any of the marks.
func TestMarksFitIntoOneHeartbeat(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewCrashGuard(clock, time.Second)
	rejected := Hash(7)
	for i := range 2 {
		g.RecordCrash(fmt.Sprint("endpoint-", i), []Hash{rejected})
		clock.Advance(time.Minute)
	}
	var running []Hash
	for i := range 400 {
		running = append(running, Hash(1000+i))
	}
	g.RecordCrash(strings.Repeat("long-endpoint-name-", 3), running)
	g.RecordCrash("endpoint-0", []Hash{rejected})
	data, err := g.Marks()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > membership.MaxSignalBytes {
		t.Errorf("marks take %d bytes, want at most %d", len(data), membership.MaxSignalBytes)
	}
	other := NewCrashGuard(clock, time.Second)
	if err := other.MergeMarks(data); err != nil {
		t.Fatal(err)
	}
	if got := other.Admit(rejected).Admission; got != AdmitReject {
		t.Errorf("admission of the rejected request on another host is %v, want AdmitReject", got)
	}
	if other.Len() < 2 {
		t.Error("another host received no marks of the many suspects")
	}
}
