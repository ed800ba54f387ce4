package limiter

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/membership"
)

// Guards against a crash of many requests whose marks are too large for a
// heartbeat: the whole signal was dropped, and no host learned of any of them.
func TestMarksFitIntoOneHeartbeat(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := NewCrashGuard(clock, time.Second)
	refused := Hash(7)
	for i := range 2 {
		g.RecordCrash(fmt.Sprint("endpoint-", i), []Hash{refused})
		clock.Advance(time.Minute)
	}
	var running []Hash
	for i := range 400 {
		running = append(running, Hash(1000+i))
	}
	g.RecordCrash(strings.Repeat("long-endpoint-name-", 3), running)
	g.RecordCrash("endpoint-0", []Hash{refused})
	data, err := g.Marks()
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > membership.MaxSignalBytes {
		t.Errorf("marks take %d bytes, at most %d fit", len(data), membership.MaxSignalBytes)
	}
	other := NewCrashGuard(clock, time.Second)
	if err := other.MergeMarks(data); err != nil {
		t.Fatal(err)
	}
	if got := other.Admit(refused).Admission; got != AdmitReject {
		t.Errorf("another host gives the refused request %v", got)
	}
	if other.Len() < 2 {
		t.Error("no mark of the many suspects arrived")
	}
}
