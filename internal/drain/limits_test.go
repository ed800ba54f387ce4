package drain_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/drain"
)

// limitsRig is a server whose callers have limits.
type limitsRig struct {
	*drain.Tracker
	t     *testing.T
	gate  *stallGate
	clock *clockwork.FakeClock
	// onActive makes a sweep happen when the next header has been read.
	onActive atomic.Bool

	mu     sync.Mutex
	limits drain.Limits
}

// stallGate is a gate that can also hold reads back before they begin.
type stallGate struct {
	*gate
	// full makes the next accept fail for want of a descriptor.
	full    atomic.Bool
	stall   atomic.Bool
	stalled chan struct{}
	resume  chan struct{}
}

func (g *stallGate) Accept() (net.Conn, error) {
	if g.full.CompareAndSwap(true, false) {
		return nil, syscall.EMFILE
	}
	c, err := g.gate.Accept()
	if err != nil {
		return nil, err
	}
	return &stalledConn{Conn: c, gate: g}, nil
}

type stalledConn struct {
	net.Conn
	gate *stallGate
}

// Read does not look for bytes while the gate is stalled, as in a process that is suspended.
func (c *stalledConn) Read(b []byte) (int, error) {
	if c.gate.stall.CompareAndSwap(true, false) {
		c.gate.stalled <- struct{}{}
		<-c.gate.resume
	}
	return c.Conn.Read(b)
}

func newLimitsRig(t *testing.T, limits drain.Limits) *limitsRig {
	t.Helper()
	g := &stallGate{gate: newGate(t), stalled: make(chan struct{}, 1), resume: make(chan struct{})}
	r := &limitsRig{t: t, gate: g, clock: clockwork.NewFakeClock(), limits: limits}
	r.Tracker = drain.New(drain.Options{Clock: r.clock})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			t.Errorf("read body: %v", err)
		}
		fmt.Fprint(w, "whole ", len(body))
	})}
	r.Attach(server)
	follow := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive && r.onActive.CompareAndSwap(true, false) {
			r.pass(time.Minute)
		}
		follow(c, state)
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(r.LimitedListener(g, r.source)) }()
	t.Cleanup(func() {
		over, cancel := context.WithCancel(context.Background())
		cancel()
		r.Stop(over, 0)
		if err := receive(t, ended); err != http.ErrServerClosed {
			t.Errorf("server ended with %v, want http.ErrServerClosed", err)
		}
	})
	return r
}

func (r *limitsRig) source() drain.Limits {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.limits
}

func (r *limitsRig) setLimits(l drain.Limits) {
	r.mu.Lock()
	r.limits = l
	r.mu.Unlock()
	r.Sweep()
}

// pass lets time pass, with a sweep at each interval.
func (r *limitsRig) pass(d time.Duration) {
	for ; d > 0; d -= drain.SweepInterval {
		r.clock.Advance(min(d, drain.SweepInterval))
		r.Sweep()
	}
}

// idleConn returns a connection that has become idle now.
func (r *limitsRig) idleConn() *caller {
	r.t.Helper()
	c := dial(r.t, r.gate.gate)
	r.exchange(c)
	return c
}

// exchange sends a request and waits until its connection is idle again.
func (r *limitsRig) exchange(c *caller) {
	r.t.Helper()
	c.request()
	r.answered(c)
}

func (r *limitsRig) answered(c *caller) {
	r.t.Helper()
	if status, body, closes := c.answer(); status != http.StatusOK || !strings.HasPrefix(body, "whole") || closes {
		r.t.Fatalf("got %d %q, closes the connection: %t", status, body, closes)
	}
	waitFor(r.t, "the connections are idle", func() bool { return r.InFlight() == 0 })
}

// closed waits until the host closes a connection without an answer.
func (r *limitsRig) closed(c *caller) {
	r.t.Helper()
	if n, err := c.r.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		r.t.Fatalf("got %d bytes and %v, want a closed connection", n, err)
	}
}

// TestConnectionIdleForMostOfItsLimitIsOpen guards against a request that is lost because its
// connection is closed after a time that the configuration does not state.
func TestConnectionIdleForMostOfItsLimitIsOpen(t *testing.T) {
	const limit = 5 * time.Minute
	r := newLimitsRig(t, drain.Limits{IdleTime: limit})
	c := r.idleConn()
	for range 2 {
		r.pass(limit * 4 / 5)
		r.exchange(c)
	}
	r.pass(limit + drain.SweepInterval)
	r.closed(c)
}

