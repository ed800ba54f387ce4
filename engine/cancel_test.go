package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
)

// TestCancelReturnsOnceTheRunHasEnded guards against an attempt that goes on, or begins because
// its request arrives late, after its end has been confirmed.
func TestCancelReturnsOnceTheRunHasEnded(t *testing.T) {
	e := fakeengine.New(fakeengine.Options{Versions: []string{"v"}, AnswerTokens: 1000, TokenDelay: 10 * time.Millisecond})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	c := engine.NewClient(nil)
	run := func(onToken func(engine.Event) error) error {
		req := engine.GenerateRequest{Attempt: "a1", Version: "v", Messages: []api.Message{{Role: "user", Content: "x"}}}
		_, err := c.Generate(ctx, e.Addr(), req, onToken)
		return err
	}
	err := run(func(ev engine.Event) error {
		if ev.Index > 0 {
			return nil
		}
		e.StallOpenResponses()
		if err := c.Cancel(ctx, e.Addr(), "a1"); err != nil || e.Running() != 0 {
			t.Errorf("error %v, %d attempts run; want the end confirmed and none", err, e.Running())
		}
		return nil
	})
	if got := outcome(t, err); got != api.OutcomeUnknown {
		t.Errorf("the cancelled attempt has outcome %s: %v", got, err)
	}
	if got := outcome(t, run(func(engine.Event) error { return nil })); got != api.OutcomeNotRun || len(e.Runs()) != 1 {
		t.Errorf("the late request has outcome %s, %d runs; want not_run and 1", got, len(e.Runs()))
	}
	if err := c.Cancel(ctx, e.Addr(), "unknown"); err != nil {
		t.Errorf("an attempt that never ran: %v", err)
	}
}

// TestOnlyAConfirmationEndsAnAttempt guards against an attempt that counts as ended because its
// endpoint, which does not know the call or has not ended the attempt, has answered something.
func TestOnlyAConfirmationEndsAnAttempt(t *testing.T) {
	const confirmed = `{"attempt":"a1","ended":true}`
	for name, tc := range map[string]struct {
		status     int
		body       string
		ended      bool
		noSuchCall bool
	}{
		"confirmed":     {http.StatusOK, confirmed, true, false},
		"not found":     {http.StatusNotFound, confirmed, false, true},
		"not allowed":   {http.StatusMethodNotAllowed, confirmed, false, true},
		"failed":        {http.StatusInternalServerError, confirmed, false, false},
		"empty":         {http.StatusOK, "{}", false, false},
		"still running": {http.StatusOK, `{"attempt":"a1","ended":false}`, false, false},
		"other attempt": {http.StatusOK, `{"attempt":"a2","ended":true}`, false, false},
		"malformed":     {http.StatusOK, "ended", false, false},
		"cut":           {http.StatusOK, confirmed[:len(confirmed)-1], false, false},
	} {
		server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodDelete || r.URL.Path != "/v1/attempts/a1" {
				t.Errorf("%s %s, want DELETE /v1/attempts/a1", r.Method, r.URL.Path)
			}
			w.WriteHeader(tc.status)
			fmt.Fprint(w, tc.body)
		}))
		c := engine.NewTLSClient(server.Client().Transport.(*http.Transport))
		err := c.Cancel(t.Context(), strings.TrimPrefix(server.URL, "https://"), "a1")
		if (err == nil) != tc.ended || engine.NoSuchCall(err) != tc.noSuchCall {
			t.Errorf("%s: %v, no such call %t", name, err, engine.NoSuchCall(err))
		}
		server.Close()
	}
}

// TestReplyToCancelIsBounded guards against a call that reads a reply without end until its
// deadline.
func TestReplyToCancelIsBounded(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	addr := endless(t, func(int) string { return strings.Repeat(" ", 32<<10) })
	if err := engine.NewClient(nil).Cancel(ctx, addr, "a1"); err == nil || errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		t.Errorf("got error %v, context %v; want an error before the deadline", err, ctx.Err())
	}
}
