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

func plainRoute(kind route.Kind, attempts int) route.Route {
	return route.Route{Name: "r", Prefix: "/p/", Kind: kind, MaxAttempts: attempts, Timeout: 5 * time.Second}
}

// TestForwardsRequestAndAnswerUnchanged guards against an endpoint that receives the
// wrong team, endpoint or target, and against a caller that receives a changed answer.
func TestForwardsRequestAndAnswerUnchanged(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 2))
	r.endpoint("e1", func(w http.ResponseWriter, hr *http.Request) {
		if hr.Header.Get("X-Team") != "red" || hr.Header.Get("X-Endpoint") != "e1" || hr.RequestURI != "/p/%41?q=%20" {
			t.Errorf("endpoint received target %v and header %v", hr.RequestURI, hr.Header)
		}
		w.Header().Set("X-Other", "kept")
		answer(w, http.StatusTeapot, "body")
	})
	resp, body, err := r.call("GET", "/p/%41?q=%20")
	if err != nil || resp.StatusCode != http.StatusTeapot || body != "body" || resp.Header.Get("X-Other") != "kept" {
		t.Errorf("got response %v, body %q, error %v; want 418, \"body\" and the header X-Other", resp, body, err)
	}
}

// TestErrorStatusAndNumberOfAttempts guards against an error status that is wrong
// about whether the request has run, and against requests that run more often than
// the kind of their route allows.
func TestErrorStatusAndNumberOfAttempts(t *testing.T) {
	for name, c := range map[string]struct {
		kind    route.Kind
		handler http.HandlerFunc
		status  int
		arrived int
	}{
		"non-idempotent, answer lost":  {route.NonIdempotent, dropConnection, http.StatusBadGateway, 1},
		"idempotent, all answers lost": {route.Idempotent, dropConnection, http.StatusBadGateway, 2},
		"non-idempotent, all reject":   {route.NonIdempotent, reject, http.StatusServiceUnavailable, 3},
		"unsigned success":             {route.NonIdempotent, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(200) }, http.StatusBadGateway, 1},
		"encoded body":                 {route.NonIdempotent, encoded, http.StatusBadGateway, 1},
		"truncated body":               {route.NonIdempotent, truncated, http.StatusBadGateway, 1},
		"server error, not retryable":  {route.NonIdempotent, failing, http.StatusInternalServerError, 1},
		"server error, tried twice":    {route.Idempotent, failing, http.StatusInternalServerError, 2},
		"address of another endpoint":  {route.NonIdempotent, misdirected, http.StatusServiceUnavailable, 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, plainRoute(c.kind, 2))
			for i := range 4 {
				r.endpoint(fmt.Sprint("e", i), c.handler)
			}
			resp, _, err := r.call("POST", "/p/x")
			if err != nil || resp.StatusCode != c.status || len(r.arrivals()) != c.arrived {
				t.Errorf("got response %v, error %v, arrivals %v; want status and arrivals as in the table", resp, err, r.arrivals())
			}
			if c.status == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
				t.Error("no Retry-After in the answer to a request that has not run")
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

// TestRetryBudgetLimitsRetries guards against retries that multiply the load of a
// service that fails every request.
func TestRetryBudgetLimitsRetries(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 2))
	r.retryBudget = limiter.WindowConfig{Window: 10 * time.Second, RetryRatio: 0.5, ExtraRetries: 0}
	for i := range 2 {
		r.endpoint(fmt.Sprint("e", i), dropConnection)
	}
	const requests = 20
	for range requests {
		if _, _, err := r.call("GET", "/p/x"); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(r.arrivals()); n > requests*3/2 {
		t.Errorf("%d arrivals for %d requests, want at most 1.5 per request", n, requests)
	}
}

// TestUnreachableEndpointDoesNotCountAsRun guards against a non-idempotent request
// that fails although no endpoint has received it yet.
func TestUnreachableEndpointDoesNotCountAsRun(t *testing.T) {
	r := newRig(t, plainRoute(route.NonIdempotent, 1))
	for i := range 3 {
		r.endpoint(fmt.Sprint("dead", i), reject).Close()
	}
	r.endpoint("live", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "booked") })
	if _, body, err := r.call("POST", "/p/x"); err != nil || body != "booked" {
		t.Errorf("got body %q, error %v; want the answer of the live endpoint", body, err)
	}
}

// TestStaleConfigurationRejectsKeys guards against a host that accepts a revoked key
// because its configuration is stale.
func TestStaleConfigurationRejectsKeys(t *testing.T) {
	open := plainRoute(route.Idempotent, 1)
	open.Prefix, open.Anonymous = "/open/", true
	r := newRig(t, plainRoute(route.Idempotent, 1), open)
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "x") })
	r.config.set(func(s *configSource) { s.age = time.Minute })
	for path, want := range map[string]int{"/p/x": http.StatusServiceUnavailable, "/open/x": http.StatusOK, "/none/x": http.StatusNotFound} {
		resp, _, err := r.call("GET", path)
		if err != nil || resp.StatusCode != want {
			t.Errorf("%s: got response %v, error %v; want the status given for this path", path, resp, err)
		}
	}
	r.config.set(func(s *configSource) { s.age = 0; s.table = nil })
	if resp, _, err := r.call("GET", "/p/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("without a configuration: got response %v, error %v; want 503", resp, err)
	}
}

