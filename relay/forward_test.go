package relay_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

var clusterKey = []byte("0123456789abcdef")

// hostLinks is a relay.Forwarder that reaches the given hosts, and a way to endpoints that
// can be cut.
type hostLinks struct {
	cut    atomic.Bool
	client *forward.Client

	// lease, if set, returns the lease on a stream that is forwarded to a host.
	lease func(host string) relay.RunLease

	mu    sync.Mutex
	hosts []string // addresses
	asked []string
}

func (l *hostLinks) Choose(_ string, exclude []string) (string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		if !slices.Contains(exclude, h) {
			return h, true
		}
	}
	return "", false
}

func (l *hostLinks) Forward(ctx context.Context, host string, f relay.Forwarded, body []byte) (*upstream.Response, error) {
	l.mu.Lock()
	l.asked = append(l.asked, host)
	l.mu.Unlock()
	return l.client.Do(ctx, host, f, body)
}

func (*hostLinks) Refused(string, string) {}

func (l *hostLinks) Lease(host, _ string) relay.RunLease {
	if l.lease != nil {
		return l.lease(host)
	}
	return noLease{}
}

// noLease is a lease that hosts do not ask for.
type noLease struct{}

func (noLease) ID() string { return "" }

func (noLease) Close() {}

func (noLease) Revoke(context.Context) error { return nil }

func (l *hostLinks) forwards() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.asked)
}

func (l *hostLinks) dial(ctx context.Context, network, address string) (net.Conn, error) {
	if l.cut.Load() {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	return new(net.Dialer).DialContext(ctx, network, address)
}

// newCutRig returns a rig whose links to the endpoints are cut, with those links.
func newCutRig(t *testing.T, routes ...route.Route) (*rig, *hostLinks) {
	t.Helper()
	links := &hostLinks{client: forward.NewClient(forward.ClientOptions{Key: clusterKey, Self: "origin", Clock: clockwork.NewRealClock()})}
	links.cut.Store(true)
	t.Cleanup(links.client.Close)
	r := newRigWith(t, func(o *relay.Options) {
		client := upstream.DefaultOptions()
		client.Dial = links.dial
		o.Client, o.Forwarder = upstream.NewClient(client), links
	}, routes...)
	return r, links
}

// listen lets a rig serve the requests that other hosts forward, after what before does.
func (r *rig) listen(before http.HandlerFunc) string {
	r.t.Helper()
	return listenForwarded(r.t, r.forwardedHandler(before))
}

// listenForwarded serves the requests that other hosts forward and returns the address.
func listenForwarded(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{ConnContext: forward.ConnContext, ReadHeaderTimeout: time.Minute, Handler: handler}
	go func() { _ = server.Serve(forward.Listener(ln, clusterKey)) }() // ends with Close
	t.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// forwardedHandler serves the requests that other hosts forward, after what before does.
func (r *rig) forwardedHandler(before http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, hr *http.Request) {
		req, err := forward.Read(w, hr, limiter.NewByteBudget(1<<20), 1<<20)
		var f relay.Forwarded
		if err == nil {
			err = json.Unmarshal(req.Message, &f)
		}
		if err != nil {
			r.t.Error(err)
			return
		}
		if before != nil {
			before(w, hr)
		}
		f.Request.Body = req.Body
		r.serveForwarded(w, hr, req.From, f)
	}
}

// shareEndpoints registers the endpoints of a rig with another one.
func shareEndpoints(to, from *rig) {
	for _, e := range from.fleet.Service("s") {
		to.fleet.Set(e)
	}
}

// TestForwardedAnswerCountsAtBothHosts guards against a host that sends requests to an
// endpoint which said, in an answer that another host had forwarded, that it is leaving.
func TestForwardedAnswerCountsAtBothHosts(t *testing.T) {
	origin, links := newCutRig(t, plainRoute(route.Idempotent, 2))
	helper := newRig(t, plainRoute(route.Idempotent, 2))
	helper.endpoint("leaving", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Leaving", "1")
		answer(w, http.StatusOK, "served")
	})
	shareEndpoints(origin, helper)
	links.hosts = []string{helper.listen(nil)}
	if _, body, err := origin.call("GET", "/p/x"); err != nil || body != "served" {
		t.Fatalf("got %q, %v; want the forwarded answer", body, err)
	}
	links.cut.Store(false)
	links.hosts = nil
	time.Sleep(time.Second) // the host notices that its links are back
	if resp, _, err := origin.call("GET", "/p/x"); err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %v, %v; want 503, as the only endpoint is leaving", resp, err)
	}
	if n := len(helper.arrivals()); n != 1 {
		t.Errorf("%d requests reached the leaving endpoint, want 1", n)
	}
	if n := len(origin.versions.observations()); n != 0 {
		t.Errorf("the host without links counts %d answers for a roll-out, want 0", n)
	}
}

