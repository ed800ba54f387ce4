package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
)

func plain(kind route.Kind, attempts int) route.Route {
	return route.Route{Name: "r", Prefix: "/p/", Kind: kind, MaxAttempts: attempts, Timeout: 5 * time.Second}
}

// TestPassesTheAnswerOn guards against a request that reaches its endpoint under
// another identity, and an answer that reaches its caller changed.
func TestPassesTheAnswerOn(t *testing.T) {
	r := newRig(t, plain(route.Idempotent, 2))
	r.endpoint("e1", func(w http.ResponseWriter, hr *http.Request) {
		if hr.Header.Get("X-Team") != "red" || hr.Header.Get("X-Endpoint") != "e1" || hr.RequestURI != "/p/%41?q=%20" {
			t.Errorf("received %v %v", hr.RequestURI, hr.Header)
		}
		w.Header().Set("X-Other", "kept")
		answer(w, http.StatusTeapot, "body")
	})
	resp, body, err := r.call("GET", "/p/%41?q=%20")
	if err != nil || resp.StatusCode != http.StatusTeapot || body != "body" || resp.Header.Get("X-Other") != "kept" {
		t.Errorf("%v %q %v", resp, body, err)
	}
}

// TestRefusals guards against refusals whose status says something untrue about
// the run, and against requests that run more often than their kind allows.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		kind    route.Kind
		handler http.HandlerFunc
		status  int
		arrived int
	}{
		"non-idempotent, answer lost":    {route.NonIdempotent, lose, http.StatusBadGateway, 1},
		"idempotent, all answers lost":   {route.Idempotent, lose, http.StatusBadGateway, 2},
		"non-idempotent, all full":       {route.NonIdempotent, reject, http.StatusServiceUnavailable, 3},
		"unsigned success":               {route.NonIdempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, http.StatusBadGateway, 1},
		"encoded body":                   {route.NonIdempotent, encoded, http.StatusBadGateway, 1},
		"body cut":                       {route.NonIdempotent, truncated, http.StatusBadGateway, 1},
		"own failure, not repeatable":    {route.NonIdempotent, failing, http.StatusInternalServerError, 1},
		"own failure, tried twice":       {route.Idempotent, failing, http.StatusInternalServerError, 2},
		"another endpoint has the place": {route.NonIdempotent, misdirected, http.StatusServiceUnavailable, 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, plain(c.kind, 2))
			for i := range 4 {
				r.endpoint(fmt.Sprint("e", i), c.handler)
			}
			resp, _, err := r.call("POST", "/p/x")
			if err != nil || resp.StatusCode != c.status || len(r.arrived()) != c.arrived {
				t.Errorf("status %v, %v; arrived at %v", resp, err, r.arrived())
			}
			if c.status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Error("a refusal that has not run does not say when to come back")
			}
		})
	}
}

func encoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Encoding", "gzip")
	answer(w, http.StatusOK, "x")
}

func truncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	answer(w, http.StatusOK, "x")
}

func failing(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusInternalServerError, "x") }

func misdirected(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// TestBudgetStopsRepeats guards against repeats that multiply the load of a
// service that fails every request.
func TestBudgetStopsRepeats(t *testing.T) {
	r := newRig(t, plain(route.Idempotent, 2))
	r.retry = limiter.WindowConfig{Window: 10 * time.Second, RetryRatio: 0.5, ExtraRetries: 0}
	for i := range 2 {
		r.endpoint(fmt.Sprint("e", i), lose)
	}
	const requests = 20
	for range requests {
		if _, _, err := r.call("GET", "/p/x"); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.arrived()); n > requests*3/2 {
		t.Errorf("%d arrivals of %d requests", n, requests)
	}
}

// TestUnreachableEndpointIsNoRun guards against a booking that fails although
// its first endpoint never received it.
func TestUnreachableEndpointIsNoRun(t *testing.T) {
	r := newRig(t, plain(route.NonIdempotent, 1))
	for i := range 3 {
		r.endpoint(fmt.Sprint("dead", i), reject).Close()
	}
	r.endpoint("live", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "booked") })
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != "booked" {
		t.Errorf("%q, %v", body, err)
	}
}

