package engine_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/internal/earlyanswer"
)

// uploads are the calls that send an upload of their own, each with an error for an answer that
// is not complete.
var uploads = map[string]func(ctx context.Context, c *engine.Client, addr string) error{
	"call": func(ctx context.Context, c *engine.Client, addr string) error {
		_, err := c.Call(ctx, addr, "s", "o", "a1", "", bytes.Repeat([]byte("u"), earlyanswer.UploadBytes))
		return err
	},
	"generate": func(ctx context.Context, c *engine.Client, addr string) error {
		text := strings.Repeat("u", earlyanswer.UploadBytes)
		req := engine.GenerateRequest{Attempt: "a1", Version: "v", Messages: []api.Message{{Role: "user", Content: text}}}
		_, err := c.Generate(ctx, addr, req, func(engine.Event) error { return nil })
		return err
	},
	"order": func(ctx context.Context, c *engine.Client, addr string) error {
		return c.SendOrder(ctx, addr, engine.Order{ID: strings.Repeat("u", earlyanswer.UploadBytes), Kind: engine.OrderLoad})
	},
}

// TestResetAnswerIsNotComplete guards against a part of a reply that is taken for the whole: the
// system reports a reset once, and the write of the request may receive it, so that the reader
// sees a plain end.
func TestResetAnswerIsNotComplete(t *testing.T) {
	const tries = 10
	for call, do := range uploads {
		for name, body := range earlyanswer.Bodies {
			for _, when := range earlyanswer.Moments {
				received := make(chan struct{}, tries)
				ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotFirstResponseByte: func() { received <- struct{}{} }})
				addr := earlyanswer.Endpoint{When: when, Received: received, Answer: func(http.Header) string { return "HTTP/1.1 200 OK\r\n" + body }}.Serve(t)
				c := engine.NewClient(nil)
				whole := 0
				for range tries {
					if err := do(ctx, c, addr); err == nil {
						whole++
					} else if got := outcome(t, err); got != api.OutcomeUnknown {
						t.Errorf("%s, %s, %s: outcome %s, want unknown", call, name, when.Name, got)
					}
				}
				if whole > 0 {
					t.Errorf("%s, %s, %s: %d of %d reset answers were complete", call, name, when.Name, whole, tries)
				}
				c.CloseIdle()
			}
		}
	}
}

// TestReplyEndsWithItsConnection guards against a reply without a length that is refused
// although its endpoint has read on to the end of the upload, and against one that is taken
// although its endpoint has closed the connection in the middle of the upload, as a crash does.
func TestReplyEndsWithItsConnection(t *testing.T) {
	for _, when := range earlyanswer.Moments {
		for end, complete := range map[earlyanswer.End]bool{
			earlyanswer.ReadOn: true, earlyanswer.FinishThenReset: when == earlyanswer.Moments[2],
		} {
			received := make(chan struct{}, 1)
			ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{GotFirstResponseByte: func() { received <- struct{}{} }})
			addr := earlyanswer.Endpoint{When: when, End: end, Received: received, Answer: func(http.Header) string { return "HTTP/1.1 200 OK\r\n\r\nwhole" }}.Serve(t)
			if err := uploads["call"](ctx, engine.NewClient(nil), addr); (err == nil) != complete {
				t.Errorf("%s, end %d: error %v, want complete %t", when.Name, end, err, complete)
			}
		}
	}
}

// TestReplyCutBelowTLSIsNotComplete guards against a reply without a length that is taken as
// complete because its TCP connection was closed between two TLS records, without an alert.
func TestReplyCutBelowTLSIsNotComplete(t *testing.T) {
	for name, cut := range map[string]bool{"alert": false, "no alert": true} {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			if cut {
				_ = conn.(*tls.Conn).NetConn().Close()
			}
		}))
		c := engine.NewTLSClient(server.Client().Transport.(*http.Transport))
		reply, err := c.Call(t.Context(), strings.TrimPrefix(server.URL, "https://"), "s", "o", "a1", "", nil)
		if (err != nil) != cut {
			t.Errorf("%s: reply %+v, error %v; want an error %t", name, reply, err, cut)
		}
		c.CloseIdle()
		server.Close()
	}
}

// TestStatusOutOfRangeIsNoReply guards against a status that is none and reaches a caller, or
// that is believed to say that the request has not run.
func TestStatusOutOfRangeIsNoReply(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		addr := earlyanswer.Endpoint{When: earlyanswer.Moments[0], End: earlyanswer.ReadOn, Answer: func(http.Header) string {
			return "HTTP/1.1 " + status + " X\r\n" + api.HeaderOutcome + ": not_run\r\nContent-Length: 2\r\n\r\n{}"
		}}.Serve(t)
		c := engine.NewClient(nil)
		for name, do := range uploads {
			err := do(t.Context(), c, addr)
			var failed *engine.Error
			if !errors.As(err, &failed) || failed.Outcome != api.OutcomeUnknown || !failed.Lost || failed.Status != 0 {
				t.Errorf("status %s, %s: got %+v, want a lost answer", status, name, err)
			}
		}
		_, loadErr := c.Load(t.Context(), addr)
		_, probeErr := c.Probe(t.Context(), addr, "a1")
		_, eventsErr := c.CacheEvents(t.Context(), addr, 0)
		for _, err := range []error{loadErr, probeErr, eventsErr} {
			var failed *engine.Error
			if err == nil || errors.As(err, &failed) && failed.Status != 0 {
				t.Errorf("status %s: got %v, want an error that is no answer", status, err)
			}
		}
		c.CloseIdle()
	}
}
