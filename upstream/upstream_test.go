package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/upstream"
)

const idHeader = "X-Id"

// serve runs script on each accepted connection. n numbers the connections from
// 1, and the script reads requests from br.
func serve(t *testing.T, script func(n int, conn net.Conn, br *bufio.Reader)) (addr string, dials *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	dials = new(atomic.Int64)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			n := int(dials.Add(1))
			go func() {
				defer conn.Close()
				script(n, conn, bufio.NewReader(conn))
			}()
		}
	}()
	return ln.Addr().String(), dials
}

// read returns the id, body and target of the next request.
func read(br *bufio.Reader) (id, body, target string, err error) {
	req, err := http.ReadRequest(br)
	if err != nil {
		return "", "", "", err
	}
	data, err := io.ReadAll(req.Body)
	return req.Header.Get(idHeader), string(data), req.RequestURI, err
}

func respond(conn io.Writer, id, body string) {
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", idHeader, id, len(body), body)
}

func request(id, body string) *upstream.Request {
	return &upstream.Request{
		Method: "POST", Target: "/a%2Fb/./c?x=%20", Host: "h.example", Body: []byte(body),
		Header:  http.Header{idHeader: {id}},
		Matches: func(h http.Header) bool { return h.Get(idHeader) == id },
	}
}

func exchange(t *testing.T, c *upstream.Client, addr string, req *upstream.Request) (string, error) {
	t.Helper()
	a, err := c.Do(context.Background(), addr, req)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

// TestPassesTargetAndBodyUnchanged guards against a path, query or body that
// reaches the endpoint altered, and against a connection that is not reused.
func TestPassesTargetAndBodyUnchanged(t *testing.T) {
	addr, dials := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		for {
			id, body, target, err := read(br)
			if err != nil {
				return
			}
			respond(conn, id, target+" "+body)
		}
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	for i := range 3 {
		body := strings.Repeat("b", i*100_000)
		got, err := exchange(t, c, addr, request(fmt.Sprint(i), body))
		if err != nil || got != "/a%2Fb/./c?x=%20 "+body {
			t.Fatalf("request %d: got %.60q, error %v", i, got, err)
		}
	}
	if dials.Load() != 1 {
		t.Errorf("got %d connections, want 1", dials.Load())
	}
}

// TestDropsAnswersOfOtherRequests guards against a late duplicate response that
// is taken for the response to the next request on the connection.
func TestDropsAnswersOfOtherRequests(t *testing.T) {
	addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		last := ""
		for {
			id, _, _, err := read(br)
			if err != nil {
				return
			}
			if last != "" {
				respond(conn, last, "late")
			}
			respond(conn, id, "own "+id)
			last = id
		}
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	for _, id := range []string{"1", "2", "3"} {
		if got, err := exchange(t, c, addr, request(id, "")); err != nil || got != "own "+id {
			t.Errorf("request %s: got %q, error %v", id, got, err)
		}
	}
}

// TestDoesNotReuseAConnectionWithUnaskedBytes guards against data after a
// complete response that is taken for the start of the next response.
func TestDoesNotReuseAConnectionWithUnaskedBytes(t *testing.T) {
	more := make(chan struct{})
	addr, dials := serve(t, func(n int, conn net.Conn, br *bufio.Reader) {
		id, _, _, err := read(br)
		if err != nil {
			return
		}
		respond(conn, id, "own "+id)
		if n == 1 {
			respond(conn, id, "unasked")
			close(more)
		}
		_, _ = br.ReadByte()
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	if _, err := exchange(t, c, addr, request("1", "")); err != nil {
		t.Fatal(err)
	}
	<-more
	got, err := exchange(t, c, addr, request("2", ""))
	if err != nil || got != "own 2" || dials.Load() != 2 {
		t.Errorf("got %q, error %v, %d connections; want 2 connections", got, err, dials.Load())
	}
}

// TestTellsWhetherARequestWasSent guards against reporting a request as not sent
// although the endpoint received it.
func TestTellsWhetherARequestWasSent(t *testing.T) {
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	lost, _ := serve(t, func(_ int, _ net.Conn, br *bufio.Reader) { _, _, _, _ = read(br) })
	garbled, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		_, _, _, _ = read(br)
		fmt.Fprint(conn, "no answer\r\n\r\n")
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refused := ln.Addr().String()
	ln.Close()
	for _, tc := range []struct {
		addr string
		want error
		sent bool
	}{
		{lost, upstream.ErrConnectionLost, true},
		{garbled, upstream.ErrMalformed, true},
		{refused, upstream.ErrDial, false},
	} {
		_, err := exchange(t, c, tc.addr, request("1", "x"))
		var failed *upstream.Error
		if !errors.Is(err, tc.want) || !errors.As(err, &failed) || failed.MaybeSent != tc.sent {
			t.Errorf("got %v, want %v with MaybeSent %v", err, tc.want, tc.sent)
		}
	}
}

// TestReportsATruncatedBody guards against a truncated body that is read as a
// complete one.
func TestReportsATruncatedBody(t *testing.T) {
	for name, head := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\nabc",
		"chunked": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
	} {
		addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			_, _, _, _ = read(br)
			fmt.Fprint(conn, head)
		})
		c := upstream.NewClient(upstream.DefaultOptions())
		if _, err := exchange(t, c, addr, request("1", "")); err == nil {
			t.Errorf("%s: got no error for a truncated body", name)
		}
		c.Close()
	}
}

// TestReadsAnAnswerThatComesBeforeTheBody guards against a write that blocks on
// an endpoint which has already rejected the request without reading the body,
// and against the reuse of a connection on which part of the body is unsent.
func TestReadsAnAnswerThatComesBeforeTheBody(t *testing.T) {
	const length = 32 << 20 // more than the socket buffers hold
	addr, dials := serve(t, func(n int, conn net.Conn, br *bufio.Reader) {
		if n == 1 {
			_, _ = http.ReadRequest(br)
			respond(conn, "1", "early")
			_, _ = io.Copy(io.Discard, br)
			return
		}
		id, _, _, _ := read(br)
		respond(conn, id, "own")
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	if got, err := exchange(t, c, addr, request("1", strings.Repeat("b", length))); err != nil || got != "early" {
		t.Fatalf("got %q, error %v", got, err)
	}
	if got, err := exchange(t, c, addr, request("2", "")); err != nil || got != "own" || dials.Load() != 2 {
		t.Errorf("got %q, error %v, %d connections; want 2 connections", got, err, dials.Load())
	}
}

// TestCancelClosesTheConnection guards against an endpoint that keeps working
// after the caller has disconnected.
func TestCancelClosesTheConnection(t *testing.T) {
	got := make(chan struct{})
	gone := make(chan struct{})
	addr, _ := serve(t, func(_ int, _ net.Conn, br *bufio.Reader) {
		_, _, _, _ = read(br)
		close(got)
		_, _ = br.ReadByte()
		close(gone)
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-got
		cancel()
	}()
	if _, err := c.Do(ctx, addr, request("1", "")); err == nil {
		t.Error("got no error after the cancellation")
	}
	<-gone
}