// TestStaleConfigurationRefusesKeys guards against a key that serves after it
// was taken away, at a host that cannot know it.
func TestStaleConfigurationRefusesKeys(t *testing.T) {
	open := plain(route.Idempotent, 1)
	open.Prefix, open.Anonymous = "/open/", true
	r := newRig(t, plain(route.Idempotent, 1), open)
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "x") })
	r.state.set(func(s *state) { s.age = time.Minute })
	for path, want := range map[string]int{"/p/x": http.StatusServiceUnavailable, "/open/x": http.StatusOK, "/none/x": http.StatusNotFound} {
		resp, _, err := r.call("GET", path)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: %v, %v", path, resp, err)
		}
	}
	r.state.set(func(s *state) { s.age = 0; s.table = nil })
	if resp, _, err := r.call("GET", "/p/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: %v, %v", resp, err)
	}
}

// TestChecksTheKeyAgainBeforeARepeat guards against a key that is taken away
// while its request is under way and serves once more.
func TestChecksTheKeyAgainBeforeARepeat(t *testing.T) {
	r := newRig(t, plain(route.Idempotent, 3))
	for i := range 3 {
		r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
			c := route.Config{Version: 2, Routes: []route.Route{plain(route.Idempotent, 3)}, Teams: []route.Team{{Name: "red", Keys: []string{"new"}}}}
			c.Routes[0].Shares = []route.Share{{Service: "s", Weight: 1}}
			r.setConfig(c)
			lose(w, hr)
		})
	}
	resp, _, err := r.call("GET", "/p/x")
	if err != nil || resp.StatusCode != http.StatusBadGateway || len(r.arrived()) != 1 {
		t.Errorf("%v, %v; arrived at %v", resp, err, r.arrived())
	}
}

// TestTimeoutEndsTheWait guards against a caller that is kept waiting beyond
// its route's timeout, and an endpoint that goes on working then.
func TestTimeoutEndsTheWait(t *testing.T) {
	slow := plain(route.Idempotent, 2)
	slow.Timeout = 50 * time.Millisecond
	r := newRig(t, slow)
	released := make(chan struct{}, 2)
	r.endpoint("e", func(_ http.ResponseWriter, hr *http.Request) {
		<-hr.Context().Done()
		released <- struct{}{}
	})
	resp, _, err := r.call("GET", "/p/x")
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("%v, %v", resp, err)
	}
	<-released
}

// TestCallerThatLeavesEndsTheRun guards against work for callers that are gone.
func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	r := newRig(t, plain(route.Idempotent, 2))
	began, ended := make(chan struct{}), make(chan struct{})
	r.endpoint("e", func(_ http.ResponseWriter, hr *http.Request) {
		close(began)
		<-hr.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", r.front.URL+"/p/x", nil)
	req.Header.Set("X-Key", "key")
	go func() {
		<-began
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Error("an answer for a caller that left")
	}
	<-ended
}

func stream(resumable bool, models ...string) route.Route {
	return route.Route{
		Name: "r", Prefix: "/p/", Kind: route.Stream, MaxAttempts: 3, Timeout: 5 * time.Second, TargetLatency: time.Second,
		Resumable: resumable, Models: models,
	}
}

func series(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// TestContinuesABrokenStream guards against events that are missing, come twice
// or are cut in half when another endpoint takes over.
func TestContinuesABrokenStream(t *testing.T) {
	r := newRig(t, stream(true))
	for i := range 2 {
		r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
			if last := hr.Header.Get("X-Last-Event"); last != "" {
				if last != "3" {
					t.Errorf("continued after %s", last)
				}
				events(w, 3, 6, false) // the endpoint repeats the last event
				return
			}
			events(w, 1, 3, true)
		})
	}
	_, body, err := r.call("POST", "/p/x")
	if err != nil || body != series(1, 6) {
		t.Errorf("%q, %v", body, err)
	}
}

// TestCutsAStreamThatCannotGoOn guards against a broken answer that looks complete.
func TestCutsAStreamThatCannotGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		handler   http.HandlerFunc
		arrived   int
	}{
		"not resumable": {false, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3, true) }, 1},
		"gap after the resumption": {true, func(w http.ResponseWriter, hr *http.Request) {
			if hr.Header.Get("X-Last-Event") == "" {
				events(w, 1, 3, true)
			}
			events(w, 5, 6, false)
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, stream(c.resumable))
			for i := range 4 {
				r.endpoint(fmt.Sprint("e", i), c.handler)
			}
			_, body, err := r.call("POST", "/p/x")
			if err == nil || body != series(1, 3) || len(r.arrived()) != c.arrived {
				t.Errorf("%q, %v; arrived at %v", body, err, r.arrived())
			}
		})
	}
}

