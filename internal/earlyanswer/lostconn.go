package earlyanswer

import (
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
)

// lostConn is a connection that was reset after an answer. Its write receives the reset, after
// the reader has seen a plain end.
type lostConn struct {
	net.Conn
	answer io.Reader
	once   sync.Once
	ended  chan struct{}
}

// NewLostConn returns a connection that delivers the bytes of an answer, then io.EOF, and whose
// writes fail with ECONNRESET after that.
func NewLostConn(answer string) net.Conn {
	rest, _ := net.Pipe()
	return &lostConn{Conn: rest, answer: strings.NewReader(answer), ended: make(chan struct{})}
}

// Read implements net.Conn.
func (c *lostConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err != nil {
		c.once.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write implements net.Conn.
func (c *lostConn) Write([]byte) (int, error) {
	<-c.ended
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

// Close implements net.Conn.
func (c *lostConn) Close() error {
	c.once.Do(func() { close(c.ended) })
	return c.Conn.Close()
}
