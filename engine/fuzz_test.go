package engine

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/limiter"
)

// Guards against panics on malformed events, and against skipped or duplicated
// tokens or tokens of another attempt reaching a caller.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("data: {\"attempt\":\"a\",\"index\":2,\"token\":\"x\"}\n\ndata: {\"attempt\":\"a\",\"final\":{\"tokens\":3}}\n\n"), 2)
	f.Add([]byte("data: {\"attempt\":\"b\",\"index\":0}\n"), 0)
	f.Add([]byte("data: {\"attempt\":\"a\",\"index\":1}\n"), 0)
	f.Add([]byte("data: {\"attempt\":\"a\",\"final\":{\"tokens\":-1}}\n"), -1)
	f.Fuzz(func(t *testing.T, body []byte, from int) {
		next := from
		final, err := readEvents(bytes.NewReader(body), limiter.NewByteBudget(1<<20), GenerateRequest{Attempt: "a", ResumeFrom: from}, func(ev Event) error {
			if ev.Attempt != "a" || ev.Index != next {
				t.Errorf("got token %d of attempt %q, want token %d of attempt a", ev.Index, ev.Attempt, next)
			}
			next++
			return nil
		})
		if err == nil {
			if final.Tokens != next {
				t.Errorf("accepted a final event with %d tokens, want %d", next, final.Tokens)
			}
			return
		}
		var failed *Error
		if !errors.As(err, &failed) || failed.Outcome != api.OutcomeUnknown || !failed.Lost {
			t.Errorf("invalid answer: got %v, want an *Error with Lost and outcome unknown", err)
		}
	})
}
