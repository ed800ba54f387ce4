package drain_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/drain"
)

// TestAnswerThatIsWrittenAfterTheHandlerReturned guards against a stop that counts a request
// as ended when its handler returns, and closes the connection before net/http has written
// the answer.
func TestAnswerThatIsWrittenAfterTheHandlerReturned(t *testing.T) {
	g := newGate(t)
	returned := make(chan struct{}, 1)
	tracker := start(t, g, nil, func(w http.ResponseWriter, _ *http.Request) {
		defer func() { returned <- struct{}{} }()
		fmt.Fprint(w, "whole")
	})
	c := dial(t, g)
	g.writes.Store(true)
	c.request()
	receive(t, returned)
	receive(t, g.held)
	cut := stop(t.Context(), tracker, 0)
	waitFor(t, "the stop begins", tracker.Refusing)
	if n := tracker.InFlight(); n != 1 {
		t.Errorf("got %d requests in flight while an answer is written, want 1", n)
	}
	close(g.release)
	if status, body, _ := c.answer(); status != http.StatusOK || body != "whole" {
		t.Errorf("got %d %q", status, body)
	}
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
}

// TestRequestThatArrivesWhileIdleConnectionsAreClosed guards against a request that is read
// from an idle connection and passed on although the connection is being closed.
func TestRequestThatArrivesWhileIdleConnectionsAreClosed(t *testing.T) {
	g := newGate(t)
	var served atomic.Int32
	tracker := start(t, g, nil, func(http.ResponseWriter, *http.Request) { served.Add(1) })
	c := dial(t, g)
	c.request()
	c.answer()
	waitFor(t, "the connection is idle", func() bool { return tracker.InFlight() == 0 })
	g.reads.Store(true)
	c.request()
	receive(t, g.held) // the bytes are read, but the tracker does not know
	if n := tracker.Stop(t.Context(), 0); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
	close(g.release)
	if _, err := http.ReadResponse(c.r, nil); err == nil {
		t.Error("got an answer on a closed connection")
	}
	if n := served.Load(); n != 1 {
		t.Errorf("got %d requests passed on, want the first one only", n)
	}
}

// TestRequestsDuringStopAreAnsweredOrNotPassedOn guards against a request that is passed on
// and ends without an answer, whenever it arrives during a stop.
func TestRequestsDuringStopAreAnsweredOrNotPassedOn(t *testing.T) {
	const rounds, callers = 30, 8
	for range rounds {
		g := newGate(t)
		var passedOn, answered atomic.Int32
		var tracker *drain.Tracker
		ready := make(chan struct{})
		tracker = start(t, g, nil, func(w http.ResponseWriter, _ *http.Request) {
			<-ready
			if tracker.Refusing() {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			passedOn.Add(1)
			fmt.Fprint(w, "whole")
		})
		close(ready)
		done := make(chan struct{}, callers)
		for range callers {
			c := dial(t, g)
			go func() {
				defer func() { done <- struct{}{} }()
				for {
					if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
						return
					}
					resp, err := http.ReadResponse(c.r, nil)
					if err != nil {
						return
					}
					if _, err := io.ReadAll(resp.Body); err == nil && resp.StatusCode == http.StatusOK {
						answered.Add(1)
					}
				}
			}()
		}
		waitFor(t, "requests are served", func() bool { return passedOn.Load() >= callers })
		if n := tracker.Stop(t.Context(), 0); n != 0 {
			t.Fatalf("got %d connections cut, want none", n)
		}
		for range callers {
			receive(t, done)
		}
		if passedOn.Load() != answered.Load() {
			t.Fatalf("got %d requests passed on and %d answered", passedOn.Load(), answered.Load())
		}
	}
}

