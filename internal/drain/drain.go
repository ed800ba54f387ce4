// Package drain stops HTTP servers without cutting the requests in flight. A Tracker
// follows the connections of one or more http.Servers from the first byte of a request to
// the last byte of its answer, which net/http writes after the handler has returned.
//
// The steps of a graceful shutdown are
//
//	Drain     answers carry "Connection: close"
//	Refuse    the handlers reject requests that are read from now on
//	WaitIdle  waits for the requests in flight
//	Stop      closes the listeners and the unused connections, waits for the answers
//	          that are left, cancels their contexts with ErrStopping and at last closes
//	          what still has no answer
//
// Refuse rejects nothing by itself: a handler that passes requests on asks Refusing. Without
// it a request that is read late is served until Stop cancels it.
//
// http.Server.Shutdown and Close must not be called before Stop has returned: both drop
// requests that have been read.
package drain

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ErrStopping is the cause with which Cut cancels the contexts of the requests in flight. A
// handler can still send an answer.
var ErrStopping = errors.New("drain: server is stopping")

// Stopping reports whether the context of a request has been cancelled by Cut.
func Stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// Options configure a Tracker.
type Options struct {
	// Clock and Logger are optional.
	Clock  clockwork.Clock
	Logger *slog.Logger
}

// Tracker follows the connections of the servers that are attached to it. It is safe for
// concurrent use.
type Tracker struct {
	opts Options
	// base is the parent of the contexts of all requests.
	base context.Context
	cut  context.CancelCauseFunc

	draining, refusing atomic.Bool

	mu        sync.Mutex
	servers   []*http.Server
	listeners []net.Listener
	conns     map[*conn]struct{}
	limits    []*callerLimits
	// active is the number of connections with a request that arrived before Refuse.
	active int
	// closing is set once unused connections are closed.
	closing bool
	// changed is closed when active or the number of connections falls; nil while no call
	// waits for it.
	changed chan struct{}
}

// New returns a tracker without servers.
func New(opts Options) *Tracker {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	t := &Tracker{opts: opts, conns: make(map[*conn]struct{})}
	t.base, t.cut = context.WithCancelCause(context.Background())
	return t
}

// Attach adds a server. It sets the server's BaseContext and ConnState and wraps its Handler
// and its ConnContext; these must not be changed afterwards. The server's listeners must come
// from Listener.
func (t *Tracker) Attach(server *http.Server) {
	server.BaseContext = func(net.Listener) context.Context { return t.base }
	server.ConnState = t.connState
	server.ConnContext = withConn(server.ConnContext)
	server.Handler = t.closeAfterAnswer(server.Handler)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.servers = append(t.servers, server)
}

// InFlight returns the number of connections with a request in flight, without those that
// arrived after Refuse.
func (t *Tracker) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

// Drain makes all answers whose header has not been sent close their connections.
func (t *Tracker) Drain() { t.draining.Store(true) }

// Draining reports whether answers close their connections.
func (t *Tracker) Draining() bool { return t.draining.Load() }

// Refuse ends the acceptance of requests: handlers must reject those for which Refusing is true
// when they arrive. Requests in flight go on.
func (t *Tracker) Refuse() {
	t.draining.Store(true)
	t.refusing.Store(true)
}

// Refusing reports whether a request that has just been read must be rejected.
func (t *Tracker) Refusing() bool { return t.refusing.Load() }

// Cut cancels the contexts of all requests with ErrStopping, so that their handlers send a
// final answer. A request that is read later has a cancelled context from the start.
func (t *Tracker) Cut() {
	t.Refuse()
	t.cut(ErrStopping)
}

// WaitIdle waits until no request is in flight, without those that arrived after Refuse. It
// returns the cause of ctx if ctx ends before.
func (t *Tracker) WaitIdle(ctx context.Context) error {
	return t.wait(ctx, func() bool { return t.active == 0 })
}

// Stop closes the listeners and all connections without a request. It waits for the answers
// of the others until ctx ends, then cancels their contexts and gives the handlers answerTime
// to send a final answer. What is left then is closed; Stop returns its number.
func (t *Tracker) Stop(ctx context.Context, answerTime time.Duration) (cut int) {
	t.Refuse()
	t.closeUnused()
	if t.waitClosed(ctx) != nil {
		t.opts.Logger.Warn("requests in flight cancelled", "connections", t.InFlight())
		t.Cut()
		answer, cancel := clockwork.WithTimeout(context.WithoutCancel(ctx), t.opts.Clock, answerTime)
		defer cancel()
		cut = t.abortUnless(t.waitClosed(answer))
	}
	t.closeServers()
	return cut
}

// abortUnless closes the remaining connections if waiting for them has failed.
func (t *Tracker) abortUnless(err error) int {
	if err == nil {
		return 0
	}
	n := t.closeIf(func(*conn) bool { return true })
	t.opts.Logger.Warn("connections closed before their answers were complete", "connections", n)
	return n
}

// closeUnused closes the listeners and the connections without a request. Connections that
// become idle later are closed then.
func (t *Tracker) closeUnused() {
	t.mu.Lock()
	t.closing = true
	listeners := t.listeners
	t.listeners = nil
	t.mu.Unlock()
	for _, ln := range listeners {
		if err := ln.Close(); err != nil {
			t.opts.Logger.Warn("listener not closed", "address", ln.Addr(), "error", err)
		}
	}
	t.closeIf(func(c *conn) bool { return c.phase() != phaseActive && !c.multiplexed })
	if t.hasMultiplexed() {
		t.closeMultiplexedLater()
	}
}

// closeServers ends the servers, which have no connections any more.
func (t *Tracker) closeServers() {
	t.mu.Lock()
	servers := t.servers
	t.mu.Unlock()
	for _, server := range servers {
		if err := server.Close(); err != nil {
			t.opts.Logger.Warn("server not closed", "address", server.Addr, "error", err)
		}
	}
}

// closeIf closes the connections for which match returns true and returns their number.
func (t *Tracker) closeIf(match func(*conn) bool) int {
	t.mu.Lock()
	var matching []*conn
	for c := range t.conns {
		if match(c) {
			matching = append(matching, c)
			t.remove(c)
		}
	}
	t.mu.Unlock()
	for _, c := range matching {
		c.closeInner()
	}
	return len(matching)
}

// waitClosed waits until there are no connections.
func (t *Tracker) waitClosed(ctx context.Context) error {
	return t.wait(ctx, func() bool { return len(t.conns) == 0 })
}

// wait waits until done, which is called with the lock held, returns true.
func (t *Tracker) wait(ctx context.Context, done func() bool) error {
	for {
		t.mu.Lock()
		if t.changed == nil {
			t.changed = make(chan struct{})
		}
		ok, changed := done(), t.changed
		t.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// notify wakes the waiting calls. It must be called with the lock held.
func (t *Tracker) notify() {
	if t.changed == nil {
		return
	}
	close(t.changed)
	t.changed = nil
}
