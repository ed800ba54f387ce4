package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
)

// goingDown stands for engines of which one goes down slowly: it still accepts requests after
// it has crashed, and cuts each before its first token. The other engines are left as they are.
type goingDown struct {
	dispatch.Engines
	mu      sync.Mutex
	crashed string // the address of the engine; empty while it is up
	cut     int    // requests cut after the crash
}

func (g *goingDown) Generate(ctx context.Context, addr string, req engine.GenerateRequest, onToken func(engine.Event) error) (engine.Final, error) {
	crashes := strings.Contains(req.Messages[len(req.Messages)-1].Content, fakeengine.CrashMarker)
	g.mu.Lock()
	if g.crashed == "" && crashes {
		g.crashed = addr
	} else if g.crashed == addr {
		g.cut++
	}
	down := g.crashed == addr
	g.mu.Unlock()
	if down {
		return engine.Final{}, &engine.Error{Outcome: api.OutcomeUnknown, Lost: true, Err: io.EOF}
	}
	return g.Engines.Generate(ctx, addr, req, onToken)
}

func (g *goingDown) cuts() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut
}

// TestEngineThatGoesDownGetsNoSoundRequests guards against requests that are lost with an engine
// which the host has just seen crash, although others serve. Its failures end at once, so
// it looked idle and was chosen again.
func TestEngineThatGoesDownGetsNoSoundRequests(t *testing.T) {
	clock := clockwork.NewFakeClock()
	r := newRigAt(t, 4, clock)
	engines := &goingDown{Engines: r.d.Engines}
	r.d.Engines = engines
	if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", fakeengine.CrashMarker)); err == nil {
		t.Fatal("the request that crashes its engine was answered")
	}
	for n := range 20 {
		if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", fmt.Sprint("question ", n))); err != nil {
			t.Errorf("a sound request: %v", err)
		}
	}
	if n := engines.cuts(); n > 0 {
		t.Errorf("%d requests were sent to the engine that goes down, want none", n)
	}
}

// TestCrashedEngineGetsWorkAgain guards against an engine that gets no requests for good after a
// crash, or none although it is the only one.
func TestCrashedEngineGetsWorkAgain(t *testing.T) {
	crash := func(t *testing.T, engines int) (*rig, *goingDown, *clockwork.FakeClock) {
		clock := clockwork.NewFakeClock()
		r := newRigAt(t, engines, clock)
		down := &goingDown{Engines: r.d.Engines}
		r.d.Engines = down
		// The error is the crash.
		_, _ = r.client.Chat(context.Background(), client.Request{}, chat("small", fakeengine.CrashMarker))
		return r, down, clock
	}
	t.Run("after the pause", func(t *testing.T) {
		r, down, clock := crash(t, 4)
		clock.Advance(time.Second)
		for n := 0; n < 200 && down.cuts() == 0; n++ {
			// The error is that of the engine, which is still down.
			_, _ = r.client.Chat(context.Background(), client.Request{}, chat("small", fmt.Sprint("question ", n)))
		}
		if down.cuts() == 0 {
			t.Error("the engine got none of 200 requests after the pause")
		}
	})
	t.Run("as the only one", func(t *testing.T) {
		r, down, _ := crash(t, 1)
		_, _ = r.client.Chat(context.Background(), client.Request{}, chat("small", "question"))
		if down.cuts() == 0 {
			t.Error("the only engine did not get the request")
		}
	})
}
