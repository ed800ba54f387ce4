package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// keyPrefix is the place of all roles in the store.
const keyPrefix = "role/"

// record is the stored value of a role.
type record struct {
	Host  string `json:"host"`
	Nonce string `json:"nonce"`
}

// attempt is a try to take the role whose outcome may still be open. Its
// nonce recognises the own write after a lost reply.
type attempt struct {
	nonce string
	lease kv.LeaseID
	// start is the own time before the lease was granted or last renewed, so
	// the store's lease lasts at least until start plus TTL.
	start time.Time
}

func (c *Candidate) key() string { return keyPrefix + c.cfg.Role }

// step renews a held role or tries once to take a free one. Errors are left
// to the next step: the token lapses by itself.
func (c *Candidate) step(ctx context.Context) {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	// A call that hangs must not outlast the time to the next renewal.
	ctx, cancel := kv.WithTimeout(ctx, c.clock, c.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if t := c.current(); t != nil {
		c.renew(ctx, t)
		return
	}
	c.acquire(ctx)
}

func (c *Candidate) current() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term
}

func (c *Candidate) renew(ctx context.Context, t *term) {
	start := c.clock.Now()
	err := c.store.KeepAlive(ctx, t.lease)
	if err == nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		t.token.ValidUntil = c.validUntil(start)
		return
	}
	if errors.Is(err, kv.ErrLeaseNotFound) || c.valid() != t {
		c.endTerm("renewal failed", err)
	}
}

func (c *Candidate) validUntil(start time.Time) time.Time {
	return start.Add(c.cfg.TTL - c.cfg.Margin)
}

func (c *Candidate) acquire(ctx context.Context) {
	if c.attempt != nil && c.clock.Since(c.attempt.start) >= c.cfg.TTL/2 {
		c.attempt = nil // too little of its lease would be left
	}
	e, err := c.store.Get(ctx, c.key())
	if err == nil {
		c.adopt(e)
		return
	}
	if !errors.Is(err, kv.ErrNotFound) || !c.prepare(ctx) {
		return
	}
	c.take(ctx)
}

// prepare makes sure that an attempt with a lease exists.
func (c *Candidate) prepare(ctx context.Context) bool {
	if c.attempt != nil {
		return true
	}
	start := c.clock.Now()
	id, err := c.store.GrantLease(ctx, c.cfg.TTL)
	if err != nil {
		return false // a lease whose grant was lost lapses unused
	}
	c.attempt = &attempt{nonce: c.nonce(), lease: id, start: start}
	return true
}

func (c *Candidate) take(ctx context.Context) {
	value, err := json.Marshal(record{Host: c.cfg.Host, Nonce: c.attempt.nonce})
	if err != nil {
		return
	}
	rev, err := c.store.CompareAndSwap(ctx, c.key(), 0, value, c.attempt.lease)
	switch {
	case err == nil:
		c.startTerm(rev)
	case errors.Is(err, kv.ErrUnknown), errors.Is(err, kv.ErrConflict):
		// A conflict can be the own earlier write whose reply was lost.
		if e, err := c.store.Get(ctx, c.key()); err == nil {
			c.adopt(e)
		}
	case errors.Is(err, kv.ErrLeaseNotFound):
		c.attempt = nil
	}
}

// adopt starts a term if the entry is the write of the open attempt. Even an
// answer from the past is proof: only this holder removes its own write before
// the lease of the attempt ends.
func (c *Candidate) adopt(e kv.Entry) {
	var r record
	if c.attempt == nil || json.Unmarshal(e.Value, &r) != nil || r.Nonce != c.attempt.nonce {
		return
	}
	c.startTerm(e.Revision)
}

func (c *Candidate) startTerm(fencing int64) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{lease: c.attempt.lease, ctx: ctx, end: cancel}
	t.token = Token{Fencing: fencing, AcquiredAt: c.clock.Now(), ValidUntil: c.validUntil(c.attempt.start)}
	c.attempt = nil
	c.mu.Lock()
	c.term = t
	c.mu.Unlock()
	c.log.Info("role taken", "fencing", fencing)
}

// endTerm stops the holder from acting.
func (c *Candidate) endTerm(reason string, err error) {
	c.mu.Lock()
	t := c.term
	c.term = nil
	c.mu.Unlock()
	if t == nil {
		return
	}
	t.end()
	c.log.Info("role ended", "fencing", t.token.Fencing, "reason", reason, "err", err)
}

// release stops acting, waits for running actions and gives the role back.
// An action that outlasts the lease makes it lapse instead.
func (c *Candidate) release(ctx context.Context) {
	c.stepping.Lock()
	defer c.stepping.Unlock()
	t := c.current()
	if t == nil {
		return
	}
	left := c.clock.Until(t.token.ValidUntil)
	c.endTerm("released", nil)
	idle := make(chan struct{})
	go func() {
		t.actions.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-c.clock.After(left):
		return
	}
	ctx, cancel := kv.WithTimeout(ctx, c.clock, c.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if err := c.store.RevokeLease(ctx, t.lease); err != nil {
		c.log.Warn("role not released", "err", err)
	}
}