// TestStaleConfigurationServesLenientDeployments guards against an outage of the store
// that ends all service in a deployment that does not ask for strict revocation.
func TestStaleConfigurationServesLenientDeployments(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 1))
	r.maxKeyAge = 0
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "x") })
	r.config.set(func(s *configSource) { s.age = time.Minute })
	if resp, _, err := r.call("GET", "/p/x"); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("got response %v, error %v; want 200", resp, err)
	}
}

// TestOutdatedConfigurationDeniesNothing guards against 404 and 401 for a route or key
// that a newer configuration has added: callers do not retry after these.
func TestOutdatedConfigurationDeniesNothing(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 1))
	r.key = "unknown"
	for _, outdated := range []bool{false, true} {
		r.config.set(func(s *configSource) { s.outdated = outdated })
		for path, status := range map[string]int{"/none/x": http.StatusNotFound, "/p/x": http.StatusUnauthorized} {
			if outdated {
				status = http.StatusServiceUnavailable
			}
			resp, _, err := r.call("GET", path)
			if err != nil || resp.StatusCode != status {
				t.Errorf("%s, outdated %t: got response %v, error %v; want status %d", path, outdated, resp, err, status)
			}
			if outdated && resp.Header.Get("Retry-After") == "" {
				t.Errorf("%s: no Retry-After", path)
			}
		}
	}
}

// TestRechecksKeyBeforeRetry guards against a retry of a request whose key has been
// revoked while the first attempt was in flight.
func TestRechecksKeyBeforeRetry(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 3))
	for i := range 3 {
		r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
			c := route.Config{Version: 2, Routes: []route.Route{plainRoute(route.Idempotent, 3)}, Teams: []route.Team{{Name: "red", Keys: []string{"new"}}}}
			c.Routes[0].Shares = []route.Share{{Service: "s", Weight: 1}}
			r.setConfig(c)
			dropConnection(w, hr)
		})
	}
	resp, _, err := r.call("GET", "/p/x")
	if err != nil || resp.StatusCode != http.StatusBadGateway || len(r.arrivals()) != 1 {
		t.Errorf("got response %v, error %v, arrivals %v; want 502 after one arrival", resp, err, r.arrivals())
	}
}

// TestTimeoutCancelsAttempt guards against a caller that waits longer than the
// timeout of its route, and against an endpoint that continues to work after it.
func TestTimeoutCancelsAttempt(t *testing.T) {
	slow := plainRoute(route.Idempotent, 2)
	slow.Timeout = 50 * time.Millisecond
	r := newRig(t, slow)
	released := make(chan struct{}, 2)
	r.endpoint("e", func(_ http.ResponseWriter, hr *http.Request) {
		<-hr.Context().Done()
		released <- struct{}{}
	})
	resp, _, err := r.call("GET", "/p/x")
	if err != nil || resp.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got response %v, error %v; want 504", resp, err)
	}
	<-released
}

// TestCallerDisconnectCancelsAttempt guards against an endpoint that continues to
// work for a caller that has disconnected.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 2))
	began, ended := make(chan struct{}), make(chan struct{})
	r.endpoint("e", func(_ http.ResponseWriter, hr *http.Request) {
		close(began)
		<-hr.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "GET", r.server.URL+"/p/x", nil)
	req.Header.Set("X-Key", "key")
	go func() {
		<-began
		cancel()
	}()
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
		t.Error("got an answer after the caller had cancelled its request")
	}
	<-ended
}

func streamRoute(resumable bool, models ...string) route.Route {
	return route.Route{
		Name: "r", Prefix: "/p/", Kind: route.Stream, MaxAttempts: 3, Timeout: 5 * time.Second, TargetLatency: time.Second,
		Resumable: resumable, Models: models,
	}
}

func eventSeries(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: e%d\n\n", i, i)
	}
	return b.String()
}

// TestResumesBrokenStream guards against events that are lost, duplicated or
// truncated when another endpoint resumes a stream.
func TestResumesBrokenStream(t *testing.T) {
	r := newRig(t, streamRoute(true))
	for i := range 2 {
		r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
			if last := hr.Header.Get("X-Last-Event"); last != "" {
				if last != "3" {
					t.Errorf("resumed after event %s, want 3", last)
				}
				events(w, 3, 6, false) // the endpoint sends the last event again
				return
			}
			events(w, 1, 3, true)
		})
	}
	_, body, err := r.call("POST", "/p/x")
	if err != nil || body != eventSeries(1, 6) {
		t.Errorf("got body %q, error %v; want events 1 to 6", body, err)
	}
}

