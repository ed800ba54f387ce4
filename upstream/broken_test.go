package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/earlyanswer"
	"github.com/corianderlever/corianderlever/upstream"
)

// TestBrokenAnswerIsNotComplete guards against a part of an answer that is taken for the whole:
// the system reports a reset once, and the write of the request may receive it, so that the
// reader sees a plain end. It also guards against an orderly answer that is refused.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	earlyanswer.Check(t, "X-Id: 1\r\n", true, func(addr, body string, received chan<- struct{}) error {
		resp, err := c.Do(t.Context(), addr, request("1", body))
		if err != nil {
			return err
		}
		defer resp.Close()
		received <- struct{}{}
		_, err = io.ReadAll(resp)
		return err
	})
}

// lostConn is a connection that was reset after an answer. Its write receives the reset after
// the reader has seen a plain end.
type lostConn struct {
	net.Conn
	answer io.Reader
	ended  chan struct{}
}

func (c *lostConn) Read(p []byte) (int, error) {
	n, err := c.answer.Read(p)
	if err != nil {
		close(c.ended)
	}
	return n, err
}

func (c *lostConn) Write([]byte) (int, error) {
	<-c.ended
	return 0, syscall.ECONNRESET
}

// TestReadAwaitsTheWriteOfTheRequest guards against an answer that is taken as complete before
// the write of its request has reported the reset that only it received.
func TestReadAwaitsTheWriteOfTheRequest(t *testing.T) {
	opts := upstream.DefaultOptions()
	opts.Dial = func(context.Context, string, string) (net.Conn, error) {
		rest, _ := net.Pipe()
		return &lostConn{Conn: rest, answer: strings.NewReader("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"), ended: make(chan struct{})}, nil
	}
	c := upstream.NewClient(opts)
	defer c.Close()
	if got, err := exchange(t, c, "h.example:80", request("1", strings.Repeat("u", 1<<20))); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, error %v; want the error of the write", got, err)
	}
}

// TestStatusOutOfRangeIsNoAnswer guards against a status that is none, which a caller would
// get, and against one below 100 that is taken for an interim response, so that its body is
// taken for the next response.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	const next = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 0\r\n\r\n"
	for status, valid := range map[string]bool{
		"000": false, "099": false, "+50": false, "600": false, "999": false, "100": true, "199": true, "200": true, "599": true,
	} {
		addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if _, _, _, err := read(br); err == nil {
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(next), next)
			}
		})
		c := upstream.NewClient(upstream.DefaultOptions())
		if got, err := exchange(t, c, addr, request("1", "x")); valid != (err == nil) || !valid && !errors.Is(err, upstream.ErrMalformed) {
			t.Errorf("status %s: got %q, error %v; want valid %t", status, got, err, valid)
		}
		c.Close()
	}
}
