package relay_test

import (
	"context"
	"fmt"
	"io"
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

// TestSlowCallerKeepsTheLeaseOfItsStream guards against a stream that is cut because its caller
// reads slowly, so that events wait at both hosts for longer than a lease lasts.
func TestSlowCallerKeepsTheLeaseOfItsStream(t *testing.T) {
	const (
		eventCount = 64
		eventBytes = 512 << 10
		unreadTime = 3 * time.Second // longer than a lease, shorter than the timeout of the route
	)
	origin, links := newCutRig(t, streamRoute(true))
	helper := newRig(t, streamRoute(true))
	var runs, sent atomic.Int64
	helper.endpoint("e", func(w http.ResponseWriter, _ *http.Request) {
		runs.Add(1)
		w.Header().Set("X-Signature", "signed")
		for i := range eventCount {
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i+1, strings.Repeat("x", eventBytes)); err != nil {
				return
			}
			sent.Add(1)
		}
	})
	shareEndpoints(origin, helper)
	leases := links.grantLeases(t, func(context.Context, string, string, any, any) error { return errPathCut })
	helper.holdLeases(askAt(leases))
	links.hosts = []string{helper.listen(nil)}
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, origin.server.URL+"/p/x", strings.NewReader("question"))
	req.Header.Set("X-Id", "attempt-1")
	req.Header.Set("X-Key", origin.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	<-time.After(unreadTime) // the caller reads nothing
	if n := sent.Load(); n == eventCount {
		t.Fatalf("all %d events are sent, so nothing waits for the caller", n)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || strings.Count(string(body), "id: ") != eventCount || runs.Load() != 1 {
		t.Errorf("%d events in %d runs, error %v; want %d in one", strings.Count(string(body), "id: "), runs.Load(), err, eventCount)
	}
}