// TestHandlerAnswersAfterCut guards against a request that ends with a closed connection at
// the end of a stop although its handler could send a final answer.
func TestHandlerAnswersAfterCut(t *testing.T) {
	g, clock := newGate(t), clockwork.NewFakeClock()
	tracker := start(t, g, clock, func(w http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		if drain.Stopping(r.Context()) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	c := dial(t, g)
	c.request()
	waitFor(t, "the request arrives", func() bool { return tracker.InFlight() == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	cut := stop(ctx, tracker, time.Second)
	cancel()
	if status, _, closes := c.answer(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("got %d, closes the connection: %t", status, closes)
	}
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
}

// TestCallerThatLeftIsNotTakenForTheStop guards against a cause that hides which of the two
// ended a request.
func TestCallerThatLeftIsNotTakenForTheStop(t *testing.T) {
	g := newGate(t)
	stopping := make(chan bool, 1)
	tracker := start(t, g, nil, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		stopping <- drain.Stopping(r.Context())
	})
	c := dial(t, g)
	c.request()
	waitFor(t, "the request arrives", func() bool { return tracker.InFlight() == 1 })
	_ = c.conn.Close()
	if receive(t, stopping) {
		t.Error("a caller's leaving is taken for the stop")
	}
}

// TestReadErrorTellsWhyARequestWasCancelled guards against a log that blames the caller for a
// connection that this host has ended.
func TestReadErrorTellsWhyARequestWasCancelled(t *testing.T) {
	g := newGate(t)
	before, after := make(chan error, 1), make(chan error, 1)
	tracker := start(t, g, nil, func(_ http.ResponseWriter, r *http.Request) {
		before <- drain.ReadError(r.Context())
		<-r.Context().Done()
		after <- drain.ReadError(r.Context())
	})
	c := dial(t, g)
	c.request()
	waitFor(t, "the request arrives", func() bool { return tracker.InFlight() == 1 })
	if err := receive(t, before); err != nil {
		t.Errorf("got %v while the connection is open", err)
	}
	_ = c.conn.Close()
	if err := receive(t, after); err != io.EOF {
		t.Errorf("got %v after the caller has closed its connection, want EOF", err)
	}
}

// TestConnectionWithoutAnswerIsClosedLast guards against a handler that never ends and holds
// up the end of the process.
func TestConnectionWithoutAnswerIsClosedLast(t *testing.T) {
	g, clock := newGate(t), clockwork.NewFakeClock()
	release := make(chan struct{})
	defer close(release)
	tracker := start(t, g, clock, func(http.ResponseWriter, *http.Request) { <-release })
	c := dial(t, g)
	c.request()
	waitFor(t, "the request arrives", func() bool { return tracker.InFlight() == 1 })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cut := stop(ctx, tracker, time.Second)
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	if n := receive(t, cut); n != 1 {
		t.Errorf("got %d connections cut, want 1", n)
	}
	if _, err := c.r.ReadByte(); err == nil {
		t.Error("got an answer")
	}
}

// TestAnswersCloseTheirConnectionsWhileDraining guards against callers that send further
// requests on a connection of a stopping host.
func TestAnswersCloseTheirConnectionsWhileDraining(t *testing.T) {
	g := newGate(t)
	arrived, release := make(chan struct{}, 10), make(chan struct{})
	tracker := start(t, g, nil, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusEarlyHints)
		arrived <- struct{}{}
		<-release
		http.Error(w, "", http.StatusBadGateway)
	})
	before := dial(t, g)
	before.request()
	receive(t, arrived)
	tracker.Drain()
	after := dial(t, g)
	after.request()
	receive(t, arrived)
	close(release)
	for name, c := range map[string]*caller{"before the stop": before, "during the stop": after} {
		status, _, closes := c.answer()
		for status == http.StatusEarlyHints {
			status, _, closes = c.answer()
		}
		if status != http.StatusBadGateway || !closes {
			t.Errorf("request sent %s: got %d, closes the connection: %t", name, status, closes)
		}
	}
}

// TestHalfARequestIsInFlight guards against a connection that is closed as an idle one while
// the header of a request is being read.
func TestHalfARequestIsInFlight(t *testing.T) {
	g := newGate(t)
	tracker := start(t, g, nil, func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "whole") })
	c := dial(t, g)
	c.request()
	c.answer()
	waitFor(t, "the connection is idle", func() bool { return tracker.InFlight() == 0 })
	c.send("GET / HTTP/1.1\r\n")
	waitFor(t, "half a request is read", func() bool { return tracker.InFlight() == 1 })
	cut := stop(t.Context(), tracker, 0)
	waitFor(t, "the stop begins", tracker.Refusing)
	c.send("Host: h\r\n\r\n")
	if status, _, closes := c.answer(); status != http.StatusOK || !closes {
		t.Errorf("got %d, closes the connection: %t", status, closes)
	}
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
}

