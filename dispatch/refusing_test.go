package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/client"
)

// TestStreamsAtRefusingEnginesAreNotCut guards against a host that ends streams in progress,
// silent between two tokens, because engines refuse new connections.
func TestStreamsAtRefusingEnginesAreNotCut(t *testing.T) {
	const (
		streams = 6
		tokens  = 4
		// tokenPause is longer than a second, after which the relay's path ended streams.
		tokenPause = 1500 * time.Millisecond
	)
	r := newRig(t, 3)
	for _, e := range r.endpoints.Engines {
		e.SetTokenDelay(tokenPause)
	}
	var begun, done sync.WaitGroup
	begun.Add(streams)
	for n := range streams {
		done.Go(func() {
			once := sync.OnceFunc(begun.Done)
			defer once()
			req := chat("small", fmt.Sprint("paused ", n))
			req.MaxTokens = tokens
			_, err := r.client.Stream(context.Background(), client.Request{}, req, func(string) error {
				once()
				return nil
			})
			if err != nil {
				t.Errorf("stream %d: %v", n, err)
			}
		})
	}
	begun.Wait()
	for _, e := range r.endpoints.Engines {
		if err := e.Refuse(); err != nil {
			t.Error(err)
		}
	}
	r.sendInVain(2 * streams)
	if len(r.pool.LostServices()) == 0 {
		t.Error("the host does not notice that the engines refuse connections")
	}
	done.Wait()
	runs := 0
	for _, e := range r.endpoints.Engines {
		for _, run := range e.Runs() {
			if strings.Contains(run.Body, "paused") {
				runs++
			}
		}
	}
	if runs != streams {
		t.Errorf("%d streams ran %d times, want once each", streams, runs)
	}
}

// sendInVain sends requests at once that may be rejected.
func (r *rig) sendInVain(n int) {
	var done sync.WaitGroup
	defer done.Wait()
	for i := range n {
		done.Go(func() {
			_, _ = r.client.Chat(context.Background(), client.Request{}, chat("small", fmt.Sprint("new ", i)))
		})
	}
}
