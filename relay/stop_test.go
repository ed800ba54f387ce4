package relay_test

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

// serveStoppable makes the rig serve its callers with a server that can be stopped.
func (r *rig) serveStoppable() *drain.Tracker {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	tracker := drain.New(drain.Options{})
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	r.serveWith(tracker, server, tracker.Listener(ln))
	r.server = &httptest.Server{URL: "http://" + ln.Addr().String()}
	return tracker
}

func (r *rig) serveWith(tracker *drain.Tracker, server *http.Server, ln net.Listener) {
	tracker.Attach(server)
	go func() { _ = server.Serve(ln) }() // ends with Stop
	r.t.Cleanup(func() {
		over, cancel := context.WithCancel(context.Background())
		cancel()
		tracker.Stop(over, time.Second)
	})
}

// signal is a channel that is closed once.
type signal struct {
	once sync.Once
	c    chan struct{}
}

func newSignal() *signal { return &signal{c: make(chan struct{})} }

func (s *signal) give() { s.once.Do(func() { close(s.c) }) }

// waitingPermits are the peers of a host whose permits another host grants that never answers.
type waitingPermits struct {
	limiter.LocalPermits
	asked *signal
}

func (waitingPermits) Granter(string) (string, bool) { return "granter", true }

func (p waitingPermits) Ask(ctx context.Context, _ string, _ limiter.PermitRequest) (limiter.PermitReply, error) {
	p.asked.give()
	<-ctx.Done()
	return limiter.PermitReply{}, ctx.Err()
}

// hangingDial never connects to an address.
func hangingDial(waits *signal, address func() string) upstream.DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if address() != "" && addr != address() {
			return new(net.Dialer).DialContext(ctx, network, addr)
		}
		waits.give()
		<-ctx.Done()
		return nil, ctx.Err()
	}
}

func dialing(waits *signal, address func() string) func(*relay.Options) {
	return func(o *relay.Options) {
		opts := upstream.DefaultOptions()
		opts.Dial = hangingDial(waits, address)
		o.Client = upstream.NewClient(opts)
	}
}

// TestStopAnswersRequestsInFlight guards against requests that end with a closed connection
// at the end of a stop, logged as if their callers had left, although a final answer can
// still be sent.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	idempotent := route.Route{Name: "r", Prefix: "/", Kind: route.Idempotent, MaxAttempts: 3}
	once := route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent, MaxAttempts: 1}
	stream := route.Route{Name: "r", Prefix: "/", Kind: route.Stream, MaxAttempts: 3, Resumable: true}
	hang := func(waits *signal) http.HandlerFunc {
		return func(_ http.ResponseWriter, hr *http.Request) {
			waits.give()
			<-hr.Context().Done()
		}
	}
	for name, test := range map[string]struct {
		prepare func(t *testing.T, waits *signal) *rig
		status  int
		runs    int
	}{
		"at an endpoint": {status: http.StatusBadGateway, runs: 1, prepare: func(t *testing.T, waits *signal) *rig {
			r := newRig(t, once)
			r.endpoint("e1", hang(waits))
			return r
		}},
		"at the endpoint of a stream": {status: http.StatusBadGateway, runs: 1, prepare: func(t *testing.T, waits *signal) *rig {
			r := newRig(t, stream)
			r.endpoint("e1", hang(waits))
			return r
		}},
		"for a connection": {status: http.StatusServiceUnavailable, prepare: func(t *testing.T, waits *signal) *rig {
			r := newRigWith(t, dialing(waits, func() string { return "" }), idempotent)
			r.endpoint("e1", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "") })
			return r
		}},
		"after a rejection": {status: http.StatusServiceUnavailable, prepare: func(t *testing.T, waits *signal) *rig {
			var other atomic.Value
			other.Store("none")
			r := newRigWith(t, dialing(waits, func() string { return other.Load().(string) }), once)
			r.endpoint("e1", func(w http.ResponseWriter, hr *http.Request) {
				r.endpoint("e2", hang(waits))
				e, _ := r.fleet.Endpoint("e2")
				other.Store(e.Address)
				reject(w, hr)
			})
			return r
		}},
		"for a permit": {status: http.StatusServiceUnavailable, prepare: func(t *testing.T, waits *signal) *rig {
			clock := clockwork.NewRealClock()
			permits := limiter.NewPermits(clock, slog.New(slog.DiscardHandler), waitingPermits{asked: waits})
			permits.Observe("e1", clock.Now(), 1)
			r := newRigWith(t, func(o *relay.Options) { o.Permits = permits }, idempotent)
			r.endpoint("e1", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "") })
			return r
		}},
	} {
		t.Run(name, func(t *testing.T) {
			waits := newSignal()
			r := test.prepare(t, waits)
			tracker := r.serveStoppable()
			go func() {
				<-waits.c
				tracker.Cut()
			}()
			resp, _, err := r.call(http.MethodPost, "/")
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if resp.StatusCode != test.status || !resp.Close {
				t.Errorf("got %d, closes the connection: %t; want %d", resp.StatusCode, resp.Close, test.status)
			}
			if promised := resp.Header.Get("Retry-After") != ""; promised != (test.runs == 0) {
				t.Errorf("got Retry-After %q with %d runs", resp.Header.Get("Retry-After"), test.runs)
			}
			if line := r.logged(); !strings.Contains(line, "outcome=host_stopping") {
				t.Errorf("logged %s", line)
			}
		})
	}
}

