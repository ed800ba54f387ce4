package upstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// readBufferBytes has room for a response header and a few events of a stream.
const readBufferBytes = 4 << 10

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	br   *bufio.Reader
	head *headLimit
	// uses counts the requests sent on the connection.
	uses int
	// idleUntil is the time from which the idle connection must not be reused.
	idleUntil time.Time
}

func newConn(raw net.Conn) *conn {
	head := &headLimit{conn: raw}
	return &conn{Conn: raw, br: bufio.NewReaderSize(head, readBufferBytes), head: head}
}

// consumed returns the number of bytes received on the connection that have been used.
func (c *conn) consumed() int64 { return c.head.received - int64(c.br.Buffered()) }

// reusable reports whether an idle connection may carry another request. It may
// not after idleUntil, or if the endpoint has closed it or sent unrequested data.
func (c *conn) reusable(now time.Time) bool {
	if !now.Before(c.idleUntil) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	return ok && noUnreadData(sc)
}

// pool keeps idle connections, the most recently used last.
type pool struct {
	clock       clockwork.Clock
	idleTimeout time.Duration

	mu        sync.Mutex
	idle      map[string][]*conn
	lastSweep time.Time
	closed    bool
}

// get removes and returns a reusable connection to addr, or returns nil.
func (p *pool) get(addr string) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if c.reusable(p.clock.Now()) {
			return c
		}
		_ = c.Close() // no request is in flight on it
	}
}

func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// has reports whether the pool has a connection to addr.
func (p *pool) has(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle[addr]) > 0
}

// put adds an idle connection. It is kept for at most the idle timeout, or keep
// if that is shorter and not zero.
func (p *pool) put(addr string, c *conn, keep time.Duration) {
	now := p.clock.Now()
	c.idleUntil = now.Add(p.idleTimeout)
	if keep > 0 && keep < p.idleTimeout {
		c.idleUntil = now.Add(keep)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return
	}
	p.idle[addr] = append(p.idle[addr], c)
	p.sweep(now)
}

// sweep closes expired connections, at most once per idle timeout.
func (p *pool) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < p.idleTimeout {
		return
	}
	p.lastSweep = now
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// closeIdle closes the idle connections to addr.
func (p *pool) closeIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// close closes all idle connections; later ones are closed when they are put.
func (p *pool) close() {
	p.mu.Lock()
	p.closed = true
	idle := p.idle
	p.idle = nil
	p.mu.Unlock()
	for _, list := range idle {
		for _, c := range list {
			_ = c.Close()
		}
	}
}
