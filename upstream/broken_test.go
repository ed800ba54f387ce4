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

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/earlyanswer"
	"github.com/corianderlever/corianderlever/upstream"
)

var upload = strings.Repeat("u", earlyanswer.UploadBytes)

// TestResetAnswerIsNotComplete guards against a part of an answer that is taken for the whole:
// the system reports a reset once, and the write of the request may receive it, so that the
// reader sees a plain end.
func TestResetAnswerIsNotComplete(t *testing.T) {
	const tries = 10
	for name, body := range earlyanswer.Bodies {
		for _, when := range earlyanswer.Moments {
			received := make(chan struct{}, tries)
			addr := earlyanswer.Endpoint{When: when, Received: received, Answer: func(http.Header) string { return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + body }}.Serve(t)
			c := upstream.NewClient(upstream.DefaultOptions())
			whole := 0
			for range tries {
				resp, err := c.Do(t.Context(), addr, request("1", upload))
				if err != nil {
					t.Fatal(err)
				}
				received <- struct{}{}
				if _, err := io.ReadAll(resp); err == nil {
					whole++
				}
				resp.Close()
			}
			if whole > 0 {
				t.Errorf("%s, %s: %d of %d reset answers were complete", name, when.Name, whole, tries)
			}
			c.Close()
		}
	}
}

// TestAnswerEndsWithItsConnection guards against an answer without a length that is refused
// although its endpoint has read on to the end of the upload, and against one that is taken
// although its endpoint has closed the connection in the middle of the upload, as a crash does.
func TestAnswerEndsWithItsConnection(t *testing.T) {
	for _, when := range earlyanswer.Moments {
		for end, complete := range map[earlyanswer.End]bool{
			earlyanswer.ReadOn: true, earlyanswer.FinishThenReset: when == earlyanswer.Moments[2],
		} {
			for _, size := range []int{earlyanswer.UploadBytes, 3 << 20} { // the second fits into the buffers
				received := make(chan struct{}, 1)
				addr := earlyanswer.Endpoint{When: when, End: end, Received: received, Answer: func(http.Header) string { return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nwhole" }}.Serve(t)
				c := upstream.NewClient(upstream.DefaultOptions())
				resp, err := c.Do(t.Context(), addr, request("1", upload[:size]))
				if err != nil {
					t.Fatal(err)
				}
				received <- struct{}{}
				if got, err := io.ReadAll(resp); (err == nil) != complete || complete && string(got) != "whole" {
					t.Errorf("%s, end %d, %d bytes: got %q, error %v; want complete %t", when.Name, end, size, got, err, complete)
				}
				resp.Close()
				c.Close()
			}
		}
	}
}

// TestStatusOutOfRangeIsNoAnswer guards against a status that is none, which a caller would
// get, and against one below 100 that is taken for an interim response, so that its body is
// taken for the next response.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "099": false, "+50": false, "600": false, "999": false, "100": true, "199": true, "200": true, "599": true,
	} {
		addr, _ := serve(t, func(_ int, conn net.Conn, br *bufio.Reader) {
			if _, _, _, err := read(br); err != nil {
				return
			}
			if strings.HasPrefix(status, "1") {
				fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n\r\n", status)
				respond(conn, "1", "own")
				return
			}
			const inner = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nown"
			fmt.Fprintf(conn, "HTTP/1.1 %s X\r\nX-Id: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(inner), inner)
		})
		c := upstream.NewClient(upstream.DefaultOptions())
		resp, err := c.Do(t.Context(), addr, request("1", "x"))
		if valid != (err == nil) || !valid && !errors.Is(err, upstream.ErrMalformed) {
			t.Errorf("status %s: response %+v, error %v; want valid %t", status, resp, err, valid)
		}
		if resp != nil {
			_, _ = io.Copy(io.Discard, resp)
			resp.Close()
		}
		c.Close()
	}
}

// TestReadAwaitsTheWriteOfTheRequest guards against an answer that is taken as complete before
// the write of its request has reported the reset that only it received.
func TestReadAwaitsTheWriteOfTheRequest(t *testing.T) {
	opts := upstream.DefaultOptions()
	opts.Dial = func(context.Context, string, string) (net.Conn, error) {
		return earlyanswer.NewLostConn("HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart"), nil
	}
	c := upstream.NewClient(opts)
	defer c.Close()
	if got, err := exchange(t, c, "h.example:80", request("1", upload)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("got %q, error %v; want the error of the write", got, err)
	}
}
