package admin

import (
	"encoding/json"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

// endless is a stream of bytes that are no message.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = ' '
	}
	return len(p), nil
}

// TestWatchBoundsAMessage guards against a command that runs out of memory because a host sends
// bytes without end, and against a bound that counts all messages together.
func TestWatchBoundsAMessage(t *testing.T) {
	body := &messageLimit{r: io.MultiReader(strings.NewReader(`{}{}{}`), endless{})}
	dec := json.NewDecoder(body)
	for range 3 {
		body.left = 1 << 10
		var list ListResponse
		if err := dec.Decode(&list); err != nil {
			t.Fatal(err)
		}
	}
	body.left = 1 << 10
	var list ListResponse
	if err := dec.Decode(&list); !errors.Is(err, errMessageTooLong) {
		t.Errorf("got %v, want %v", err, errMessageTooLong)
	}
}
