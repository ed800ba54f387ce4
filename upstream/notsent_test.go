package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/upstream"
)

// failingConn lets a write through up to a number of bytes, calls fail and reports an error, also
// if the system has taken the whole of it. It does nothing while fail is nil.
type failingConn struct {
	*net.TCPConn
	left int
	fail func()
}

func (c *failingConn) Write(p []byte) (int, error) {
	if c.fail == nil {
		return c.TCPConn.Write(p)
	}
	n, err := c.TCPConn.Write(p[:min(len(p), c.left)])
	c.fail()
	if err == nil {
		err = syscall.ECONNRESET
	}
	return n, err
}

// TestRequestThatWasNotSentDidNotArrive guards against a request that runs at two endpoints
// because the first one has received bytes of it and it is reported as not sent: the write fails
// at any byte, the context ends before it or meanwhile, the connection is new or reused.
func TestRequestThatWasNotSentDidNotArrive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		body := strings.Repeat("b", rapid.SampledFrom([]int{0, 1 << 10, 64 << 10}).Draw(rt, "body"))
		left := rapid.OneOf(rapid.IntRange(0, 3), rapid.IntRange(0, 80<<10)).Draw(rt, "bytes before the failure")
		reused := rapid.Bool().Draw(rt, "reused")
		end := rapid.SampledFrom([]string{"close", "cancel", "cancel before", "half-close"}).Draw(rt, "end")

		arrived := make(chan int64, 1)
		addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if reused {
				id, _, _, _ := read(br)
				respond(conn, id, "")
			}
			n, _ := io.Copy(io.Discard, br)
			arrived <- n
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		opts := upstream.DefaultOptions()
		var failing failingConn
		opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			failing.TCPConn = conn.(*net.TCPConn)
			return &failing, nil
		}
		c := upstream.NewClient(opts)
		defer c.Close()
		if reused {
			if _, err := exchange(t, c, addr, request("first", "")); err != nil {
				rt.Fatal(err)
			}
		}
		failing.left = left
		failing.fail = func() { _ = failing.CloseWrite() }
		switch end {
		case "close":
			failing.fail = func() { _ = failing.Close() }
		case "cancel":
			failing.fail = cancel
		case "cancel before":
			cancel()
		}
		_, err := c.Do(ctx, addr, request("second", body))
		var failed *upstream.Error
		if !errors.As(err, &failed) {
			rt.Fatalf("error %v, want one of the package", err)
		}
		if errors.Is(err, upstream.ErrDial) {
			return // the endpoint may not have accepted a connection
		}
		if n := <-arrived; failed.MaybeSent != (n > 0) || failed.Reused != reused {
			rt.Fatalf("%d bytes arrived, error %v", n, err)
		}
	})
}
