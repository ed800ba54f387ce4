package relay_test

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

// lockedLog collects log lines.
type lockedLog struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (l *lockedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedLog) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// TestSilentPathToOneEndpointIsNoCrash guards against a request that is held responsible for
// the crash of an endpoint to which only this host has lost the path, and against a crash
// that is not noticed because the endpoint's machine fell silent.
func TestSilentPathToOneEndpointIsNoCrash(t *testing.T) {
	var silent atomic.Pointer[string]
	var log lockedLog
	r := newRigWith(t, func(o *relay.Options) {
		client := upstream.DefaultOptions()
		client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if a := silent.Load(); a != nil && *a == address {
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		o.Client, o.Logger = upstream.NewClient(client), slog.New(slog.NewTextHandler(&log, nil))
	}, plainRoute(route.NonIdempotent, 1))
	r.endpoint("sound", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "served") })
	r.endpoint("cut", func(w http.ResponseWriter, hr *http.Request) {
		address := hr.Context().Value(http.LocalAddrContextKey).(net.Addr).String()
		silent.Store(&address)
		dropConnection(w, hr)
	})
	for silent.Load() == nil {
		if _, _, err := r.call("POST", "/p/x"); err != nil {
			t.Fatal(err)
		}
	}
	logged := func() bool { return log.contains("endpoint crashed while running a request") }
	time.Sleep(2500 * time.Millisecond)
	if logged() || slices.ContainsFunc(r.versions.observations(), func(o rollout.Observation) bool { return o.Bad }) {
		t.Error("a path that has gone silent counts as a crash of the endpoint, or against its version")
	}
	e, _ := r.fleet.Endpoint("cut")
	e.Started, e.Revision = 7, e.Revision+10
	r.fleet.Set(e)
	for end := time.Now().Add(5 * time.Second); !logged(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the start of an endpoint that was silent does not show its crash")
		}
	}
}

// TestBusyEndpointIsNotGivenUp guards against an attempt that is ended because its endpoint is
// slow, while this host cannot connect to the others.
func TestBusyEndpointIsNotGivenUp(t *testing.T) {
	const answerTime = 2 * time.Second // longer than a silent attempt may last
	var refused atomic.Pointer[[]string]
	refused.Store(&[]string{})
	r := newRigWith(t, func(o *relay.Options) {
		client := upstream.DefaultOptions()
		client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			if slices.Contains(*refused.Load(), address) {
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		o.Client = upstream.NewClient(client)
	}, plainRoute(route.Idempotent, 3))
	started := make(chan struct{}, 10)
	r.endpoint("busy", func(w http.ResponseWriter, hr *http.Request) {
		started <- struct{}{}
		select {
		case <-time.After(answerTime):
		case <-hr.Context().Done():
		}
		answer(w, http.StatusOK, "served")
	})
	done := make(chan string)
	go func() {
		_, body, _ := r.call("GET", "/p/x")
		done <- body
	}()
	<-started
	addresses := []string{}
	for _, id := range []string{"e1", "e2"} {
		r.endpoint(id, func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "other") })
	}
	for _, e := range r.fleet.Service("s") {
		addresses = append(addresses, e.Address)
	}
	refused.Store(&addresses)
	for len(r.relay.LostServices()) == 0 {
		_, _, _ = r.call("GET", "/p/x") // fails until the service counts as lost
	}
	busy, _ := r.fleet.Endpoint("busy")
	others := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return a == busy.Address })
	refused.Store(&others)
	if body := <-done; body != "served" {
		t.Errorf("got %q, want the answer of the busy endpoint", body)
	}
	if n := len(started); n != 0 {
		t.Errorf("the busy endpoint got %d more attempts, want none", n)
	}
}

// linkState is what happens to the connection attempts of a host.
type linkState int32

const (
	linksOpen linkState = iota
	linksRefuse
	linksSilent
)

// newLinkedRig returns a rig whose connection attempts meet the state of its links.
func newLinkedRig(t *testing.T, routes ...route.Route) (*rig, *atomic.Int32) {
	t.Helper()
	state := new(atomic.Int32)
	r := newRigWith(t, func(o *relay.Options) {
		client := upstream.DefaultOptions()
		client.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			switch linkState(state.Load()) {
			case linksRefuse:
				return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
			case linksSilent:
				<-ctx.Done()
				return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
			}
			return new(net.Dialer).DialContext(ctx, network, address)
		}
		o.Client = upstream.NewClient(client)
	}, routes...)
	return r, state
}

// loseService sends requests that fail until the service counts as lost.
func (r *rig) loseService() {
	r.t.Helper()
	for len(r.relay.LostServices()) == 0 {
		_, _, _ = r.call("POST", "/p/x")
	}
}

// streamWithPause sends a stream that pauses for longer than a silent attempt may last.
func streamWithPause(w http.ResponseWriter, hr *http.Request, started chan<- struct{}) {
	const pause = 2 * time.Second
	events(w, 1, 2, false)
	w.(http.Flusher).Flush()
	started <- struct{}{}
	select {
	case <-time.After(pause):
	case <-hr.Context().Done():
	}
	events(w, 3, 4, false)
}

// TestStreamOfAnEndpointThatRefusesNewConnectionsGoesOn guards against a stream that the host
// cuts because its endpoint, which is leaving or has all the connections that it takes, refuses
// a new one while it is about to send the next event.
func TestStreamOfAnEndpointThatRefusesNewConnectionsGoesOn(t *testing.T) {
	r, links := newLinkedRig(t, streamRoute(true))
	r.retryBudget.RetryRatio, r.retryBudget.ExtraRetries = 0, 0
	started := make(chan struct{}, 1)
	for _, id := range []string{"e1", "e2", "e3"} {
		r.endpoint(id, func(w http.ResponseWriter, hr *http.Request) { streamWithPause(w, hr, started) })
	}
	type result struct {
		body string
		err  error
	}
	done := make(chan result, 1)
	go func() {
		_, body, err := r.call("POST", "/p/x")
		done <- result{body, err}
	}()
	<-started
	links.Store(int32(linksRefuse))
	r.loseService()
	if got := <-done; got.err != nil || got.body != eventSeries(1, 4) {
		t.Errorf("got %q, %v; want the whole stream", got.body, got.err)
	}
}

// TestAttemptOnSilentLinksIsEnded guards against a request that waits for its endpoint until
// the connection times out, although this host hears nothing from any endpoint.
func TestAttemptOnSilentLinksIsEnded(t *testing.T) {
	r, links := newLinkedRig(t, plainRoute(route.Idempotent, 1))
	started, ended := make(chan struct{}, 1), make(chan struct{})
	for _, id := range []string{"e1", "e2", "e3"} {
		r.endpoint(id, func(_ http.ResponseWriter, hr *http.Request) {
			started <- struct{}{}
			<-hr.Context().Done()
			close(ended)
		})
	}
	answered := make(chan int, 1)
	go func() {
		resp, _, err := r.call("GET", "/p/x")
		if err != nil {
			t.Error(err)
			answered <- 0
			return
		}
		answered <- resp.StatusCode
	}()
	<-started
	links.Store(int32(linksSilent))
	r.loseService()
	if status := <-answered; status != http.StatusBadGateway {
		t.Errorf("got status %d, want 502 before the deadline", status)
	}
	<-ended
}
