package peer

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxSecureFrameBytes bounds the payload of one frame on a SecureConn.
const maxSecureFrameBytes = 32 << 10

// SecureConn is a byte stream between two hosts that know the cluster key. It carries
// other protocols than calls. Its data is authenticated, not encrypted, like that of
// calls without TLS.
type SecureConn struct {
	net.Conn
	handshake func() (from string, f *frames, err error)

	once    sync.Once
	from    string
	frames  *frames
	openErr error

	readMu  sync.Mutex
	unread  []byte // of the last frame
	writeMu sync.Mutex
}

// SecureClient returns the client's end of a connection after the handshake. The
// deadline of ctx bounds the handshake; the connection is closed if it fails.
func SecureClient(ctx context.Context, conn net.Conn, key []byte, self string) (*SecureConn, error) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	send, receive, err := clientHandshake(conn, key, self)
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, errors.Mark(errors.Wrap(err, "peer: handshake"), ErrUnreachable)
	}
	c := &SecureConn{Conn: conn, frames: newFrames(conn, maxSecureFrameBytes, send, receive)}
	c.once.Do(func() {})
	return c, nil
}

// SecureServer returns the server's end of a connection. The handshake takes place at
// the first Read or Write, within their deadlines.
func SecureServer(conn net.Conn, key []byte) *SecureConn {
	c := &SecureConn{Conn: conn}
	c.handshake = func() (string, *frames, error) {
		from, send, receive, err := serverHandshake(conn, key)
		if err != nil {
			return "", nil, errors.Wrap(err, "peer: handshake")
		}
		return from, newFrames(conn, maxSecureFrameBytes, send, receive), nil
	}
	return c
}

func (c *SecureConn) open() error {
	c.once.Do(func() { c.from, c.frames, c.openErr = c.handshake() })
	return c.openErr
}

// From returns the name that the client gave in the handshake. It is set once the
// server has read from the connection.
func (c *SecureConn) From() string { return c.from }

// Read implements net.Conn.
func (c *SecureConn) Read(p []byte) (int, error) {
	if err := c.open(); err != nil {
		return 0, err
	}
	c.readMu.Lock()
	defer c.readMu.Unlock()
	for len(c.unread) == 0 {
		payload, err := c.frames.read()
		if err != nil {
			return 0, err
		}
		c.unread = payload
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *SecureConn) Write(p []byte) (int, error) {
	if err := c.open(); err != nil {
		return 0, err
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	written := 0
	for len(p) > 0 {
		part := p[:min(len(p), maxSecureFrameBytes)]
		if _, err := c.Conn.Write(c.frames.encode(part)); err != nil {
			// A partial frame leaves the stream unusable.
			_ = c.Conn.Close()
			return written, err
		}
		written += len(part)
		p = p[len(part):]
	}
	return written, nil
}

// errUnread reports that data has been received and not been read.
var errUnread = errors.New("peer: unread data")

// NetConn returns the connection below.
func (c *SecureConn) NetConn() net.Conn { return c.Conn }

// SyscallConn implements syscall.Conn for owners that look for unread data.
func (c *SecureConn) SyscallConn() (syscall.RawConn, error) {
	c.readMu.Lock()
	defer c.readMu.Unlock()
	if len(c.unread) > 0 || c.frames.r.Buffered() > 0 {
		return nil, errUnread
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("peer: no system connection")
	}
	return sc.SyscallConn()
}

// SecureListener accepts connections of hosts that know the cluster key.
type SecureListener struct {
	net.Listener
	// Key is the shared cluster key.
	Key []byte
}

// secureKeepAlive detects hosts that have vanished.
var secureKeepAlive = net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}

// Accept implements net.Listener.
func (l *SecureListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(interface {
		SetKeepAliveConfig(net.KeepAliveConfig) error
	}); ok {
		// Without probes, connections of a vanished host stay open until they are idle.
		_ = tcp.SetKeepAliveConfig(secureKeepAlive)
	}
	return SecureServer(conn, l.Key), nil
}
