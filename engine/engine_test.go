package engine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
)

func generate(addr string) (string, engine.Final, error) {
	var text strings.Builder
	req := engine.GenerateRequest{Attempt: "a1", Version: "v", Messages: []api.Message{{Role: "user", Content: "x"}}}
	final, err := engine.NewClient(nil).Generate(context.Background(), addr, req, func(ev engine.Event) error {
		text.WriteString(ev.Token)
		return nil
	})
	return text.String(), final, err
}

func outcome(t *testing.T, err error) api.Outcome {
	t.Helper()
	var failed *engine.Error
	if !errors.As(err, &failed) {
		t.Fatalf("error %v is not an engine.Error", err)
	}
	return failed.Outcome
}

// Guards against accepting an answer with events of another attempt, or with
// missing or repeated tokens, or without its final event.
func TestInvalidAnswersAreRejected(t *testing.T) {
	const final = `data: {"attempt":"a1","final":{"tokens":2,"finish_reason":"stop"}}`
	cases := map[string]struct {
		lines []string
		ok    bool
	}{
		"whole":          {[]string{`data: {"attempt":"a1","index":0,"token":"x"}`, `data: {"attempt":"a1","index":1,"token":"y"}`, final}, true},
		"other attempt":  {[]string{`data: {"attempt":"a1","index":0,"token":"x"}`, `data: {"attempt":"a2","index":1,"token":"y"}`, final}, false},
		"gap":            {[]string{`data: {"attempt":"a1","index":1,"token":"y"}`, final}, false},
		"repeat":         {[]string{`data: {"attempt":"a1","index":0,"token":"x"}`, `data: {"attempt":"a1","index":0,"token":"x"}`, final}, false},
		"no final event": {[]string{`data: {"attempt":"a1","index":0,"token":"x"}`}, false},
		"missing token":  {[]string{`data: {"attempt":"a1","index":0,"token":"x"}`, final}, false},
		"malformed":      {[]string{`data: {"attempt":`}, false},
	}
	for name, c := range cases {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprint(w, strings.Join(c.lines, "\n\n")+"\n\n")
		}))
		_, _, err := generate(strings.TrimPrefix(server.URL, "http://"))
		server.Close()
		if (err == nil) != c.ok {
			t.Errorf("%s: got error %v, want success %t", name, err, c.ok)
		}
		if err != nil && outcome(t, err) == api.OutcomeNotRun {
			t.Errorf("%s: got outcome not_run after the request was sent", name)
		}
	}
}

// Guards against a wrong outcome not_run when an endpoint crashes before its
// reply, and against a transport that retries a call by itself.
func TestOutcomeAfterEndpointFailure(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var received atomic.Int64
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			received.Add(1)
			// Reads part of the request and closes the connection.
			_, _ = io.CopyN(io.Discard, conn, 64)
			_ = conn.Close()
		}
	}()
	addr := ln.Addr().String()
	c := engine.NewClient(nil)
	_, err = c.Call(context.Background(), addr, "booking", "book", "a1", "key", []byte("{}"))
	if got := outcome(t, err); got != api.OutcomeUnknown {
		t.Errorf("connection closed during the request: got outcome %s, want unknown", got)
	}
	if n := received.Load(); n != 1 {
		t.Errorf("the call was sent %d times, want once", n)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	_, err = c.Call(context.Background(), addr, "booking", "book", "a2", "key", []byte("{}"))
	if got := outcome(t, err); got != api.OutcomeNotRun {
		t.Errorf("connection refused: got outcome %s, want not_run", got)
	}
}

// Guards against resumed answers that lose or duplicate a token.
func TestResumeContinuesExactly(t *testing.T) {
	e := fakeengine.New(fakeengine.Options{Versions: []string{"v"}, AnswerTokens: 9})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	whole, _, err := generate(e.Addr())
	if err != nil {
		t.Fatal(err)
	}
	var first, rest strings.Builder
	errStop := errors.New("stop")
	c := engine.NewClient(nil)
	req := engine.GenerateRequest{Attempt: "a1", Version: "v", Messages: []api.Message{{Role: "user", Content: "x"}}}
	tokens := 0
	_, err = c.Generate(context.Background(), e.Addr(), req, func(ev engine.Event) error {
		if tokens == 4 {
			return errStop
		}
		tokens++
		first.WriteString(ev.Token)
		return nil
	})
	if !errors.Is(err, errStop) {
		t.Fatal(err)
	}
	req.Attempt, req.ResumeFrom, req.Prefix = "a2", tokens, first.String()
	if _, err := c.Generate(context.Background(), e.Addr(), req, func(ev engine.Event) error {
		rest.WriteString(ev.Token)
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if got := first.String() + rest.String(); got != whole {
		t.Errorf("got resumed answer %q, want %q", got, whole)
	}
}

// Guards against a probe that blocks on a silent connection.
func TestProbeUsesNewConnection(t *testing.T) {
	e := fakeengine.New(fakeengine.Options{Versions: []string{"v"}, AnswerTokens: 1000, TokenDelay: time.Millisecond})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer e.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := engine.NewClient(nil)
	started := make(chan struct{}, 1)
	done := make(chan error, 1)
	go func() {
		req := engine.GenerateRequest{Attempt: "a1", Version: "v", Messages: []api.Message{{Role: "user", Content: "x"}}}
		_, err := c.Generate(ctx, e.Addr(), req, func(engine.Event) error {
			select {
			case started <- struct{}{}:
			default:
			}
			return nil
		})
		done <- err
	}()
	<-started
	e.StallOpenResponses()
	status, err := c.Probe(context.Background(), e.Addr(), "a1")
	if err != nil || !status.Running || status.Progress == 0 {
		t.Errorf("probe: got %+v, error %v; want a running attempt with progress", status, err)
	}
	cancel()
	if err := <-done; err == nil {
		t.Error("the cancelled attempt ended without an error")
	}
}
