package dispatch_test

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/internal/loopback"
	"github.com/corianderlever/corianderlever/resource"
)

// silencedPath passes connections on to an endpoint. Those that are open when it is silenced
// go on to acknowledge what is sent, and pass on nothing more.
type silencedPath struct {
	address string

	mu   sync.Mutex
	open []*silencedConn
}

// silencedConn copies what one connection receives to another.
type silencedConn struct {
	from, to net.Conn

	mu       sync.Mutex
	silenced bool
}

func newSilencedPath(t *testing.T, to string) *silencedPath {
	t.Helper()
	addresses, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", addresses[0])
	if err != nil {
		t.Fatal(err)
	}
	p := &silencedPath{address: ln.Addr().String()}
	t.Cleanup(func() {
		_ = ln.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		for _, c := range p.open {
			_ = c.from.Close()
		}
	})
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			p.pass(near, far)
		}
	}()
	return p
}

// pass begins to copy in both directions.
func (p *silencedPath) pass(near, far net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range []*silencedConn{{from: near, to: far}, {from: far, to: near}} {
		p.open = append(p.open, c)
		go c.run()
	}
}

// silence silences the connections that are open.
func (p *silencedPath) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.open {
		c.mu.Lock()
		c.silenced = true
		c.mu.Unlock()
	}
}

func (c *silencedConn) run() {
	_, _ = io.Copy(c, struct{ io.Reader }{c.from})
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.silenced {
		_ = c.to.Close()
	}
}

// Write implements io.Writer.
func (c *silencedConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silenced {
		return len(b), nil
	}
	return c.to.Write(b)
}

// TestAnswerGoesOnElsewhereOnceItsRunHasEnded guards against an answer that goes on at another
// engine while the one before, which answers probes, still works on it: its connection is silent,
// and the close of it does not arrive.
func TestAnswerGoesOnElsewhereOnceItsRunHasEnded(t *testing.T) {
	const tokenDelay = 500 * time.Millisecond
	r := newRig(t, 2)
	paths := make([]*silencedPath, 0, len(r.endpoints.Engines))
	for i, e := range r.endpoints.Engines {
		e.SetTokenDelay(tokenDelay)
		p := newSilencedPath(t, e.Addr())
		for _, res := range r.resources {
			if res.Name == "engine-"+string(rune('a'+i)) {
				res.Spec.(*resource.Endpoint).Address = p.address
			}
		}
		paths = append(paths, p)
	}
	r.apply(r.d.Queue, r.resources)
	started := func(i int) bool { return len(r.endpoints.Engines[i].Runs()) > 0 }
	first := -1 // index of the engine that the answer began at
	checked := false
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	_, err := r.client.Stream(ctx, client.Request{Rank: "normal"}, chat("small", "x"), func(string) error {
		if first < 0 {
			if first = 0; started(1) {
				first = 1
			}
			for _, p := range paths {
				p.silence()
			}
		}
		if !checked && started(1-first) {
			checked = true
			cancel()
			if n := r.endpoints.Engines[first].Running(); n > 0 {
				t.Errorf("the first engine still works on the answer when the second one has sent a token")
			}
		}
		return nil
	})
	if !checked {
		t.Errorf("the answer did not go on at another engine: %v", err)
	}
}
