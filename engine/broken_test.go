package engine_test

import (
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

// uploads are the calls that send a body. Each returns an error unless the answer is complete.
var uploads = map[string]func(ctx context.Context, c *engine.Client, addr, body string) error{
	"call": func(ctx context.Context, c *engine.Client, addr, body string) error {
		_, err := c.Call(ctx, addr, "s", "o", "a1", "", []byte(body))
		return err
	},
	"generate": func(ctx context.Context, c *engine.Client, addr, body string) error {
		req := engine.GenerateRequest{Attempt: "a1", Version: "v", Messages: []api.Message{{Role: "user", Content: body}}}
		_, err := c.Generate(ctx, addr, req, func(engine.Event) error { return nil })
		return err
	},
	"order": func(ctx context.Context, c *engine.Client, addr, body string) error {
		return c.SendOrder(ctx, addr, engine.Order{ID: body, Kind: engine.OrderLoad})
	},
}

// TestBrokenAnswerIsNotComplete guards against a part of a reply that is taken for the whole: the
// system reports a reset once, and the write of the request may receive it, so that the reader
// sees a plain end. It also guards against an orderly reply that is refused.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	c := engine.NewClient(nil)
	for name, do := range uploads {
		t.Run(name, func(t *testing.T) {
			// An answer of Generate needs its final event.
			earlyanswer.Check(t, "", name != "generate", func(addr, body string, received chan<- struct{}) error {
				trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { received <- struct{}{} }}
				err := do(httptrace.WithClientTrace(t.Context(), trace), c, addr, body)
				if err != nil && outcome(t, err) != api.OutcomeUnknown {
					t.Errorf("got %v, want outcome unknown", err)
				}
				return err
			})
		})
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
		if err := uploads["call"](t.Context(), c, strings.TrimPrefix(server.URL, "https://"), ""); (err != nil) != cut {
			t.Errorf("%s: error %v, want one %t", name, err, cut)
		}
		server.Close()
	}
}

// TestStatusOutOfRangeIsNoReply guards against a status that is none and reaches a caller, or
// that is believed to say that the request has not run.
func TestStatusOutOfRangeIsNoReply(t *testing.T) {
	get := func(ctx context.Context, c *engine.Client, addr, _ string) error {
		_, err := c.Load(ctx, addr)
		return err
	}
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			fmt.Fprintf(conn, "HTTP/1.1 %s X\r\n%s: not_run\r\nContent-Length: 2\r\n\r\n{}", status, api.HeaderOutcome)
		}))
		for _, do := range []func(context.Context, *engine.Client, string, string) error{uploads["call"], uploads["generate"], uploads["order"], get} {
			var failed *engine.Error
			err := do(t.Context(), engine.NewClient(nil), strings.TrimPrefix(server.URL, "http://"), "")
			if !errors.As(err, &failed) || failed.Outcome != api.OutcomeUnknown || !failed.Lost || failed.Status != 0 {
				t.Errorf("status %s: got %v, want a lost answer", status, err)
			}
		}
		server.Close()
	}
}
