package relay_test

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/route"
)

// TestBoundsAnswersWithoutEnd guards against a host that runs out of memory because
// endpoints send bodies or events without end. The request is served by another
// endpoint, and the bytes are released.
func TestBoundsAnswersWithoutEnd(t *testing.T) {
	const maxAllocated = 64 << 20 // bytes; a body may take 16 MiB before it is given up
	plain, stream := plainRoute(route.Idempotent, 2), streamRoute(true)
	for name, c := range map[string]struct {
		route route.Route
		part  string
	}{
		"body":                 {plain, strings.Repeat("x", 32<<10)},
		"event of one line":    {stream, strings.Repeat("x", 32<<10)},
		"event of short lines": {stream, strings.Repeat("data: x\n", 4<<10)},
	} {
		r := newRig(t, c.route)
		var first sync.Once
		handler := func(w http.ResponseWriter, _ *http.Request) {
			endless := false
			first.Do(func() { endless = true })
			if !endless {
				answer(w, http.StatusOK, eventSeries(1, 3))
				return
			}
			answer(w, http.StatusOK, "")
			part := []byte(c.part)
			for {
				if _, err := w.Write(part); err != nil {
					return
				}
			}
		}
		r.endpoint("e1", handler)
		r.endpoint("e2", handler)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		resp, body, err := r.call("POST", "/p/x")
		runtime.ReadMemStats(&after)
		if err != nil || resp.StatusCode != http.StatusOK || body != eventSeries(1, 3) {
			t.Errorf("%s: got %.60q, response %v, error %v; want the answer of the other endpoint", name, body, resp, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
			t.Errorf("%s: %d bytes allocated, want at most %d", name, n, maxAllocated)
		}
		if n := r.relay.Buffers.Used(); n != 0 {
			t.Errorf("%s: %d bytes still reserved", name, n)
		}
	}
}

// TestShedsAnswerThatGrew guards against a host that runs out of memory because many
// large bodies arrive at the same time: an answer without room is given up, and the
// others are delivered whole.
func TestShedsAnswerThatGrew(t *testing.T) {
	const size, calls = bufferBytes / 4, 12
	r := newRig(t, plainRoute(route.NonIdempotent, 1))
	want := strings.Repeat("x", size)
	held := make(chan struct{}, calls)
	release := make(chan struct{})
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, want[:size-1])
		w.(http.Flusher).Flush()
		held <- struct{}{}
		<-release
		_, _ = io.WriteString(w, want[size-1:])
	})
	var wg sync.WaitGroup
	var mu sync.Mutex
	whole, shed := 0, 0
	for range calls {
		wg.Go(func() {
			resp, body, err := r.call("POST", "/p/x")
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil && resp.StatusCode == http.StatusOK && body == want:
				whole++
			case err == nil && resp.StatusCode == http.StatusBadGateway:
				shed++
			default:
				t.Errorf("got %d bytes, response %v, error %v; want the answer or 502", len(body), resp, err)
			}
		})
	}
	for range calls {
		<-held
	}
	close(release)
	wg.Wait()
	if whole == 0 || shed == 0 || r.relay.Buffers.Used() != 0 {
		t.Errorf("%d whole, %d shed, %d bytes still reserved; want some of each and none reserved", whole, shed, r.relay.Buffers.Used())
	}
}

// TestLongLineIsOneLine guards against the rest of a line that is longer than a buffer
// being read as a line of its own: as an event id, or as the end of the event.
func TestLongLineIsOneLine(t *testing.T) {
	r := newRig(t, streamRoute(false))
	var events strings.Builder
	for _, rest := range []string{"id: 99", "", "id: x"} {
		for length := 2040; length < 2056; length++ {
			events.WriteString("data: " + strings.Repeat("x", length-len("data: ")) + rest + "\n\n")
		}
	}
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, events.String()) })
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != events.String() {
		t.Errorf("got %d bytes, error %v; want the %d bytes of the stream", len(body), err, events.Len())
	}
}