// TestConnectionOpenedInAdvanceIsOpen guards against a request that is lost because its
// connection was opened earlier and the time for its header has passed.
func TestConnectionOpenedInAdvanceIsOpen(t *testing.T) {
	const limit = 5 * time.Minute
	r := newLimitsRig(t, drain.Limits{IdleTime: limit, HeaderTime: time.Second})
	c, unused := dial(t, r.gate.gate), dial(t, r.gate.gate)
	waitFor(t, "the connections are served", func() bool { return r.Unused() == 2 })
	r.pass(limit * 4 / 5)
	r.exchange(c)
	r.pass(limit/5 + drain.SweepInterval)
	r.closed(unused)
	r.exchange(c)
}

// TestUnusedConnectionsMakeRoomForDescriptors guards against a host that takes no new callers
// because unused connections hold all its descriptors.
func TestUnusedConnectionsMakeRoomForDescriptors(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{})
	first := r.idleConn()
	r.clock.Advance(time.Second)
	second := r.idleConn()
	r.gate.full.Store(true)
	third := r.idleConn() // the accept that waits succeeds, and the next one fails
	r.closed(first)
	r.exchange(second)
	r.exchange(third)
	r.idleConn()
}

// TestLongerIdleLimitHoldsAtOnce guards against a connection that is closed after the limit
// that was in force when it became idle.
func TestLongerIdleLimitHoldsAtOnce(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{IdleTime: time.Minute})
	c := r.idleConn()
	r.pass(50 * time.Second)
	r.setLimits(drain.Limits{IdleTime: 2 * time.Minute})
	r.pass(45 * time.Second)
	r.exchange(c)
	r.pass(2*time.Minute + drain.SweepInterval)
	r.closed(c)
}

// TestShorterIdleLimitSparesIdleConnections guards against a request that is lost because its
// caller does not know the new limit yet.
func TestShorterIdleLimitSparesIdleConnections(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{IdleTime: 2 * time.Minute})
	c := r.idleConn()
	r.pass(5 * time.Second)
	r.setLimits(drain.Limits{IdleTime: 10 * time.Second})
	later := r.idleConn()
	r.pass(10*time.Second + drain.SweepInterval)
	r.closed(later)
	r.pass(80 * time.Second)
	r.exchange(c)
	r.pass(10*time.Second + drain.SweepInterval)
	r.closed(c)
}

// upload is a header whose body follows later.
const upload = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"

// uploaded sends the body of an upload once its header has been read, which must have ended
// the limits.
func (r *limitsRig) uploaded(c *caller) {
	r.t.Helper()
	waitFor(r.t, "the header is read", func() bool { return r.InFlight() == 1 && !r.ReadsHeader() })
	c.send("12345")
	r.answered(c)
}

// TestRequestThatArrivesDuringASweepIsAnswered guards against a request that is lost because
// its connection is found idle for too long while its bytes arrive.
func TestRequestThatArrivesDuringASweepIsAnswered(t *testing.T) {
	t.Run("read", func(t *testing.T) {
		r := newLimitsRig(t, drain.Limits{IdleTime: time.Minute, HeaderTime: time.Second})
		c := r.idleConn()
		r.gate.reads.Store(true)
		c.send(upload)
		receive(t, r.gate.held) // the bytes are read, but the tracker does not know
		r.pass(2 * time.Minute)
		r.gate.reads.Store(false)
		close(r.gate.release)
		r.uploaded(c)
	})
	t.Run("not read yet", func(t *testing.T) {
		r := newLimitsRig(t, drain.Limits{IdleTime: time.Minute, HeaderTime: time.Second})
		c := dial(t, r.gate.gate)
		r.exchange(c)
		c.send(upload[:1])
		waitFor(t, "the first byte is read", func() bool { return r.InFlight() == 1 })
		r.gate.stall.Store(true)
		c.send(upload[1:20])
		receive(t, r.gate.stalled)
		c.send(upload[20:])
		r.pass(2 * time.Second)
		close(r.gate.resume)
		r.uploaded(c)
	})
	t.Run("while idle", func(t *testing.T) {
		r := newLimitsRig(t, drain.Limits{IdleTime: time.Minute})
		r.gate.stall.Store(true)
		c := dial(t, r.gate.gate)
		receive(t, r.gate.stalled)
		c.send(upload[:20])
		r.pass(2 * time.Minute)
		close(r.gate.resume)
		waitFor(t, "the first bytes are read", func() bool { return r.InFlight() == 1 })
		time.Sleep(3 * drain.LookTime) // a deadline that was not removed passes
		c.send(upload[20:])
		r.uploaded(c)
	})
	t.Run("header complete", func(t *testing.T) {
		r := newLimitsRig(t, drain.Limits{HeaderTime: time.Second})
		r.onActive.Store(true)
		c := dial(t, r.gate.gate)
		c.send(upload)
		waitFor(t, "a sweep happens", func() bool { return !r.onActive.Load() })
		time.Sleep(3 * drain.LookTime) // a deadline that was not removed passes
		r.uploaded(c)
	})
}

