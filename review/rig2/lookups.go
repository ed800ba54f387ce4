package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// lookupInterval is the time between two lookups of one caller.
const lookupInterval = 40 * time.Millisecond

// lookup is one request of a caller. Lookups are idempotent.
type lookup struct {
	id     string
	host   string
	sent   time.Time
	status int // zero without an answer
}

// caller sends lookups with the key that is taken away to one host after the other.
type caller struct {
	// name begins the ids of the caller's requests.
	name   string
	client *http.Client
	count  atomic.Int64

	mu      sync.Mutex
	lookups []lookup
}

func newCaller(name string) *caller {
	return &caller{name: name, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2}}}
}

// send sends lookups to a host until ctx ends.
func (c *caller) send(ctx context.Context, h *host) {
	for ctx.Err() == nil {
		c.sendOne(ctx, h)
		wait(ctx, lookupInterval)
	}
}

func (c *caller) sendOne(ctx context.Context, h *host) {
	const timeout = time.Second
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	l := lookup{id: fmt.Sprintf("%s-%d", c.name, c.count.Add(1)), host: h.name}
	req, err := platformtest.NewRequest(ctx, http.MethodGet, h.addresses.Frontend, platformtest.LookupPath, l.id, platformtest.RevokedKey, timeout)
	if err != nil {
		return
	}
	l.sent = time.Now()
	if resp, err := c.client.Do(req); err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		l.status = resp.StatusCode
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lookups = append(c.lookups, l)
}

// take returns the lookups so far and forgets them.
func (c *caller) take() []lookup {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.lookups
	c.lookups = nil
	return out
}

// runs returns the times at which endpoints began to run requests, by id.
func (c *cluster) runs() map[string]time.Time {
	out := make(map[string]time.Time)
	for _, e := range c.d.PlainEndpoints {
		for _, run := range e.Runs() {
			out[run.Attempt] = run.At
		}
	}
	return out
}

// countLate counts the lookups that ran although they were sent later than bound after the
// acknowledgement that their key is taken away. It records them, and the last one that ran of
// each host.
func (c *cluster) countLate(n int, lookups []lookup, acknowledged time.Time, bound time.Duration) (late int) {
	runs := c.runs()
	last := make(map[string]lookup)
	sent := 0
	for _, l := range lookups {
		at, ran := runs[l.id]
		after := l.sent.Sub(acknowledged)
		if ran && l.sent.After(last[l.host].sent) {
			last[l.host] = l
		}
		if after <= bound {
			continue
		}
		sent++
		if ran {
			late++
			c.run.noteAt(l.sent, "trial %d: %s sent to %s %v after the acknowledgement, run at %.3f, answered %d", n, l.id, l.host,
				after.Round(time.Millisecond), at.Sub(c.run.started).Seconds(), l.status)
		}
	}
	for _, h := range c.hosts {
		if l, ok := last[h.name]; ok {
			c.run.note("trial %d: the last one that ran of %s was sent %v after the acknowledgement", n, h.name, l.sent.Sub(acknowledged).Round(time.Millisecond))
		}
	}
	c.run.note("trial %d: %d requests, %d of them sent over %v after the acknowledgement, %d of these ran", n, len(lookups), sent, bound, late)
	return late
}