// TestStalledStreamEndsAtTimeout guards against a stalled stream that sends a byte now and
// then and so never ends.
func TestStalledStreamEndsAtTimeout(t *testing.T) {
	stalling := streamRoute(true)
	stalling.Timeout = 100 * time.Millisecond
	r := newRig(t, stalling)
	released := make(chan struct{}, 1)
	r.endpoint("e", func(w http.ResponseWriter, hr *http.Request) {
		answer(w, http.StatusOK, eventSeries(1, 2))
		for {
			select {
			case <-hr.Context().Done():
				released <- struct{}{}
				return
			case <-time.After(time.Millisecond):
			}
			_, _ = io.WriteString(w, ":")
			w.(http.Flusher).Flush()
		}
	})
	_, body, err := r.call("POST", "/p/x")
	if err == nil || body != eventSeries(1, 2) {
		t.Errorf("got %q, error %v; want the complete events and an answer that does not look complete", body, err)
	}
	<-released
}

// TestSlowStreamIsNotCut guards against a slow but sound stream that is ended because of
// its pauses: only the timeout of the route ends it.
func TestSlowStreamIsNotCut(t *testing.T) {
	slow := streamRoute(false)
	slow.TargetLatency, slow.TargetGap = time.Millisecond, time.Millisecond
	r := newRig(t, slow)
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, "")
		for i := range 4 {
			<-time.After(50 * slow.TargetGap)
			_, _ = io.WriteString(w, eventSeries(i, i))
			w.(http.Flusher).Flush()
		}
	})
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != eventSeries(0, 3) {
		t.Errorf("got %q, error %v; want all events", body, err)
	}
}

// TestEndpointThatSendsWithoutEndIsAvoided guards against a host that gives its time to an
// endpoint in trouble: every request would read its bytes up to a limit. The only endpoint is
// still used, as it may be sound again.
func TestEndpointThatSendsWithoutEndIsAvoided(t *testing.T) {
	const calls = 12
	r := newRig(t, plainRoute(route.Idempotent, 2))
	r.setPlainService(plainRoute(route.Idempotent, 2))
	part := []byte(strings.Repeat("x", 32<<10))
	trouble := r.endpoint("trouble", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, "")
		for {
			if _, err := w.Write(part); err != nil {
				return
			}
		}
	})
	sound := r.endpoint("sound", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") })
	for range calls {
		if resp, body, err := r.call("POST", "/p/x"); err != nil || resp.StatusCode != http.StatusOK || body != "served" {
			t.Errorf("got %v, %.20q, %v; want the answer of the sound endpoint", resp, body, err)
		}
	}
	troubled := 0
	for _, got := range r.arrivals() {
		if got == "trouble" {
			troubled++
		}
	}
	if troubled > 1 {
		t.Errorf("%d of %d requests reached the endpoint in trouble, want at most 1", troubled, calls)
	}
	sound.Close()
	r.fleet.Remove("sound", 1<<40, false, time.Now())
	_, _, _ = r.call("POST", "/p/x") // it fails
	if got := r.arrivals(); got[len(got)-1] != "trouble" {
		t.Errorf("the only endpoint that is left gets no request, the last one reached %s", got[len(got)-1])
	}
	trouble.Close()
}

// TestEventsWithoutIDsStayOutOfANumberedStream guards against callers that find bytes of an
// endpoint in trouble, which are no answer, within or in place of the events of their stream.
func TestEventsWithoutIDsStayOutOfANumberedStream(t *testing.T) {
	for name, before := range map[string]string{"at the start": "", "after three events": eventSeries(1, 3)} {
		r := newRig(t, streamRoute(true))
		var first sync.Once
		handler := func(w http.ResponseWriter, hr *http.Request) {
			trouble := false
			first.Do(func() { trouble = true })
			switch {
			case trouble:
				answer(w, http.StatusOK, before+strings.Repeat("data: x\n\n", 1<<10))
			case before != "":
				answer(w, http.StatusOK, eventSeries(4, 6))
			default:
				answer(w, http.StatusOK, eventSeries(1, 6))
			}
		}
		r.endpoint("e1", handler)
		r.endpoint("e2", handler)
		if _, body, err := r.call("POST", "/p/x"); err != nil || body != eventSeries(1, 6) {
			t.Errorf("%s: got %.80q, error %v; want the six events of the stream", name, body, err)
		}
	}
}