// TestAsksALargerModelForADoubtfulAnswer guards against a caller that gets the
// pieces of an answer that was dropped, or a doubtful answer though there is room.
func TestAsksALargerModelForADoubtfulAnswer(t *testing.T) {
	for confidence, want := range map[string]string{"10": "large", "95": "small"} {
		r := newRig(t, stream(true, "small", "large"))
		for i := range 2 {
			r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
				model := hr.Header.Get("X-Model")
				w.Header().Set("X-Confidence", confidence)
				w.Header().Set("X-Signature", "signed")
				fmt.Fprintf(w, "id: 1\ndata: %s\n\n", model)
			})
		}
		_, body, err := r.call("POST", "/p/x")
		if err != nil || body != "id: 1\ndata: "+want+"\n\n" {
			t.Errorf("confidence %s: %q, %v", confidence, body, err)
		}
		if got := r.arrived(); want == "large" && !slices.ContainsFunc(got, func(s string) bool { return strings.HasSuffix(s, "small") }) {
			t.Errorf("arrived at %v", got)
		}
	}
}

// TestLogsWhatDecided guards against a failed request that cannot be explained
// afterwards from the host's log.
func TestLogsWhatDecided(t *testing.T) {
	r := newRig(t, plain(route.NonIdempotent, 1))
	r.endpoint("e1", lose)
	if _, _, err := r.call("POST", "/p/x"); err != nil {
		t.Fatal(err)
	}
	r.front.Close()
	got := r.log.String()
	for _, want := range []string{"request=attempt-1", "outcome=answer_lost", "status=502", "e1", "config=1", "config_age_ms=", "sent=true"} {
		if !strings.Contains(got, want) {
			t.Errorf("log lacks %q:\n%s", want, got)
		}
	}
}

// TestStopsARequestThatCrashesEndpoints guards against a request that takes
// down one endpoint after the other, also when its caller sends it again.
func TestStopsARequestThatCrashesEndpoints(t *testing.T) {
	r := newRig(t, plain(route.Idempotent, 2))
	servers := map[string]*httptest.Server{}
	for i := range 6 {
		id := fmt.Sprint("e", i)
		servers[id] = r.endpoint(id, func(_ http.ResponseWriter, hr *http.Request) {
			_ = servers[hr.Header.Get("X-Endpoint")].Listener.Close()
			panic(http.ErrAbortHandler)
		})
	}
	for n := 0; ; n++ {
		resp, _, err := r.call("GET", "/p/x")
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == http.StatusServiceUnavailable && n > 0 {
			break
		}
		if n > 100 {
			t.Fatalf("not stopped; arrived at %v", r.arrived())
		}
	}
	before := len(r.arrived())
	if _, _, err := r.call("GET", "/p/x"); err != nil || len(r.arrived()) != before || before > 4 {
		t.Errorf("%v; arrived at %v", err, r.arrived())
	}
}

// TestRefusesAtOnceWhatCannotBegin guards against a request that waits until its
// deadline although its host knows that no engine can begin with it in time.
func TestRefusesAtOnceWhatCannotBegin(t *testing.T) {
	r := newRig(t, stream(true, "small"))
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, false) })
	busy := map[string]balance.EngineLoad{"e": {Running: 4, BacklogMS: []int64{60_000}}}
	r.relay.ObserveLoads("other", relay.Loads{"s": balance.EncodeLoads(busy, 100)})
	resp, _, err := r.call("POST", "/p/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(r.arrived()) != 0 {
		t.Fatalf("%v, %v; arrived at %v", resp, err, r.arrived())
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 30 {
		t.Errorf("told to come back after %q seconds, the work ahead takes a minute", resp.Header.Get("Retry-After"))
	}
}

// TestStaysOnItsFirstVersion guards against a request that is under way when a
// roll-out begins and asks the larger model of the new version: the requests of
// its session would then have run on two versions.
func TestStaysOnItsFirstVersion(t *testing.T) {
	r := newRig(t, stream(true, "small", "large"))
	began := false
	doubtful := func(w http.ResponseWriter, hr *http.Request) {
		if !began {
			began = true
			for i := range 20 {
				r.endpointOf("v2", fmt.Sprint("new", i), func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1, false) })
			}
		}
		w.Header().Set("X-Confidence", "10")
		events(w, 1, 1, false)
	}
	r.endpoint("old1", doubtful)
	if _, _, err := r.call("POST", "/p/x"); err != nil {
		t.Fatal(err)
	}
	for _, run := range r.arrived() {
		if strings.HasPrefix(run, "new") {
			t.Errorf("ran at %v", r.arrived())
		}
	}
}
