package drain

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bound what callers may send, and for how long they may keep connections without a
// complete request. A zero field is not bounded.
type Limits struct {
	// HeaderBytes is the size of a request's header. Up to readAhead bytes more are read,
	// which may belong to the body.
	HeaderBytes int
	// HeaderTime is the time from the first byte of a header to its last one.
	HeaderTime time.Duration
	// IdleTime is the time in which a connection must be used.
	IdleTime time.Duration
	// Connections is the number of connections above which those that have been unused for
	// the longest time are closed.
	Connections int
}

const (
	// sweepInterval is how much later than its limit a connection is closed.
	sweepInterval = time.Second
	// lookTime is the time in which a connection that is about to be closed may still
	// receive bytes.
	lookTime = 20 * time.Millisecond
	// readAhead is the number of bytes that net/http reads at once.
	readAhead = 4 << 10
	// evictDivisor divides the unused connections that are closed at once when there are
	// too many.
	evictDivisor = 32
	// tooLargeTime and tooLargeBytes bound what is read of a header that was rejected.
	// A connection that is closed with unread bytes is reset, and the answer may be lost.
	tooLargeTime  = 500 * time.Millisecond
	tooLargeBytes = 1 << 20
)

// errHeaderTooLarge ends a connection whose header was rejected. It is a net.OpError, to
// which net/http sends no answer of its own.
var errHeaderTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("drain: header too large")}

// callerLimits are the limits of the connections of one listener. They are protected by the
// lock of the tracker.
type callerLimits struct {
	source func() Limits
	now    Limits
	idle   idleLimit
	// conns is the number of connections with these limits.
	conns int
}

// headerState is what a connection with limits knows about the header that it reads.
type headerState struct {
	// limits is nil for a connection without limits.
	limits *callerLimits
	// reading is set from the first byte of a header until the server has read it; began is
	// the time of that byte. Both are protected by the lock of the tracker, as are the
	// next two.
	reading bool
	began   time.Time
	// expired is set while the read deadline has passed because a limit has.
	expired bool
	// looked is set once an expired header was given time for bytes that have arrived.
	looked bool
	// bytes is the number of bytes read since the last answer. Only the reader uses it.
	bytes int
}

// LimitedListener is Listener for callers with limits, which source returns and which may
// change at any time. The http.Server must have no ReadHeaderTimeout, IdleTimeout and
// ReadTimeout. EnforceLimits must run.
func (t *Tracker) LimitedListener(ln net.Listener, source func() Limits) net.Listener {
	inner := t.Listener(ln).(*listener)
	inner.limits = &callerLimits{source: source}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = append(t.limits, inner.limits)
	inner.limits.update(t.opts.Clock.Now())
	return inner
}

// update follows the source.
func (l *callerLimits) update(now time.Time) {
	l.now = l.source()
	l.idle.set(max(0, l.now.IdleTime), now)
}

// EnforceLimits closes connections beyond their limits until ctx ends.
func (t *Tracker) EnforceLimits(ctx context.Context) error {
	ticker := t.opts.Clock.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.Chan():
			t.sweep()
		}
	}
}

func (t *Tracker) sweep() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	for _, l := range t.limits {
		l.update(now)
	}
	for c := range t.conns {
		// The server may have undone an earlier expiry when it began to wait for a request.
		if c.header.limits != nil && (c.header.expired || c.beyondLimit(now)) {
			c.expire()
		}
	}
}

// unused reports whether no byte of a request has been read since the last answer. It must be
// called with the lock held.
func (c *conn) unused() bool { return c.phase() == phaseNew || c.phase() == phaseIdle }

// beyondLimit must be called with the lock held.
func (c *conn) beyondLimit(now time.Time) bool {
	l := c.header.limits
	if c.unused() {
		return now.Sub(c.since) > l.idle.since(c.since)
	}
	return c.header.reading && l.now.HeaderTime > 0 && now.Sub(c.header.began) > l.now.HeaderTime
}

