package relay_test

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
)

// TestPacesOfRunningStreamsAreShared guards against a host that tells the others of an engine's
// pace only after its answers have ended, or goes on after that.
func TestPacesOfRunningStreamsAreShared(t *testing.T) {
	r := newRig(t, streamRoute(true, "small"))
	var shared []balance.EnginePace
	r.endpoint("e1", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, "")
		for i := 0; i < 1000 && len(shared) == 0; i++ {
			_, _ = io.WriteString(w, eventSeries(i, i))
			_ = http.NewResponseController(w).Flush()
			<-time.After(time.Millisecond) // the time between two events
			other := balance.NewEngineChooser(clockwork.NewFakeClock(), "a")
			other.SetEngines([]balance.EngineSpec{{ID: "e1"}})
			if err := other.ObservePaces("h1", r.relay.Paces()["s"]); err != nil {
				t.Error(err)
			}
			shared = other.EnginePaces()
		}
	})
	if _, _, err := r.call("POST", "/p/x"); err != nil {
		t.Fatal(err)
	}
	if len(shared) != 1 || shared[0].Endpoint != "e1" || shared[0].Streams != 1 || shared[0].Gap <= 0 {
		t.Errorf("another host knows the paces %+v while a stream runs, want one stream at e1", shared)
	}
	if sums := r.relay.OwnLoads(); len(sums["s"].Paces) != 0 {
		t.Errorf("sums %+v hold the pace of a stream that has ended", sums)
	}
}
