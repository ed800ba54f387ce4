package forward_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/upstream"
)

// brokenConn is a connection that breaks after a number of bytes, in the middle of a write.
type brokenConn struct {
	*net.TCPConn
	left int
}

func (c *brokenConn) Write(p []byte) (int, error) {
	n, err := c.TCPConn.Write(p[:min(len(p), c.left)])
	c.left -= n
	if n < len(p) && err == nil {
		_ = c.Close()
		err = syscall.EPIPE
	}
	return n, err
}

// TestForwardedRequestThatWasNotSentDoesNotRun guards against a request that a host runs although
// it counts as not sent at the host that forwards it: the connection breaks at any byte of the
// handshake or of the frames, also in the middle of the first one.
func TestForwardedRequestThatWasNotSentDoesNotRun(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		body := strings.Repeat("b", rapid.SampledFrom([]int{0, 8 << 10, 100 << 10}).Draw(rt, "body"))
		left := rapid.OneOf(rapid.IntRange(0, 600), rapid.IntRange(0, 110<<10)).Draw(rt, "bytes before the failure")

		var read atomic.Bool
		closed := make(chan struct{})
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			rt.Fatal(err)
		}
		server := &http.Server{
			ConnContext: forward.ConnContext, ReadHeaderTimeout: time.Minute,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				req, err := forward.Read(w, r, limiter.NewByteBudget(1<<20), 1<<20)
				defer req.Release()
				read.Store(err == nil)
				panic(http.ErrAbortHandler)
			}),
			ConnState: func(_ net.Conn, state http.ConnState) {
				if state == http.StateClosed {
					close(closed)
				}
			},
		}
		go func() { _ = server.Serve(forward.Listener(ln, key)) }() // ends with Close
		defer server.Close()
		c := upstream.NewClient(upstream.Options{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return peer.SecureClient(ctx, &brokenConn{raw.(*net.TCPConn), left}, key, "sender")
		}})
		defer c.Close()
		_, err = c.Do(t.Context(), ln.Addr().String(), &upstream.Request{
			Method: http.MethodPost, Target: "/forward", Host: "h", Header: http.Header{"Message-Bytes": {"0"}}, Body: []byte(body),
		})
		var failed *upstream.Error
		if !errors.As(err, &failed) {
			rt.Fatalf("error %v, want one that tells whether the request was sent", err)
		}
		if <-closed; read.Load() && !failed.MaybeSent {
			rt.Fatalf("the request was read, error %v", err)
		}
	})
}