// expire makes the server close the connection unless it has just received bytes. It must be
// called with the lock held.
func (c *conn) expire() {
	c.header.expired = true
	// If the connection is closed, there is nothing to expire.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// revive undoes expire. It must be called with the lock held.
func (c *conn) revive() {
	if c.header.expired {
		c.header.expired = false
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}

// beginHeader records the first byte of a request. It must be called with the lock held.
func (c *conn) beginHeader() {
	if c.header.limits == nil {
		return
	}
	c.revive()
	c.header.reading, c.header.looked, c.header.began = true, false, c.tracker.opts.Clock.Now()
}

// endHeader records that the server has read a header. It must be called with the lock held.
func (c *conn) endHeader() {
	if c.header.limits == nil {
		return
	}
	c.revive()
	c.header.reading, c.header.bytes = false, 0
}

// readLimited reads from a connection and enforces its limits, if it has any.
func (c *conn) readLimited(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.header.limits == nil {
		return n, err
	}
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayLookAgain() {
		// The deadline hides bytes that have arrived. The clock of the system counts here.
		if err := c.Conn.SetReadDeadline(time.Now().Add(lookTime)); err != nil {
			return 0, err
		}
		n, err = c.Conn.Read(b)
	}
	if n > 0 && c.headerTooLarge(n) {
		c.rejectHeader()
		return 0, errHeaderTooLarge
	}
	return n, err
}

// mayLookAgain reports whether a read that was ended by a limit may be repeated.
func (c *conn) mayLookAgain() bool {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	h := &c.header
	if !h.expired || (h.reading && h.looked) {
		return false
	}
	h.looked = true
	return true
}

// headerTooLarge counts n bytes that were read. Only the reader changes reading.
func (c *conn) headerTooLarge(n int) bool {
	h := &c.header
	if c.phase() == phaseActive && !h.reading {
		return false
	}
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if h.reading {
		c.revive()
	}
	if c.layered {
		return false
	}
	h.bytes += n
	if !h.limits.tooLarge(h.bytes) {
		return false
	}
	h.limits.update(c.tracker.opts.Clock.Now()) // the limit may have been raised just now
	return h.limits.tooLarge(h.bytes)
}

func (l *callerLimits) tooLarge(headerBytes int) bool {
	return l.now.HeaderBytes > 0 && headerBytes > l.now.HeaderBytes+readAhead
}

// rejectHeader answers a request whose header is too large, in the same way as net/http.
func (c *conn) rejectHeader() {
	const status = "431 Request Header Fields Too Large"
	const answer = "HTTP/1.1 " + status + "\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n" + status
	log := c.tracker.opts.Logger.With("caller", c.RemoteAddr())
	if err := c.Conn.SetDeadline(time.Now().Add(tooLargeTime)); err != nil {
		log.Debug("header rejected without an answer", "error", err)
		return
	}
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		log.Debug("header rejected without an answer", "error", err)
		return
	}
	log.Info("header rejected", "status", http.StatusRequestHeaderFieldsTooLarge)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		// If it fails, the caller has left.
		_ = half.CloseWrite()
	}
	// An error ends the wait; the caller has the answer or has left.
	_, _ = io.CopyN(io.Discard, c.Conn, tooLargeBytes)
}

// admit counts a new connection. It must be called with the lock held.
func (t *Tracker) admit(c *conn, l *callerLimits) {
	if l == nil {
		return
	}
	c.header.limits = l
	l.conns++
	if l.now.Connections > 0 && l.conns > l.now.Connections {
		t.evict(l)
	}
}

// release is the reverse of admit. It must be called with the lock held.
func (c *conn) release() {
	if c.header.limits != nil {
		c.header.limits.conns--
	}
}

// evict closes some of the connections that have been unused for the longest time. It must be
// called with the lock held.
func (t *Tracker) evict(l *callerLimits) {
	var unused []*conn
	for c := range t.conns {
		switch {
		case c.header.limits != l:
		case c.header.expired:
			return // an earlier call has closed some, which are about to end
		case c.unused():
			unused = append(unused, c)
		}
	}
	if len(unused) == 0 {
		return
	}
	slices.SortFunc(unused, func(a, b *conn) int { return a.since.Compare(b.since) })
	unused = unused[:(len(unused)+evictDivisor-1)/evictDivisor]
	for _, c := range unused {
		c.expire()
	}
	t.opts.Logger.Info("unused connections closed", "closed", len(unused), "connections", l.conns)
}

// outOfDescriptors reports whether the process can open no more connections.
func outOfDescriptors(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