// TestForwardedRequestIsNotForwardedAgain guards against requests that hosts without links
// send around among themselves, and against a wait for a service that none reaches.
func TestForwardedRequestIsNotForwardedAgain(t *testing.T) {
	origin, links := newCutRig(t, plainRoute(route.Idempotent, 2))
	helper, helperLinks := newCutRig(t, plainRoute(route.Idempotent, 2))
	helper.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") })
	shareEndpoints(origin, helper)
	links.hosts = []string{helper.listen(nil)}
	helperLinks.hosts = []string{origin.listen(nil)}
	began := time.Now()
	resp, _, err := origin.call("GET", "/p/x")
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v; want 503 with Retry-After", resp, err)
	}
	if links.forwards() != 1 || helperLinks.forwards() != 0 {
		t.Errorf("forwarded %d times and from there %d times, want once and never", links.forwards(), helperLinks.forwards())
	}
	t.Logf("rejected after %v", time.Since(began))
}

// TestLostForwardRunsOnce guards against a request that must run at most once and is sent to
// another host after one has gone that may have run it.
func TestLostForwardRunsOnce(t *testing.T) {
	origin, links := newCutRig(t, plainRoute(route.NonIdempotent, 2))
	helper := newRig(t, plainRoute(route.NonIdempotent, 2))
	helper.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "booked") })
	shareEndpoints(origin, helper)
	dies := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	links.hosts = []string{helper.listen(dies), helper.listen(nil)}
	resp, _, err := origin.call("POST", "/p/x")
	if err != nil || resp.StatusCode != http.StatusBadGateway {
		t.Errorf("got %v, %v; want 502, since the request may have run", resp, err)
	}
	if links.forwards() != 1 {
		t.Errorf("the request was sent to %d hosts, want 1", links.forwards())
	}
}

// TestForwardedStreamIsResumed guards against a stream that misses or repeats events because
// the host that forwards it is lost on the way.
func TestForwardedStreamIsResumed(t *testing.T) {
	origin, links := newCutRig(t, streamRoute(true))
	helper := newRig(t, streamRoute(true))
	helper.endpoint("e", func(w http.ResponseWriter, r *http.Request) {
		last := 0
		if _, err := fmt.Sscan(r.Header.Get("X-Last-Event"), &last); err != nil {
			t.Errorf("last event %q", r.Header.Get("X-Last-Event"))
		}
		events(w, last+1, 5, false)
	})
	shareEndpoints(origin, helper)
	dies := func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range map[string]string{"Forward-Outcome": "answered", "Forward-Delivered": "1", "Forward-Runs": "1"} {
			w.Header().Set(name, value)
		}
		events(w, 1, 3, true)
	}
	links.hosts = []string{helper.listen(dies), helper.listen(nil)}
	_, body, err := origin.call("POST", "/p/x")
	if err != nil || body != eventSeries(1, 5) {
		t.Errorf("got %q, %v; want the events 1 to 5", body, err)
	}
}