// TestAbortsStreamThatCannotResume guards against a truncated answer that the caller
// takes for a complete one.
func TestAbortsStreamThatCannotResume(t *testing.T) {
	for name, c := range map[string]struct {
		resumable bool
		handler   http.HandlerFunc
		arrived   int
	}{
		"not resumable": {false, func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 3, true) }, 1},
		"gap after resuming": {true, func(w http.ResponseWriter, hr *http.Request) {
			if hr.Header.Get("X-Last-Event") == "" {
				events(w, 1, 3, true)
			}
			events(w, 5, 6, false)
		}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, streamRoute(c.resumable))
			for i := range 4 {
				r.endpoint(fmt.Sprint("e", i), c.handler)
			}
			_, body, err := r.call("POST", "/p/x")
			if err == nil || body != eventSeries(1, 3) || len(r.arrivals()) != c.arrived {
				t.Errorf("got body %q, error %v, arrivals %v; want events 1 to 3 and then an error", body, err, r.arrivals())
			}
		})
	}
}

// TestEscalatesLowConfidenceAnswer guards against a caller that receives parts of an
// answer dropped by an escalation, or a low-confidence answer although the engines
// have room for an escalation.
func TestEscalatesLowConfidenceAnswer(t *testing.T) {
	for confidence, want := range map[string]string{"10": "large", "95": "small"} {
		r := newRig(t, streamRoute(true, "small", "large"))
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
			t.Errorf("confidence %s: got body %q, error %v; want the event of one model only", confidence, body, err)
		}
		if got := r.arrivals(); want == "large" && !slices.ContainsFunc(got, func(s string) bool { return strings.HasSuffix(s, "small") }) {
			t.Errorf("arrivals %v, want one for the small model", got)
		}
	}
}

// TestLogExplainsFailure guards against log lines that do not explain why a request
// failed.
func TestLogExplainsFailure(t *testing.T) {
	r := newRig(t, plainRoute(route.NonIdempotent, 1))
	r.endpoint("e1", dropConnection)
	if _, _, err := r.call("POST", "/p/x"); err != nil {
		t.Fatal(err)
	}
	r.server.Close()
	got := r.log.String()
	for _, want := range []string{"request=attempt-1", "outcome=answer_lost", "status=502", "e1", "config=1", "config_age_ms=", "sent=true"} {
		if !strings.Contains(got, want) {
			t.Errorf("log lacks %q:\n%s", want, got)
		}
	}
}

// TestRejectsRequestThatCrashesEndpoints guards against a request that crashes one
// endpoint after another, in particular when its caller retries it.
func TestRejectsRequestThatCrashesEndpoints(t *testing.T) {
	r := newRig(t, plainRoute(route.Idempotent, 2))
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
			t.Fatalf("the request was never rejected; arrivals %v", r.arrivals())
		}
	}
	before := len(r.arrivals())
	if _, _, err := r.call("GET", "/p/x"); err != nil || len(r.arrivals()) != before || before > 4 {
		t.Errorf("got error %v, arrivals %v; want at most 4 and none after the rejection", err, r.arrivals())
	}
}

// TestRejectsRequestThatCannotStartInTime guards against a request that waits until
// its deadline although the load estimates show that no engine can start it in time.
func TestRejectsRequestThatCannotStartInTime(t *testing.T) {
	r := newRig(t, streamRoute(true, "small"))
	r.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 2, false) })
	busy := map[string]balance.EngineLoad{"e": {Running: 4, BacklogMS: []int64{60_000}}}
	r.relay.ObserveLoads("other", relay.Loads{"s": balance.EncodeLoads(busy, 100)})
	resp, _, err := r.call("POST", "/p/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || len(r.arrivals()) != 0 {
		t.Fatalf("got response %v, error %v, arrivals %v; want 503 and no arrival", resp, err, r.arrivals())
	}
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err != nil || after < 30 {
		t.Errorf("got Retry-After %q s, want at least 30 s for a backlog of one minute", resp.Header.Get("Retry-After"))
	}
}

// TestStaysOnFirstVersion guards against a request that is in flight when a roll-out
// begins and escalates to the larger model of the new version. The requests of its
// session would then have run on two versions.
func TestStaysOnFirstVersion(t *testing.T) {
	r := newRig(t, streamRoute(true, "small", "large"))
	began := false
	lowConfidence := func(w http.ResponseWriter, hr *http.Request) {
		if !began {
			began = true
			for i := range 20 {
				r.endpointOf("v2", fmt.Sprint("new", i), func(w http.ResponseWriter, _ *http.Request) { events(w, 1, 1, false) })
			}
		}
		w.Header().Set("X-Confidence", "10")
		events(w, 1, 1, false)
	}
	r.endpoint("old1", lowConfidence)
	if _, _, err := r.call("POST", "/p/x"); err != nil {
		t.Fatal(err)
	}
	for _, run := range r.arrivals() {
		if strings.HasPrefix(run, "new") {
			t.Errorf("arrivals %v, want none at the new version", r.arrivals())
		}
	}
}
