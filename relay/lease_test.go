package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
)

// heldLease is a lease whose holder works on until released is closed.
type heldLease struct {
	revoked  chan struct{}
	released chan struct{}
	closed   atomic.Bool
}

func (*heldLease) ID() string { return "lease" }

func (l *heldLease) Close() { l.closed.Store(true) }

func (l *heldLease) Revoke(ctx context.Context) error {
	close(l.revoked)
	select {
	case <-l.released:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// TestStreamIsNotSentAgainWhileAHostHoldsIt guards against a stream that goes on at another host
// or endpoint while the host that was lost may still work on it.
func TestStreamIsNotSentAgainWhileAHostHoldsIt(t *testing.T) {
	cut := func(w http.ResponseWriter, _ *http.Request) {
		for name, value := range map[string]string{"Forward-Outcome": "answered", "Forward-Delivered": "1", "Forward-Runs": "1"} {
			w.Header().Set(name, value)
		}
		events(w, 1, 3, true)
	}
	for name, dies := range map[string]http.HandlerFunc{"before its answer": dropConnection, "in the middle of its answer": cut} {
		origin, links := newCutRig(t, streamRoute(true))
		helper := newRig(t, streamRoute(true))
		helper.endpoint("e", func(w http.ResponseWriter, r *http.Request) {
			first := 1
			if r.Header.Get("X-Last-Event") != "" {
				first = 4
			}
			events(w, first, 5, false)
		})
		shareEndpoints(origin, helper)
		links.hosts = []string{helper.listen(dies), helper.listen(nil)}
		lost := &heldLease{revoked: make(chan struct{}), released: make(chan struct{})}
		links.lease = func(host string) relay.RunLease {
			if host == links.hosts[0] {
				return lost
			}
			return noLease{}
		}
		done := make(chan error)
		go func() {
			_, _, err := origin.call("POST", "/p/x")
			done <- err
		}()
		<-lost.revoked
		if n := links.forwards(); n != 1 {
			t.Errorf("%s: sent to %d hosts before the first one has ended its work", name, n)
		}
		close(lost.released)
		if err := <-done; err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if n := links.forwards(); n != 2 || !lost.closed.Load() {
			t.Errorf("%s: sent to %d hosts, want 2; lease closed %t", name, n, lost.closed.Load())
		}
	}
}

// TestPlainRequestsWaitForNoLease guards against a lookup that waits for a lost host, although it
// may run twice, and against a message of a lease for each call.
func TestPlainRequestsWaitForNoLease(t *testing.T) {
	origin, links := newCutRig(t, plainRoute(route.Idempotent, 3))
	helper := newRig(t, plainRoute(route.Idempotent, 3))
	helper.endpoint("e", func(w http.ResponseWriter, _ *http.Request) { answer(w, http.StatusOK, "found") })
	shareEndpoints(origin, helper)
	links.hosts = []string{helper.listen(dropConnection), helper.listen(nil)}
	links.lease = func(string) relay.RunLease {
		t.Error("a lease on a plain request")
		return noLease{}
	}
	if _, body, err := origin.call("GET", "/p/x"); err != nil || body != "found" {
		t.Errorf("got %q, error %v", body, err)
	}
}

// TestSlowCallerGetsTheWholeStream guards against a stream that is cut because its caller reads
// slowly, so that events wait at both hosts for longer than a lease lasts, or wait at one of them
// after the other host has ended its work and its lease.
func TestSlowCallerGetsTheWholeStream(t *testing.T) {
	for name, c := range map[string]struct {
		events, eventBytes int
		// ends is set if the host that serves the stream ends its work before the caller reads.
		ends bool
	}{
		"events wait at both hosts": {events: 64, eventBytes: 512 << 10},
		"events wait at one host":   {events: 1200, eventBytes: 4 << 10, ends: true},
	} {
		t.Run(name, func(t *testing.T) { playSlowCaller(t, c.events, c.eventBytes, c.ends) })
	}
}

func playSlowCaller(t *testing.T, eventCount, eventBytes int, ends bool) {
	t.Helper()
	const (
		unreadTime = 4 * time.Second // longer than a lease
		timeout    = time.Minute
	)
	rt := streamRoute(true)
	rt.Timeout = timeout
	origin, links := newCutRig(t, rt)
	helper := newRig(t, rt)
	var runs, ended atomic.Int64
	helper.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		defer ended.Add(1)
		w.Header().Set("X-Signature", "signed")
		for i := range eventCount {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", eventBytes)); err != nil {
				return
			}
		}
	})
	shareEndpoints(origin, helper)
	leases := links.grantLeases(t, func(context.Context, string, string, any, any) error { return errPathCut })
	helper.holdLeases(askAt(leases))
	links.hosts = []string{helper.listen(nil)}
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, origin.server.URL+"/p/x", strings.NewReader("question"))
	req.Header.Set("X-Id", "attempt-1")
	req.Header.Set("X-Key", origin.key)
	resp, err := slowClient(t).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-time.After(unreadTime) // the caller reads nothing
	if got := ended.Load() > 0; got != ends {
		t.Fatalf("the endpoint has ended its work: %t, want %t", got, ends)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(body), "id: ") != eventCount || runs.Load() != 1 {
		t.Errorf("%d events in %d runs, error %v; want %d in one", strings.Count(string(body), "id: "), runs.Load(), err, eventCount)
	}
}

// slowClient returns a client whose connections hold little that it has not read.
func slowClient(t *testing.T) *http.Client {
	t.Helper()
	const readBuffer = 64 << 10
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c, c.(*net.TCPConn).SetReadBuffer(readBuffer)
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}