// TestWaitIdleKeepsUnusedConnections guards against a wait that never ends because callers
// keep connections open, and against one that ends before the last answer.
func TestWaitIdleKeepsUnusedConnections(t *testing.T) {
	g := newGate(t)
	release := make(chan struct{})
	tracker := start(t, g, nil, func(http.ResponseWriter, *http.Request) { <-release })
	dial(t, g)
	c := dial(t, g)
	c.request()
	waitFor(t, "the request arrives", func() bool { return tracker.InFlight() == 1 })
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := tracker.WaitIdle(ended); err == nil {
		t.Error("the wait ended although a request is in flight")
	}
	idle := make(chan error, 1)
	go func() { idle <- tracker.WaitIdle(t.Context()) }()
	close(release)
	c.answer()
	if err := receive(t, idle); err != nil {
		t.Error(err)
	}
}

// TestWaitIdleIgnoresRejectedRequests guards against a stop that lasts as long as callers
// keep sending requests, although all of them are rejected.
func TestWaitIdleIgnoresRejectedRequests(t *testing.T) {
	g := newGate(t)
	release, rejecting := make(chan struct{}), make(chan struct{}, 1)
	tracker := start(t, g, nil, func(w http.ResponseWriter, _ *http.Request) {
		rejecting <- struct{}{}
		<-release
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	c := dial(t, g)
	tracker.Refuse()
	c.request()
	receive(t, rejecting)
	idle := make(chan error, 1)
	go func() { idle <- tracker.WaitIdle(t.Context()) }()
	if err := receive(t, idle); err != nil {
		t.Error(err)
	}
	cut := stop(t.Context(), tracker, 0)
	close(release)
	if status, _, closes := c.answer(); status != http.StatusServiceUnavailable || !closes {
		t.Errorf("got %d, closes the connection: %t", status, closes)
	}
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
}

// TestEmptyAnswerClosesItsConnection guards against an answer without a body and without a
// status of its own that keeps its connection, which the stop then closes.
func TestEmptyAnswerClosesItsConnection(t *testing.T) {
	g := newGate(t)
	tracker := start(t, g, nil, func(http.ResponseWriter, *http.Request) {})
	tracker.Drain()
	c := dial(t, g)
	c.request()
	if _, _, closes := c.answer(); !closes {
		t.Error("the answer keeps its connection")
	}
}

// TestAnswerToHalfReadRequestCanBeClosed guards against a server that keeps a caller waiting for
// the end of its answer, because the server can't close one direction of the connection.
func TestAnswerToHalfReadRequestCanBeClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c := dial(t, &gate{Listener: ln})
	served, err := drain.New(drain.Options{}).Listener(ln).Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = served.Close() }()
	half, ok := served.(interface{ CloseWrite() error })
	if !ok {
		t.Fatal("the connection has no CloseWrite")
	}
	if err := half.CloseWrite(); err != nil {
		t.Fatal(err)
	}
	if _, err := c.r.ReadByte(); err != io.EOF {
		t.Errorf("the caller reads %v, want the end of the answer", err)
	}
}
