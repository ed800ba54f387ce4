package engine

import (
	"bytes"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// Guards against panics on a hostile engine, and against tokens that are
// skipped, doubled or of another attempt reaching a caller.
func FuzzReadEvents(f *testing.F) {
	f.Add([]byte("data: {\"attempt\":\"a\",\"index\":2,\"token\":\"x\"}\n\ndata: {\"attempt\":\"a\",\"final\":{\"tokens\":3}}\n\n"), 2)
	f.Add([]byte("data: {\"attempt\":\"b\",\"index\":0}\n"), 0)
	f.Add([]byte("data: {\"attempt\":\"a\",\"index\":1}\n"), 0)
	f.Add([]byte("data: {\"attempt\":\"a\",\"final\":{\"tokens\":-1}}\n"), -1)
	f.Fuzz(func(t *testing.T, body []byte, from int) {
		next := from
		final, err := readEvents(bytes.NewReader(body), GenerateRequest{Attempt: "a", ResumeFrom: from}, func(ev Event) error {
			if ev.Attempt != "a" || ev.Index != next {
				t.Errorf("token %d of attempt %q where %d was due", ev.Index, ev.Attempt, next)
			}
			next++
			return nil
		})
		if err == nil {
			if final.Tokens != next {
				t.Errorf("answer of %d tokens ended with %d", next, final.Tokens)
			}
			return
		}
		var failed *Error
		if !errors.As(err, &failed) || failed.Outcome != api.OutcomeUnknown || !failed.Lost {
			t.Errorf("a broken answer is reported as %v", err)
		}
	})
}
