package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

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

// answerEarly reads the head of a request and nothing of its body, and begins an answer of one byte.
func answerEarly(conn net.Conn) {
	_, _ = http.ReadRequest(bufio.NewReaderSize(conn, 16))
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 1\r\n\r\n")
}

// TestSilentEndpointWithUnreadRequestIsNoticed guards against an answer that waits until its
// deadline because the timeout of the connection was lifted and the endpoint has fallen silent.
func TestSilentEndpointWithUnreadRequestIsNoticed(t *testing.T) {
	const limit = 12 * time.Second // three times what DefaultOptions states
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	addr, _ := serve(t, func(_ int, conn net.Conn, _ *bufio.Reader) {
		answerEarly(conn)
		raw, _ := conn.(*net.TCPConn).SyscallConn()
		drop := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K} // drops all that arrives
		err := raw.Control(func(fd uintptr) {
			if err := unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &drop}); err != nil {
				t.Error(err)
			}
		})
		if err != nil {
			t.Error(err)
		}
		<-ctx.Done()
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	resp, err := c.Do(ctx, addr, request("1", strings.Repeat("u", 1<<20)))
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if _, err := io.ReadAll(resp); err == nil || ctx.Err() != nil {
		t.Errorf("error %v, want one within %v", err, limit)
	}
}

// TestTimeoutIsRestoredForTheNextRequest guards against a connection whose timeout stays lifted
// when it carries another request.
func TestTimeoutIsRestoredForTheNextRequest(t *testing.T) {
	const bodyBytes = 256 << 10
	looked := make(chan struct{})
	addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		answerEarly(conn)
		<-looked
		_, _ = io.CopyN(io.Discard, conn, bodyBytes-16) // at most 16 bytes were read with the head
		_, _ = io.WriteString(conn, "x")
		_, _ = br.ReadByte()
	})
	opts := upstream.DefaultOptions()
	dial := upstream.TCPDialer(opts.Keepalive, opts.UserTimeout)
	var near net.Conn
	opts.Dial = func(ctx context.Context, network, address string) (_ net.Conn, err error) {
		near, err = dial(ctx, network, address)
		return near, err
	}
	c := upstream.NewClient(opts)
	defer c.Close()
	expect := func(want time.Duration) {
		raw, _ := near.(*net.TCPConn).SyscallConn()
		err := raw.Control(func(fd uintptr) {
			if ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT); err != nil || ms != int(want.Milliseconds()) {
				t.Errorf("timeout %d ms, error %v; want %v", ms, err, want)
			}
		})
		if err != nil {
			t.Error("the connection was not kept:", err)
		}
	}
	resp, err := c.Do(t.Context(), addr, request("1", strings.Repeat("u", bodyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	expect(0)
	close(looked)
	if _, err := io.ReadAll(resp); err != nil {
		t.Fatal(err)
	}
	resp.Close()
	expect(opts.UserTimeout)
}