// TestStopBreaksStreams guards against a stream that a stop ends as if it were complete.
func TestStopBreaksStreams(t *testing.T) {
	for name, resumable := range map[string]bool{"resumable": true, "not resumable": false} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, route.Route{Name: "r", Prefix: "/", Kind: route.Stream, MaxAttempts: 3, Resumable: resumable})
			r.endpoint("e1", func(w http.ResponseWriter, hr *http.Request) {
				events(w, 1, 3, false)
				w.(http.Flusher).Flush()
				<-hr.Context().Done()
			})
			tracker := r.serveStoppable()
			req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, r.server.URL+"/", nil)
			req.Header.Set("X-Key", r.key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if _, err := io.ReadFull(resp.Body, make([]byte, 10)); err != nil {
				t.Fatal(err)
			}
			tracker.Cut()
			if _, err := io.ReadAll(resp.Body); err == nil {
				t.Error("the stream ends as if it were complete")
			}
			if err := tracker.WaitIdle(t.Context()); err != nil {
				t.Fatal(err)
			}
			if line := r.logged(); !strings.Contains(line, "outcome=host_stopping") {
				t.Errorf("logged %s", line)
			}
		})
	}
}

// listenStoppable is listen with a server that can be stopped.
func (r *rig) listenStoppable() (string, *drain.Tracker) {
	r.t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.t.Fatal(err)
	}
	tracker := drain.New(drain.Options{})
	server := &http.Server{ConnContext: forward.ConnContext, ReadHeaderTimeout: time.Minute, Handler: r.forwardedHandler(nil)}
	r.serveWith(tracker, server, forward.Listener(tracker.Listener(ln), clusterKey))
	return ln.Addr().String(), tracker
}

// TestOriginStopsWhileAnotherHostServes guards against a request that ends without an answer
// because its host stops while another one serves it.
func TestOriginStopsWhileAnotherHostServes(t *testing.T) {
	origin, links := newCutRig(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent, MaxAttempts: 1})
	helper := newRig(t, route.Route{Name: "r", Prefix: "/", Kind: route.NonIdempotent, MaxAttempts: 1})
	waits := newSignal()
	helper.endpoint("e1", func(_ http.ResponseWriter, hr *http.Request) {
		waits.give()
		<-hr.Context().Done()
	})
	shareEndpoints(origin, helper)
	links.hosts = []string{helper.listen(nil)}
	tracker := origin.serveStoppable()
	go func() {
		<-waits.c
		tracker.Cut()
	}()
	resp, _, err := origin.call(http.MethodPost, "/")
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode != http.StatusBadGateway || !strings.Contains(origin.logged(), "outcome=host_stopping") {
		t.Errorf("got %d, logged %s", resp.StatusCode, origin.logged())
	}
}

// TestHelpingHostStops guards against a request that fails because the host that serves it
// in place of another one stops, although a further host can serve it.
func TestHelpingHostStops(t *testing.T) {
	for name, test := range map[string]struct {
		kind   route.Kind
		begins bool
		status int
	}{
		"before it has begun, at most once": {kind: route.NonIdempotent, status: http.StatusOK},
		"after it has begun, at most once":  {kind: route.NonIdempotent, begins: true, status: http.StatusBadGateway},
		"after it has begun, idempotent":    {kind: route.Idempotent, begins: true, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			rt := route.Route{Name: "r", Prefix: "/", Kind: test.kind, MaxAttempts: 3}
			origin, links := newCutRig(t, rt)
			waits := newSignal()
			stopping := newRigWith(t, func(o *relay.Options) {
				if !test.begins {
					dialing(waits, func() string { return "" })(o)
				}
			}, rt)
			stopping.endpoint("e1", func(_ http.ResponseWriter, hr *http.Request) {
				waits.give()
				<-hr.Context().Done()
			})
			sound := newRig(t, rt)
			sound.endpoint("e2", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "whole") })
			shareEndpoints(origin, stopping)
			address, tracker := stopping.listenStoppable()
			links.hosts = []string{address, sound.listen(nil)}
			go func() {
				<-waits.c
				tracker.Cut()
			}()
			resp, _, err := origin.call(http.MethodPost, "/")
			if err != nil {
				t.Fatalf("no answer: %v", err)
			}
			if resp.StatusCode != test.status {
				t.Errorf("got %d, want %d; logged %s", resp.StatusCode, test.status, origin.logged())
			}
			// Hosts of the release before know this outcome.
			if !strings.Contains(origin.logged(), address+":stopping:") {
				t.Errorf("the host that forwards has logged %s", origin.logged())
			}
		})
	}
}
