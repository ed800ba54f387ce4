package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/internal/sockstate"
)

// TestSilenceNeedsAnUnansweredProbe guards against an answer that is cut although its endpoint
// acknowledges every probe, however far apart the probes are, and against a silent endpoint that
// is not noticed.
func TestSilenceNeedsAnUnansweredProbe(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const timeout = 3 * time.Second
		s := silence{timeout: timeout}
		now := time.Unix(0, 0)
		lastAck, seen := now, time.Time{} // seen is the time of the first look at an unanswered probe
		for range rapid.IntRange(1, 60).Draw(rt, "looks") {
			now = now.Add(time.Duration(rapid.IntRange(100, 2000).Draw(rt, "ms")) * time.Millisecond)
			probed := true
			switch rapid.SampledFrom([]string{"unanswered", "unanswered", "unanswered", "answered", "answered, probed again"}).Draw(rt, "probe") {
			case "answered":
				lastAck, seen, probed = now, time.Time{}, false
			case "answered, probed again":
				lastAck, seen = now.Add(-20*time.Millisecond), time.Time{}
			}
			if probed && seen.IsZero() {
				seen = now
			}
			want := probed && now.Sub(seen) >= timeout
			if got := s.observe(now, probed, now.Sub(lastAck)); got != want {
				rt.Fatalf("silent %t at %v, want %t: unanswered since %v", got, now, want, seen)
			}
		}
	})
}

// unreadExchange starts a request whose endpoint answers before it has read the body, and
// returns the open answer and both ends of the connection.
func unreadExchange(t *testing.T, body int) (*Client, *Response, net.Conn, *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	opts := DefaultOptions()
	dial := TCPDialer(opts.Keepalive, opts.UserTimeout)
	var near net.Conn
	opts.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		var err error
		near, err = dial(ctx, network, address)
		return near, err
	}
	accepted := make(chan *net.TCPConn, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n")
		accepted <- conn.(*net.TCPConn)
	}()
	c := NewClient(opts)
	resp, err := c.Do(t.Context(), ln.Addr().String(), &Request{Method: "POST", Target: "/", Host: "h", Body: make([]byte, body)})
	if err != nil {
		t.Fatal(err)
	}
	far := <-accepted
	t.Cleanup(func() {
		resp.Close()
		c.Close()
		_ = far.Close()
	})
	return c, resp, near, far
}

// TestSilentEndpointWithUnreadRequestIsNoticed guards against an answer that waits until its
// deadline because the timeout of the connection was lifted and the endpoint has fallen silent.
func TestSilentEndpointWithUnreadRequestIsNoticed(t *testing.T) {
	const limit = 12 * time.Second // three times what DefaultOptions states
	_, resp, near, far := unreadExchange(t, 1<<20)
	raw, err := far.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // drops all that arrives
	err = raw.Control(func(fd uintptr) {
		err = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop})
	})
	if err != nil {
		t.Fatal(err)
	}
	stop := time.AfterFunc(limit, func() {
		t.Errorf("a silent endpoint was not noticed within %v", limit)
		_ = near.Close()
	})
	defer stop.Stop()
	if _, err := io.Copy(io.Discard, resp); !errors.Is(err, errSilent) {
		t.Errorf("got error %v from a silent endpoint, want errSilent", err)
	}
}

// TestTimeoutIsRestoredForTheNextRequest guards against a connection whose timeout stays lifted
// when it carries another request.
func TestTimeoutIsRestoredForTheNextRequest(t *testing.T) {
	const body = 256 << 10
	c, resp, near, far := unreadExchange(t, body)
	timeout := func() int {
		raw, _ := sockstate.TCP(near)
		ms, err := getTCPOption(raw, unix.TCP_USER_TIMEOUT)
		if err != nil {
			t.Fatal(err)
		}
		return ms
	}
	if ms := timeout(); ms != 0 {
		t.Errorf("timeout %d ms while the request is unread, want none", ms)
	}
	go func() {
		_, _ = io.CopyN(io.Discard, far, body-16) // at most 16 bytes are in the reader of the head
		_, _ = io.WriteString(far, "x")
	}()
	if _, err := io.ReadAll(resp); err != nil {
		t.Fatal(err)
	}
	resp.Close()
	if ms := timeout(); ms != int(DefaultOptions().UserTimeout.Milliseconds()) || !c.HasIdle(resp.exchange.addr) {
		t.Errorf("timeout %d ms on a connection that is kept %t, want 3000 ms and true", ms, c.HasIdle(resp.exchange.addr))
	}
}