// TestStreamThatHasBegunGoesOnAtAnotherHost guards against a stream that ends in the middle
// because the first of the hosts that may go on with it refuses without having run it, or
// because the host that does has a newer configuration, without the key of the request.
func TestStreamThatHasBegunGoesOnAtAnotherHost(t *testing.T) {
	nothing := func(*rig) {}
	exposureUsedUp := func(r *rig) {
		r.endpoint("unused", reject)
		r.refuseVersion("v1", rollout.Admission{RetryAfter: time.Minute})
	}
	for name, c := range map[string]struct{ first, second func(*rig) }{
		"exposure used up":   {exposureUsedUp, nothing},
		"endpoints are full": {func(r *rig) { r.endpoint("full", reject) }, nothing},
		"key revoked":        {exposureUsedUp, func(r *rig) { r.config.set(func(s *configSource) { s.table = r.withoutKeys() }) }},
	} {
		t.Run(name, func(t *testing.T) {
			origin, links := newCutRig(t, streamRoute(true))
			links.cut.Store(false)
			for _, id := range []string{"e1", "e2", "e3"} {
				origin.endpoint(id, func(w http.ResponseWriter, _ *http.Request) {
					links.cut.Store(true)
					events(w, 1, 2, true)
				})
			}
			first, second := newRig(t, streamRoute(true)), newRig(t, streamRoute(true))
			c.first(first)
			c.second(second)
			second.endpoint("s", func(w http.ResponseWriter, hr *http.Request) {
				if hr.Header.Get("X-Team") != "red" {
					t.Errorf("got team %q, want red", hr.Header.Get("X-Team"))
				}
				events(w, 3, 4, false)
			})
			links.hosts = []string{first.listen(nil), second.listen(nil)}
			_, body, err := origin.call("POST", "/p/x")
			if err != nil || body != eventSeries(1, 4) {
				t.Errorf("got %q, %v; want the events 1 to 4", body, err)
			}
			if n := links.forwards(); n != 2 {
				t.Errorf("%d hosts were asked, want 2", n)
			}
		})
	}
}

// TestRefusedConnectionsLeaveOpenOnes guards against a request that fails, or is handed to
// another host, because some endpoints have crashed, while this host has open connections to
// others that serve.
func TestRefusedConnectionsLeaveOpenOnes(t *testing.T) {
	origin, links := newCutRig(t, plainRoute(route.NonIdempotent, 1))
	links.cut.Store(false)
	origin.endpoint("sound", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") })
	if _, body, err := origin.call("POST", "/p/x"); err != nil || body != "served" {
		t.Fatalf("got %q, %v", body, err)
	}
	for _, id := range []string{"c1", "c2", "c3", "c4", "c5", "c6"} {
		origin.endpoint(id, reject).Close()
	}
	helper := newRig(t, plainRoute(route.NonIdempotent, 1))
	links.hosts = []string{helper.listen(nil), helper.listen(nil), helper.listen(nil)}
	for range 5 {
		resp, body, err := origin.call("POST", "/p/x")
		if err != nil || resp.StatusCode != http.StatusOK || body != "served" {
			t.Fatalf("got %v, %q, %v; want the answer of the endpoint with an open connection", resp, body, err)
		}
	}
	if n := links.forwards(); n != 0 {
		t.Errorf("%d requests were handed to other hosts, want none", n)
	}
}

// TestForwardedRequestAvoidsEndpointsThatOthersDidNotReach guards against hosts that try the same
// crashed endpoints one after the other, and against endpoints that are left out although only
// the host that has forwarded the request does not reach them.
func TestForwardedRequestAvoidsEndpointsThatOthersDidNotReach(t *testing.T) {
	r := newRig(t, plainRoute(route.NonIdempotent, 1))
	serve := func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") }
	for _, id := range []string{"a", "b", "c"} {
		r.endpoint(id, serve)
	}
	forwarded := func(f relay.Forwarded) *httptest.ResponseRecorder {
		f.TimeLeft, f.LastEvent = time.Minute, -1
		f.Request = &relay.Request{ID: "attempt-1", Method: "POST", Target: "/p/x", Path: "/p/x", Host: "h.example", Key: r.key, Header: make(http.Header), LastEvent: -1}
		w := httptest.NewRecorder()
		r.relay.ServeForwarded(t.Context(), w, "origin", f)
		return w
	}
	for range 10 {
		if w := forwarded(relay.Forwarded{Unreached: []string{"a", "c"}}); w.Code != http.StatusOK {
			t.Fatalf("got status %d", w.Code)
		}
	}
	for _, got := range r.arrivals() {
		if !strings.HasPrefix(got, "b") {
			t.Errorf("a request reached %s, want b", got)
		}
	}
	if w := forwarded(relay.Forwarded{Unreached: []string{"a", "b", "c"}}); w.Code != http.StatusOK {
		t.Errorf("got status %d although all endpoints serve", w.Code)
	}
	for _, e := range r.fleet.Service("s") {
		e.Address, e.Revision = "127.0.0.1:1", e.Revision+10 // refuses connections
		r.fleet.Set(e)
	}
	if w := forwarded(relay.Forwarded{}); len(w.Header().Values("Forward-Unreached")) == 0 {
		t.Errorf("got the header %v, want the endpoints that were tried", w.Header())
	}
}
