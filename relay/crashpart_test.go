package relay_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/route"
)

// badPart is the prompt part that crashes engines in the tests.
const badPart = "bad"

// crashRig is a rig whose engines crash when they begin an answer on badPart. A new
// engine replaces each one that has crashed.
type crashRig struct {
	*rig
	// confidence is the confidence of the engines in their answers; empty for none.
	confidence string

	mu      sync.Mutex
	started int
	// crashes counts the engines that have crashed, badArrivals the attempts with
	// badPart.
	crashes, badArrivals int
}

func newCrashRig(t *testing.T, engines int, routes ...route.Route) *crashRig {
	t.Helper()
	r := &crashRig{rig: newRig(t, routes...)}
	r.retryBudget.ExtraRetries = 1000
	for range engines {
		r.startEngine()
	}
	return r
}

func (r *crashRig) startEngine() {
	r.mu.Lock()
	r.started++
	id := fmt.Sprint("e", r.started)
	r.mu.Unlock()
	var server *httptest.Server
	ready := make(chan struct{})
	server = r.endpoint(id, func(w http.ResponseWriter, hr *http.Request) {
		<-ready
		bad := strings.Contains(hr.Header.Get("X-Parts"), badPart)
		r.mu.Lock()
		if bad {
			r.badArrivals++
		}
		r.mu.Unlock()
		if r.confidence != "" {
			w.Header().Set("X-Confidence", r.confidence)
		}
		if !bad {
			answer(w, http.StatusOK, eventSeries(1, 3))
			return
		}
		answer(w, http.StatusOK, "")
		_ = http.NewResponseController(w).Flush()
		if hr.Header.Get("X-Model") == "small" {
			<-hr.Context().Done() // the host drops the answer of the smaller model
		}
		r.crash(id, server)
		panic(http.ErrAbortHandler)
	})
	close(ready)
}

// crash ends an engine as the crash of its process does, and starts another one.
func (r *crashRig) crash(id string, server *httptest.Server) {
	_ = server.Listener.Close()
	server.CloseClientConnections()
	r.mu.Lock()
	r.crashes++
	r.mu.Unlock()
	r.startEngine()
}

func (r *crashRig) counts() (crashes, badArrivals int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes, r.badArrivals
}

// contactTime is the time after the fifth crash from which few requests with the part may reach
// engines.
const contactTime = 3 * time.Second

// awaitNotice waits until the host has logged the crash of each engine, at most for contactTime.
// A crash that it finds when it next connects to the engine has no such line.
func (r *crashRig) awaitNotice() {
	for end := time.Now().Add(contactTime); time.Now().Before(end); time.Sleep(time.Millisecond) {
		crashes, _ := r.counts()
		if strings.Count(r.logged(), "endpoint crashed while running a request") >= crashes {
			return
		}
	}
}

// ask sends request n, whose prompt has the given parts and a part of its own. It
// returns the status of the response.
func (r *crashRig) ask(n int, parts string) int {
	r.t.Helper()
	req, _ := http.NewRequestWithContext(context.Background(), "POST", r.server.URL+"/p/x", strings.NewReader(fmt.Sprint("question ", n)))
	req.Header.Set("X-Id", "attempt-1")
	req.Header.Set("X-Key", r.key)
	req.Header.Set("X-Parts", fmt.Sprintf("%s own-%d", parts, n))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// TestPartThatCrashesEnginesReachesNoMore guards against requests that crash one
// engine after another because they share a prompt part and nothing else: none has
// crashed two engines before. Answers that the host drops for a larger model crash
// the engine too, after the host has closed their connection.
func TestPartThatCrashesEnginesReachesNoMore(t *testing.T) {
	for name, c := range map[string]struct {
		route      route.Route
		confidence string
	}{
		"engine lost during the answer":     {streamRoute(true), ""},
		"answer dropped for a larger model": {streamRoute(true, "small", "large"), "0"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCrashRig(t, 8, c.route)
			r.confidence = c.confidence
			const maxAfterFifth = 3
			afterFifth := 0
			for n := range 30 {
				crashed, before := r.counts()
				r.ask(2*n, "shared "+badPart)
				r.awaitNotice()
				if _, arrivals := r.counts(); crashed >= 5 {
					afterFifth += arrivals - before
				}
				r.ask(2*n+1, fmt.Sprint("shared other-", n%4))
			}
			if afterFifth > maxAfterFifth {
				crashes, _ := r.counts()
				t.Errorf("%d requests with the part reached engines after the fifth crash, want at most %d; %d engines crashed", afterFifth, maxAfterFifth, crashes)
			}
			for n := 100; n < 110; n++ {
				if status := r.ask(n, "shared other-1"); status != http.StatusOK {
					t.Errorf("a sound request got status %d, want 200", status)
				}
			}
		})
	}
}
