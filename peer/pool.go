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
	// reserved counts calls; it is guarded by the client's lock.
	reserved int
	// dialing has room for one, so that a burst of calls to a dead address
	// makes one connection attempt at a time.
	dialing chan struct{}

	mu     sync.Mutex
	conns  []*clientConn
	closed bool
}

func newPool(c *Client, addr string) *pool {
	return &pool{client: c, addr: addr, dialing: make(chan struct{}, 1)}
}

// maxAttempts lets a call that found a pooled connection closed go out once
// more on another one. It is sent again only if it was not delivered.
const maxAttempts = 2

func (p *pool) call(ctx context.Context, method string, params json.RawMessage, result any) error {
	for attempt := 1; ; attempt++ {
		conn, reused, err := p.get(ctx)
		if err != nil {
			return errors.Mark(err, ErrUnreachable)
		}
		err = conn.call(ctx, method, params, result)
		p.put(conn)
		notSent := errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrOverloaded)
		if !notSent || !reused || attempt == maxAttempts {
			return err
		}
	}
}

// get returns a connection with one more call counted on it.
func (p *pool) get(ctx context.Context) (conn *clientConn, reused bool, err error) {
	if c, full := p.leastBusy(); c != nil && (full || !p.tryDialing()) {
		return c, true, nil
	} else if c != nil {
		defer func() { <-p.dialing }()
		if fresh, err := p.dial(ctx); err == nil {
			p.put(c)
			return fresh, false, nil
		}
		return c, true, nil
	}
	select {
	case p.dialing <- struct{}{}:
		defer func() { <-p.dialing }()
	case <-ctx.Done():
		return nil, false, errors.Wrap(ctx.Err(), "wait for a connection")
	}
	if c, _ := p.leastBusy(); c != nil {
		return c, true, nil
	}
	conn, err = p.dial(ctx)
	return conn, false, err
}

func (p *pool) tryDialing() bool {
	select {
	case p.dialing <- struct{}{}:
		return true
	default:
		return false
	}
}

// leastBusy returns the open connection with the fewest calls, and whether
// another one would not help.
func (p *pool) leastBusy() (best *clientConn, full bool) {
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
	full = best.calls == 0 || len(p.conns) >= p.client.opts.ConnsPerPeer
	best.calls++
	return best, full
}

func (p *pool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.calls--
	c.lastUsed = p.client.opts.Clock.Now()
}

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

func (p *pool) add(conn net.Conn, send, receive []byte) (*clientConn, error) {
	opts := &p.client.opts
	st := newStream(conn, opts.Clock, opts.MaxMessageBytes, send, receive)
	c := &clientConn{
		rpc:      jsonrpc2.NewConn(context.Background(), st, refuseCalls{}, quiet()),
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

// closeIdle ends connections last used before the limit and reports whether
// none is left.
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

// refuseCalls ignores calls from the server side, which has none to make.
type refuseCalls struct{}

// Handle implements jsonrpc2.Handler.
func (refuseCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