// TestSlowHeaderIsClosed guards against callers that hold connections with incomplete headers.
func TestSlowHeaderIsClosed(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{IdleTime: time.Minute, HeaderTime: 20 * time.Second})
	c, slow := r.idleConn(), r.idleConn()
	for _, s := range []*caller{c, slow} {
		s.send("GET / HTTP/1.1\r\n")
	}
	waitFor(t, "the headers begin", func() bool { return r.InFlight() == 2 })
	r.pass(19 * time.Second)
	c.send("Host: h\r\n\r\n")
	if status, _, _ := c.answer(); status != http.StatusOK {
		t.Errorf("got %d for a header within its time", status)
	}
	r.pass(3 * time.Second)
	r.closed(slow)
	r.exchange(c)
}

// TestSlowHeaderIsClosedAlthoughBytesArrive guards against callers that hold connections by
// single bytes.
func TestSlowHeaderIsClosedAlthoughBytesArrive(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{HeaderTime: time.Second})
	c := dial(t, r.gate.gate)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nX: "); err == nil; _, err = io.WriteString(c.conn, "x") {
			time.Sleep(time.Millisecond)
		}
	}()
	waitFor(t, "the header begins", func() bool { return r.InFlight() == 1 })
	waitFor(t, "the connection is closed", func() bool {
		r.pass(drain.SweepInterval)
		return r.InFlight() == 0
	})
	receive(t, done)
}

// TestSlowRequestIsNotTakenForASlowHeader guards against a body or an answer that is cut by
// the limits for headers and idle connections.
func TestSlowRequestIsNotTakenForASlowHeader(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{IdleTime: time.Second, HeaderTime: time.Second, HeaderBytes: 100})
	c := dial(t, r.gate.gate)
	const half = 30_000
	c.send(fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", 2*half, strings.Repeat("x", half)))
	waitFor(t, "the header is read", func() bool { return r.InFlight() == 1 && !r.ReadsHeader() })
	r.pass(time.Minute)
	c.send(strings.Repeat("x", half))
	if status, body, _ := c.answer(); status != http.StatusOK || body != fmt.Sprint("whole ", 2*half) {
		t.Errorf("got %d %q", status, body)
	}
}

// TestHeaderSizeIsBounded guards against a header that is rejected although it is within the
// limit, or buffered although it is not.
func TestHeaderSizeIsBounded(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{HeaderBytes: 32 << 10})
	header := func(bytes int) string {
		const begin = "GET / HTTP/1.1\r\nHost: h\r\nX: "
		return begin + strings.Repeat("x", bytes-len(begin)-len("\r\n\r\n")) + "\r\n\r\n"
	}
	c := dial(t, r.gate.gate)
	for range 3 {
		c.send(header(32 << 10))
		r.answered(c)
	}
	c.send(header(200 << 10))
	if status, _, closes := c.answer(); status != http.StatusRequestHeaderFieldsTooLarge || !closes {
		t.Errorf("got %d, closes the connection: %t, want 431", status, closes)
	}
	r.mu.Lock()
	r.limits.HeaderBytes = 300 << 10 // no sweep has seen it yet
	r.mu.Unlock()
	c = dial(t, r.gate.gate)
	c.send(header(200 << 10))
	r.answered(c)
}

// TestLongestUnusedConnectionGoesFirst guards against callers that get no connection because
// others keep theirs without using them.
func TestLongestUnusedConnectionGoesFirst(t *testing.T) {
	r := newLimitsRig(t, drain.Limits{Connections: 3})
	inUse := r.idleConn()
	inUse.send("GET / HTTP/1.1\r\n")
	waitFor(t, "the header begins", func() bool { return r.InFlight() == 1 })
	var unused []*caller
	for range 3 {
		r.clock.Advance(time.Second)
		c := dial(t, r.gate.gate)
		c.request()
		c.answer()
		waitFor(t, "the connection is idle", func() bool { return r.InFlight() == 1 })
		unused = append(unused, c)
	}
	r.closed(unused[0])
	inUse.send("Host: h\r\n\r\n")
	r.answered(inUse)
	for _, c := range unused[1:] {
		r.exchange(c)
	}
}
