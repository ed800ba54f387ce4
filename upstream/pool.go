package upstream

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
)

// readBufferBytes holds the header of an answer and a few events of a stream.
const readBufferBytes = 4 << 10

// conn is a connection to an endpoint.
type conn struct {
	net.Conn
	br *bufio.Reader
	// uses counts the requests sent.
	uses int
	// expires is when an idle connection is no longer used.
	expires time.Time
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, br: bufio.NewReaderSize(raw, readBufferBytes)}
}

// usable reports whether a connection may carry the next request.
func (c *conn) usable(now time.Time) bool {
	if !now.Before(c.expires) || c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	return ok && quiet(sc)
}

// pool keeps idle connections, the most recently used last.
type pool struct {
	clock       clockwork.Clock
	idleTimeout time.Duration

	mu     sync.Mutex
	idle   map[string][]*conn
	swept  time.Time
	closed bool
}

// take returns a usable connection to addr, or nil.
func (p *pool) take(addr string) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if c.usable(p.clock.Now()) {
			return c
		}
		_ = c.Close() // nothing was promised on it
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

// put keeps a connection for at most keep, or the idle timeout if keep is zero.
func (p *pool) put(addr string, c *conn, keep time.Duration) {
	now := p.clock.Now()
	c.expires = now.Add(p.idleTimeout)
	if keep > 0 && keep < p.idleTimeout {
		c.expires = now.Add(keep)
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
	if now.Sub(p.swept) < p.idleTimeout {
		return
	}
	p.swept = now
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.expires) {
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

func (p *pool) forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

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
