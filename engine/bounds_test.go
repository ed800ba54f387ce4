package engine_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
)

// patience bounds the calls that this file expects to end long before.
const patience = 30 * time.Second

// endless starts an endpoint that writes parts until the caller closes the connection.
func endless(t *testing.T, part func(n int) string) (addr string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
		for n := 0; ; n++ {
			if _, err := fmt.Fprint(w, part(n)); err != nil {
				return
			}
		}
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestAnswersWithoutEndAreGivenUp guards against an engine that sends without end, so that the
// host keeps reading and collecting until the request's deadline.
func TestAnswersWithoutEndAreGivenUp(t *testing.T) {
	const maxTokens = 16
	for name, part := range map[string]func(n int) string{
		"tokens": func(n int) string {
			return fmt.Sprintf("data: {\"attempt\":\"a1\",\"index\":%d,\"token\":\"x\"}\n\n", n)
		},
		"comments":    func(int) string { return ": still here\n\n" },
		"empty lines": func(int) string { return "\n" },
		"one line":    func(int) string { return "data: xxxxxxxxxxxxxxxx" },
	} {
		c := engine.NewClient(nil)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		tokens := 0
		_, err := c.Generate(ctx, endless(t, part), engine.GenerateRequest{Attempt: "a1", MaxTokens: maxTokens}, func(engine.Event) error {
			tokens++
			return nil
		})
		var failed *engine.Error
		if !errors.As(err, &failed) || !failed.Lost || ctx.Err() != nil {
			t.Errorf("%s: got error %v, context %v; want a lost answer before the deadline", name, err, ctx.Err())
		}
		if tokens > maxTokens || c.Buffers.Used() != 0 {
			t.Errorf("%s: %d tokens, %d bytes still reserved; want at most %d and none", name, tokens, c.Buffers.Used(), maxTokens)
		}
		cancel()
	}
}

// TestRepliesTogetherStayWithinTheBudget guards against a host that runs out of memory because
// many calls read replies that do not end, each below the limit of one reply.
func TestRepliesTogetherStayWithinTheBudget(t *testing.T) {
	const budget, calls = 8 << 20, 24
	addr := endless(t, func(int) string { return strings.Repeat("x", 32<<10) })
	c := engine.NewClient(nil)
	c.Buffers = limiter.NewByteBudget(budget)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	var wg sync.WaitGroup
	for range calls {
		wg.Go(func() {
			reply, err := c.Call(ctx, addr, "booking", "book", "a1", "", []byte("{}"))
			defer reply.Release()
			var failed *engine.Error
			if !errors.As(err, &failed) || failed.Outcome == api.OutcomeNotRun || ctx.Err() != nil {
				t.Errorf("got %d bytes, error %v, context %v; want a failed call that may have run, before the deadline", len(reply.Body), err, ctx.Err())
			}
			if used := c.Buffers.Used(); used > budget {
				t.Errorf("%d bytes in use, want at most %d", used, budget)
			}
		})
	}
	wg.Wait()
	if used := c.Buffers.Used(); used != 0 {
		t.Errorf("%d bytes still reserved", used)
	}
}

// TestReplyCountsUntilItIsReleased guards against whole replies that slow callers keep, and
// that no budget counts.
func TestReplyCountsUntilItIsReleased(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, strings.Repeat("x", 64<<10))
	}))
	defer server.Close()
	c := engine.NewClient(nil)
	reply, err := c.Call(context.Background(), strings.TrimPrefix(server.URL, "http://"), "booking", "book", "a1", "", []byte("{}"))
	if err != nil || c.Buffers.Used() < int64(len(reply.Body)) {
		t.Errorf("%d bytes reserved for a reply of %d, error %v", c.Buffers.Used(), len(reply.Body), err)
	}
	reply.Release()
	if used := c.Buffers.Used(); used != 0 {
		t.Errorf("%d bytes still reserved", used)
	}
}
