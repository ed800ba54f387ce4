package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

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
		Header: http.Header{idHeader: {id}},
		Match: func(h http.Header) upstream.Match {
			switch h.Get(idHeader) {
			case id:
				return upstream.MatchOwn
			case "":
				return upstream.MatchUnknown
			}
			return upstream.MatchOther
		},
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
	const length = 64 << 20 // more than the socket buffers hold
	answered := make(chan struct{})
	addr, dials := serve(t, func(n int, conn net.Conn, br *bufio.Reader) {
		if n == 1 {
			_, _ = http.ReadRequest(br)
			respond(conn, "1", "early")
			<-answered
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
	close(answered)
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

// TestBoundsBytesThatAreNoAnswer guards against a host that runs out of memory, or waits
// until the deadline, because an endpoint sends without end what is not a response to
// the request.
func TestBoundsBytesThatAreNoAnswer(t *testing.T) {
	const maxAllocated = 2 << 20 // bytes, for all that one request allocates
	long := strings.Repeat("x", 32<<10)
	foreign := "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 32768\r\n\r\n" + long
	for name, script := range map[string]struct{ first, then string }{
		"no status line":                  {"", long},
		"status line":                     {"HTTP/1.1 200 ", long},
		"header line":                     {"HTTP/1.1 200 OK\r\nA: ", long},
		"header lines":                    {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: b\r\n", 4<<10)},
		"interim responses":               {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<10)},
		"responses to others":             {"", foreign},
		"body of a response to another":   {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "8000\r\n" + long + "\r\n"},
		"chunk size of another":           {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", long},
		"response of a length of another": {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 1000000000000\r\n\r\n", long},
	} {
		addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if _, _, _, err := read(br); err != nil {
				return
			}
			_, err := io.WriteString(conn, script.first)
			then := []byte(script.then)
			for err == nil {
				_, err = conn.Write(then)
			}
		})
		c := upstream.NewClient(upstream.DefaultOptions())
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, err := exchange(t, c, addr, request("1", ""))
		runtime.ReadMemStats(&after)
		c.Close()
		var failed *upstream.Error
		if !errors.As(err, &failed) || !failed.MaybeSent || !errors.Is(err, upstream.ErrMalformed) {
			t.Errorf("%s: error %v, want one that says that the request may have been sent", name, err)
		}
		if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
			t.Errorf("%s: %d bytes allocated, want at most %d", name, n, maxAllocated)
		}
	}
}

// TestDropsUnnamedAnswerOnReusedConnection guards against a late duplicate response
// without an id that is taken for the response to the next request.
func TestDropsUnnamedAnswerOnReusedConnection(t *testing.T) {
	addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		for {
			id, body, _, err := read(br)
			if err != nil {
				return
			}
			if body == "unnamed" {
				id = ""
			}
			respond(conn, id, "answer")
		}
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	if got, err := exchange(t, c, addr, request("1", "unnamed")); err != nil || got != "answer" {
		t.Errorf("on a new connection: got %q, error %v; want the answer", got, err)
	}
	if got, err := exchange(t, c, addr, request("2", "unnamed")); !errors.Is(err, upstream.ErrMalformed) {
		t.Errorf("on a reused connection: got %q, error %v; want ErrMalformed", got, err)
	}
}

// TestSendsRequestWithoutHeader guards against a panic on a request without a header.
func TestSendsRequestWithoutHeader(t *testing.T) {
	addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
		if _, _, _, err := read(br); err == nil {
			respond(conn, "", "answer")
		}
	})
	c := upstream.NewClient(upstream.DefaultOptions())
	defer c.Close()
	if got, err := exchange(t, c, addr, &upstream.Request{Method: "GET", Target: "/", Host: "h.example"}); err != nil || got != "answer" {
		t.Errorf("got %q, error %v; want the answer", got, err)
	}
}

// FuzzResponses sends arbitrary bytes as the response to a request. It guards against a
// panic, a hang and memory without bound in the reader of responses.
func FuzzResponses(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nab"))
	f.Add([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	responses := make(chan []byte, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _, _, err = read(bufio.NewReader(conn))
			if err == nil {
				_, _ = conn.Write(<-responses)
			}
			_ = conn.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, response []byte) {
		c := upstream.NewClient(upstream.DefaultOptions())
		defer c.Close()
		responses <- response
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		a, err := c.Do(ctx, ln.Addr().String(), request("1", ""))
		if err != nil {
			return
		}
		defer a.Close()
		if id := a.Header.Get(idHeader); id != "1" && id != "" {
			t.Errorf("took the response to request %q", id)
		}
		if n, err := io.Copy(io.Discard, a); err == nil && n > int64(len(response)) {
			t.Errorf("read %d bytes of a response of %d", n, len(response))
		}
	})
}

// TestBoundsTheFramingOfABody guards against a host whose time goes into bytes that are no
// content: chunks of one byte count little as content and much on the connection. A body of
// small chunks that ends is read whole.
func TestBoundsTheFramingOfABody(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	const chunk, chunks = "1\r\nx\r\n", 8 << 10
	for name, endless := range map[string]bool{"ends": false, "does not end": true} {
		addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			_, _, _, _ = read(br)
			_, err := io.WriteString(conn, head+strings.Repeat(chunk, chunks))
			for endless && err == nil {
				_, err = io.WriteString(conn, strings.Repeat(chunk, chunks))
			}
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		})
		c := upstream.NewClient(upstream.DefaultOptions())
		got, err := exchange(t, c, addr, request("1", ""))
		if errors.Is(err, upstream.ErrEndless) != endless || !endless && (err != nil || len(got) != chunks) {
			t.Errorf("body that %s: got %d bytes, error %v", name, len(got), err)
		}
		c.Close()
	}
}

// TestAnswerGoesOnWhileTheRequestIsUnread guards against an answer that is cut because its
// endpoint has not read the whole request yet, so that sent data stays unacknowledged.
func TestAnswerGoesOnWhileTheRequestIsUnread(t *testing.T) {
	const parts, pause, bodyBytes = 12, 500 * time.Millisecond, 256 << 10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		br := bufio.NewReaderSize(c, 4<<10)
		for line := ""; line != "\r\n"; {
			if line, err = br.ReadString('\n'); err != nil {
				return
			}
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", parts)
		for range parts {
			if _, err := io.WriteString(c, "x"); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
	client := upstream.NewClient(upstream.DefaultOptions())
	defer client.Close()
	resp, err := client.Do(t.Context(), ln.Addr().String(), &upstream.Request{Method: "POST", Target: "/x", Host: "h", Body: make([]byte, bodyBytes)})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Close()
	if body, err := io.ReadAll(resp); err != nil || string(body) != strings.Repeat("x", parts) {
		t.Errorf("got %q, %v; want the whole answer", body, err)
	}
}
