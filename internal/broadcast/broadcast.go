// Package broadcast calls a method of all live hosts.
package broadcast

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/corianderlever/corianderlever/membership"
)

// maxConcurrentCalls bounds the calls in flight to all hosts.
const maxConcurrentCalls = 32

// Options are the parts of a host that a Caller needs.
type Options struct {
	// Self is the name of this host.
	Self string
	// Members returns all known members.
	Members func() []membership.Member
	// Call calls a method of the host at an address.
	Call func(ctx context.Context, address, method string, params, result any) error
	// Rand shuffles the order of the calls. It is used under a lock.
	Rand   *rand.Rand
	Logger *slog.Logger
}

// Caller calls methods of all live hosts. It is safe for concurrent use.
type Caller struct {
	opts   Options
	randMu sync.Mutex // protects opts.Rand
}

// New returns a caller.
func New(opts Options) *Caller { return &Caller{opts: opts} }

// All calls a method of all other live hosts, without waiting for the last answers. The
// order is random, so that hosts which do not answer delay different ones at each caller.
func (c *Caller) All(method string, params any) {
	members := slices.DeleteFunc(c.opts.Members(), func(m membership.Member) bool { return m.Host == c.opts.Self || !m.State.Live() })
	c.randMu.Lock()
	c.opts.Rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	c.randMu.Unlock()
	slots := make(chan struct{}, maxConcurrentCalls)
	for _, m := range members {
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			if err := c.opts.Call(context.Background(), m.PeerAddress, method, params, nil); err != nil {
				c.opts.Logger.Debug("host not called", "method", method, "to", m.Host, "error", err)
			}
		}()
	}
}
