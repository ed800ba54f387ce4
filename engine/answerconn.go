package engine

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/sockstate"
)

// errNoAlert reports a TLS connection that was closed without the alert which ends its data.
var errNoAlert = errors.New("connection closed without a TLS alert")

// answerConn is a connection on which no broken connection is read as the end of a reply.
// net/http hides the result of its write from the reader of the reply, and the system reports a
// reset only once: if the write receives it, Read returns a plain io.EOF.
type answerConn struct {
	net.Conn
	// belowTLS is set if the connection carries TLS records. An orderly end then has an alert,
	// after which Read is not called.
	belowTLS bool

	mu      sync.Mutex
	changed sync.Cond
	// writes counts the calls of Write in progress, and one for a request that is being written.
	writes   int
	writeErr error
	closed   bool
	// endsReply is set if the end of the connection is that of the reply.
	endsReply bool
}

func newAnswerConn(conn net.Conn, belowTLS bool) *answerConn {
	c := &answerConn{Conn: conn, belowTLS: belowTLS}
	c.changed.L = &c.mu
	return c
}

// NetConn returns the connection below.
func (c *answerConn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn. It remembers the first error.
func (c *answerConn) Write(p []byte) (int, error) {
	c.beginWrite()
	n, err := c.Conn.Write(p)
	c.endWrite(err)
	return n, err
}

func (c *answerConn) beginWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes++
}

func (c *answerConn) endWrite(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
	if c.writeErr == nil {
		c.writeErr = err
	}
	c.changed.Broadcast()
}

// Close implements net.Conn.
func (c *answerConn) Close() error {
	c.mu.Lock()
	c.closed = true
	c.changed.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Read implements net.Conn. If the end of the connection is that of a reply, it returns io.EOF
// only after an orderly end.
func (c *answerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		if broken := c.checkEnd(); broken != nil {
			return n, broken
		}
	}
	return n, err
}

// checkEnd returns an error unless the connection has ended in an orderly way. Every error that
// the system reports goes to a Read or a Write, so a reset shows in writeErr once no write is in
// progress. An endpoint that has closed its connection in the middle of the upload may have
// crashed, so the write of the whole request is awaited, and its acknowledgement. The context of
// the request bounds the wait: its end closes the connection.
func (c *answerConn) checkEnd() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.endsReply {
		return nil
	}
	if c.belowTLS {
		return errNoAlert
	}
	for c.writes > 0 && c.writeErr == nil && !c.closed {
		c.changed.Wait()
	}
	switch {
	case c.writeErr != nil:
		return c.writeErr
	case c.closed:
		return net.ErrClosed
	}
	raw, ok := sockstate.TCP(c.Conn)
	if !ok {
		return nil
	}
	c.mu.Unlock()
	defer c.mu.Lock()
	return sockstate.AwaitDelivery(raw, clockwork.NewRealClock())
}

// setEndsReply notes that the end of the connection is that of a reply. The connection carries no
// other request then.
func (c *answerConn) setEndsReply() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endsReply = true
}

// answerConnOf returns the answerConn of a connection of a transport, or nil.
func answerConnOf(conn net.Conn) *answerConn {
	if t, ok := conn.(*tls.Conn); ok {
		conn = t.NetConn()
	}
	c, _ := conn.(*answerConn)
	return c
}

// withAnswerConns makes all connections of a transport of the given scheme answerConns.
func withAnswerConns(transport *http.Transport, scheme string) {
	wrap := func(dial dialFunc, belowTLS bool) dialFunc {
		return func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return newAnswerConn(conn, belowTLS), nil
		}
	}
	transport.DialContext = wrap(transport.DialContext, scheme == "https")
	if transport.DialTLSContext != nil {
		transport.DialTLSContext = wrap(transport.DialTLSContext, false)
	}
}
