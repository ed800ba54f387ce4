package drain

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// phase is the state of a connection. It differs from http.ConnState in that a connection
// is active from the first byte of a request, and not only once the header has been read.
type phase int32

const (
	// phaseOpening lasts from the accept until the server has the connection.
	phaseOpening phase = iota
	// phaseNew lasts until the first request.
	phaseNew
	// phaseActive lasts from the first byte of a request to the last byte of its answer.
	phaseActive
	// phaseIdle lasts from the end of an answer to the next request.
	phaseIdle
	// phaseClosed is final.
	phaseClosed
)

// Listener returns a listener whose connections the tracker follows. A layer on top of it,
// such as TLS, must have connections with a method NetConn.
func (t *Tracker) Listener(ln net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listeners = append(t.listeners, ln)
	return &listener{Listener: ln, tracker: t}
}

type listener struct {
	net.Listener
	tracker *Tracker
	// limits is nil if the connections have none.
	limits *callerLimits
}

// Accept implements net.Listener. It returns http.ErrServerClosed while the tracker stops.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	t := l.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err != nil && t.closing:
		return nil, http.ErrServerClosed
	case err != nil:
		if l.limits != nil && outOfDescriptors(err) {
			t.evict(l.limits)
		}
		return nil, err
	}
	c := &conn{Conn: inner, tracker: t, since: t.opts.Clock.Now()}
	c.state.Store(int32(phaseOpening))
	if t.closing {
		c.closeInner()
		return nil, http.ErrServerClosed
	}
	t.conns[c] = struct{}{}
	t.admit(c, l.limits)
	return c, nil
}

// conn is a connection that the tracker follows.
type conn struct {
	net.Conn
	tracker *Tracker
	// state is changed only with the lock of the tracker held.
	state atomic.Int32
	// since is the time at which the connection was accepted or became idle. It is protected
	// by the lock of the tracker.
	since time.Time
	// layered is set if the server sees the connection through another one, whose handshake
	// is not a request. It is protected by the lock of the tracker.
	layered bool
	// multiplexed is set for HTTP/2, where bytes may come without a request, and where the
	// server reports the end of an answer before it has written it. It is protected by the
	// lock of the tracker.
	multiplexed bool
	header      headerState
	// rejected is set while the connection has a request that arrived after Refuse. It is
	// protected by the lock of the tracker.
	rejected bool
	// readErr is the last error of a read since the header of the last request was read.
	readErr atomic.Pointer[error]

	closeOnce sync.Once
	closeErr  error
}

func (c *conn) phase() phase { return phase(c.state.Load()) }

// Read implements net.Conn. A connection that was closed as an unused one yields no bytes,
// not even those that arrived before, so that no request of it is passed on.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.readLimited(b)
	if n > 0 && !c.tracker.received(c) {
		return 0, net.ErrClosed
	}
	if err != nil {
		c.readErr.Store(&err)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.tracker.mu.Lock()
	c.tracker.remove(c)
	c.tracker.mu.Unlock()
	c.closeInner()
	return c.closeErr
}

// SetKeepAliveConfig sets the probes of a TCP connection.
func (c *conn) SetKeepAliveConfig(config net.KeepAliveConfig) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return tcp.SetKeepAliveConfig(config)
}

// CloseWrite closes the sending direction if the connection can. A server that rejects the
// rest of a request does so before it waits and closes, so that its answer is not lost.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	return half.CloseWrite()
}

func (c *conn) closeInner() { c.closeOnce.Do(func() { c.closeErr = c.Conn.Close() }) }

// received records bytes of a request. It returns false if the connection is closed.
func (t *Tracker) received(c *conn) bool {
	if c.phase() == phaseActive {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch c.phase() {
	case phaseClosed:
		return false
	case phaseIdle:
		if !c.multiplexed {
			t.setPhase(c, phaseActive)
			c.beginHeader()
		}
	case phaseNew:
		if !c.layered {
			t.setPhase(c, phaseActive)
			c.beginHeader()
		}
	}
	return true
}

// setPhase changes the phase of a connection that is not closed. It must be called with the
// lock held.
func (t *Tracker) setPhase(c *conn, p phase) {
	before := c.phase()
	if before == p || before == phaseClosed {
		return
	}
	c.state.Store(int32(p))
	if p == phaseActive {
		c.rejected = t.Refusing()
	} else {
		c.since = t.opts.Clock.Now()
	}
	switch {
	case c.rejected:
	case p == phaseActive:
		t.active++
	case before == phaseActive:
		t.active--
		t.notify()
	}
}

// remove forgets a connection. It must be called with the lock held.
func (t *Tracker) remove(c *conn) {
	if _, ok := t.conns[c]; !ok {
		return
	}
	t.setPhase(c, phaseClosed)
	delete(t.conns, c)
	c.release()
	t.notify()
}

// connState is the ConnState of the servers.
func (t *Tracker) connState(nc net.Conn, state http.ConnState) {
	c := innerConn(nc)
	if c == nil {
		return
	}
	if state == http.StateActive && isHTTP2(nc) {
		t.mu.Lock()
		c.multiplexed = true
		t.mu.Unlock()
	}
	if t.changeState(c, nc != net.Conn(c), state) {
		c.closeInner()
	}
}

// isHTTP2 reports whether a connection whose handshake has ended carries HTTP/2.
func isHTTP2(nc net.Conn) bool {
	secure, ok := nc.(*tls.Conn)
	return ok && secure.ConnectionState().NegotiatedProtocol == "h2"
}

// changeState follows a change that the server reports. It returns true if the connection
// must be closed.
func (t *Tracker) changeState(c *conn, layered bool, state http.ConnState) (closeNow bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		c.layered = layered
		t.setPhase(c, phaseNew)
	case http.StateActive:
		t.setPhase(c, phaseActive)
		c.endHeader()
		c.readErr.Store(nil) // net/http ended a read of its own before this request
	case http.StateIdle:
		t.setPhase(c, phaseIdle)
		c.endHeader()
		switch {
		case t.closing && c.multiplexed:
			t.closeMultiplexedLater()
		case t.closing:
			t.remove(c)
			return true
		}
	case http.StateClosed, http.StateHijacked:
		t.remove(c)
	}
	return false
}

// writeTime is the time in which a server writes the end of an answer that it has reported.
const writeTime = 250 * time.Millisecond

// hasMultiplexed reports whether there are HTTP/2 connections.
func (t *Tracker) hasMultiplexed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if c.multiplexed {
			return true
		}
	}
	return false
}

// closeMultiplexedLater closes the HTTP/2 connections that have no request after writeTime.
func (t *Tracker) closeMultiplexedLater() {
	t.opts.Clock.AfterFunc(writeTime, func() {
		earliest := t.opts.Clock.Now().Add(-writeTime)
		t.closeIf(func(c *conn) bool { return c.multiplexed && c.unused() && !c.since.After(earliest) })
	})
}

// innerConn returns the connection of the tracker's listener below nc; nil if there is none.
func innerConn(nc net.Conn) *conn {
	for nc != nil {
		if c, ok := nc.(*conn); ok {
			return c
		}
		layer, ok := nc.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		nc = layer.NetConn()
	}
	return nil
}
