package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// pool holds the connections to one address.
type pool struct {
	client *Client
	addr   string
	// inFlight counts the calls in flight; the client's lock guards it.
	inFlight int
	// dialSlot has a capacity of one, so that a burst of calls to an unreachable
	// address makes one connection attempt at a time.
	dialSlot chan struct{}

	mu     sync.Mutex
	conns  []*clientConn
	closed bool
}

func newPool(c *Client, addr string) *pool {
	return &pool{client: c, addr: addr, dialSlot: make(chan struct{}, 1)}
}

// maxAttempts allows one retry of a call whose pooled connection turned out to
// be closed. A call is retried only if it was not delivered.
const maxAttempts = 2

func (p *pool) call(ctx context.Context, method string, params json.RawMessage, result any) error {
	for attempt := 1; ; attempt++ {
		conn, reused, err := p.acquire(ctx)
		if err != nil {
			return errors.Mark(err, ErrUnreachable)
		}
		err = conn.call(ctx, method, params, result)
		p.release(conn)
		undelivered := errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrOverloaded)
		if !undelivered || !reused || attempt == maxAttempts {
			return err
		}
	}
}

// acquire returns a connection and counts a call on it. reused is false if the
// connection was opened for this call.
func (p *pool) acquire(ctx context.Context) (conn *clientConn, reused bool, err error) {
	if c, noDial := p.leastBusy(); c != nil && (noDial || !p.tryDialSlot()) {
		return c, true, nil
	} else if c != nil {
		defer func() { <-p.dialSlot }()
		if fresh, err := p.dial(ctx); err == nil {
			p.release(c)
			return fresh, false, nil
		}
		return c, true, nil
	}
	select {
	case p.dialSlot <- struct{}{}:
		defer func() { <-p.dialSlot }()
	case <-ctx.Done():
		return nil, false, errors.Wrap(ctx.Err(), "wait for a connection")
	}
	if c, _ := p.leastBusy(); c != nil {
		return c, true, nil
	}
	conn, err = p.dial(ctx)
	return conn, false, err
}

// tryDialSlot takes the dial slot if it is free.
func (p *pool) tryDialSlot() bool {
	select {
	case p.dialSlot <- struct{}{}:
		return true
	default:
		return false
	}
}

// leastBusy counts a call on the open connection with the fewest calls and
// returns it, or nil if none is open. noDial is true if the connection was idle
// or the pool has the maximum of connections.
func (p *pool) leastBusy() (best *clientConn, noDial bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, (*clientConn).isClosed)
	for _, c := range p.conns {
		if best == nil || c.calls < best.calls {
			best = c
		}
	}
	if best == nil {
		return nil, false
	}
	noDial = best.calls == 0 || len(p.conns) >= p.client.opts.ConnsPerPeer
	best.calls++
	return best, noDial
}

// release ends a call on the connection.
func (p *pool) release(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.lastUsed = p.client.opts.Clock.Now()
}

// dial opens and authenticates a connection within DialTimeout.
func (p *pool) dial(ctx context.Context) (*clientConn, error) {
	opts := &p.client.opts
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := opts.Clock.AfterFunc(opts.DialTimeout, cancel)
	defer timer.Stop()
	raw, err := opts.Dial(ctx, p.addr)
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}
	stop := context.AfterFunc(ctx, func() { _ = raw.Close() })
	conn := raw
	if opts.TLS != nil {
		conn = tls.Client(raw, opts.TLS)
	}
	send, receive, err := clientHandshake(conn, opts.Key, opts.Self)
	if !stop() && err == nil {
		err = errors.New("handshake timed out")
	}
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return p.add(conn, send, receive)
}

// add puts a new connection into the pool and counts a call on it.
func (p *pool) add(conn net.Conn, send, receive []byte) (*clientConn, error) {
	opts := &p.client.opts
	st := newStream(conn, opts.Clock, opts.MaxMessageBytes, send, receive)
	c := &clientConn{
		rpc:      jsonrpc2.NewConn(context.Background(), st, ignoreCalls{}, discardLogs()),
		stream:   st,
		calls:    1,
		lastUsed: opts.Clock.Now(),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.rpc.Close()
		return nil, ErrClosed
	}
	p.conns = append(p.conns, c)
	return c, nil
}

// closeIdle closes idle connections last used before limit, and reports whether
// the pool is empty.
func (p *pool) closeIdle(limit time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if c.calls == 0 && c.lastUsed.Before(limit) {
			_ = c.rpc.Close()
		}
	}
	p.conns = slices.DeleteFunc(p.conns, (*clientConn).isClosed)
	return len(p.conns) == 0
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.conns {
		_ = c.rpc.Close()
	}
}

// ignoreCalls ignores calls from the server, which is not expected to make any.
type ignoreCalls struct{}

// Handle implements jsonrpc2.Handler.
func (ignoreCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
