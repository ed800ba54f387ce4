package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// keyPrefix is the prefix of the store keys of all roles.
const keyPrefix = "role/"

// record is the stored value of a role.
type record struct {
	Host  string `json:"host"`
	Nonce string `json:"nonce"`
}

// attempt is an attempt to acquire the role whose outcome may be unknown. The nonce
// identifies its write after a lost reply.
type attempt struct {
	nonce string
	lease kv.LeaseID
	// leaseStart is the local time just before the lease was requested, so the
	// lease lasts in the store at least until leaseStart plus TTL.
	leaseStart time.Time
}

func (c *Candidate) key() string { return keyPrefix + c.cfg.Role }

// step renews the role if it is held, or else tries once to acquire it. Errors are
// not returned: the next step retries, and the token expires by itself.
func (c *Candidate) step(ctx context.Context) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	// A call that hangs must end before the next renewal is due.
	ctx, cancel := kv.WithTimeout(ctx, c.clock, c.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if t := c.currentTerm(); t != nil {
		c.renew(ctx, t)
		return
	}
	c.acquire(ctx)
}

func (c *Candidate) currentTerm() *term {
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
	if errors.Is(err, kv.ErrLeaseNotFound) || c.validTerm() != t {
		c.endTerm("renewal failed", err)
	}
}

func (c *Candidate) validUntil(start time.Time) time.Time {
	return start.Add(c.cfg.TTL - c.cfg.Margin)
}

func (c *Candidate) acquire(ctx context.Context) {
	if c.attempt != nil && c.clock.Since(c.attempt.leaseStart) >= c.cfg.TTL/2 {
		c.attempt = nil // too little of its lease remains
	}
	e, err := c.store.Get(ctx, c.key())
	if err == nil {
		c.confirmAttempt(e)
		return
	}
	if !errors.Is(err, kv.ErrNotFound) || !c.ensureAttempt(ctx) {
		return
	}
	c.writeRole(ctx)
}

// ensureAttempt creates an attempt with a new lease if there is none. It returns
// false if no lease could be granted.
func (c *Candidate) ensureAttempt(ctx context.Context) bool {
	if c.attempt != nil {
		return true
	}
	start := c.clock.Now()
	id, err := c.store.GrantLease(ctx, c.cfg.TTL)
	if err != nil {
		return false // if only the reply was lost, the lease expires unused
	}
	c.attempt = &attempt{nonce: c.nonce(), lease: id, leaseStart: start}
	return true
}

func (c *Candidate) writeRole(ctx context.Context) {
	value, err := json.Marshal(record{Host: c.cfg.Host, Nonce: c.attempt.nonce})
	if err != nil {
		return
	}
	rev, err := c.store.CompareAndSwap(ctx, c.key(), 0, value, c.attempt.lease)
	switch {
	case err == nil:
		c.startTerm(rev)
	case errors.Is(err, kv.ErrUnknown), errors.Is(err, kv.ErrConflict):
		// A conflict may be caused by an earlier write of this attempt whose reply
		// was lost.
		if e, err := c.store.Get(ctx, c.key()); err == nil {
			c.confirmAttempt(e)
		}
	case errors.Is(err, kv.ErrLeaseNotFound):
		c.attempt = nil
	}
}

// confirmAttempt starts a term if the entry was written by the current attempt. A
// stale read is sufficient proof, because before the lease of the attempt ends only
// this candidate removes its write.
func (c *Candidate) confirmAttempt(e kv.Entry) {
	var r record
	if c.attempt == nil || json.Unmarshal(e.Value, &r) != nil || r.Nonce != c.attempt.nonce {
		return
	}
	c.startTerm(e.Revision)
}

func (c *Candidate) startTerm(fencing int64) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{lease: c.attempt.lease, ctx: ctx, cancel: cancel}
	t.token = Token{Fencing: fencing, AcquiredAt: c.clock.Now(), ValidUntil: c.validUntil(c.attempt.leaseStart)}
	c.attempt = nil
	c.mu.Lock()
	c.term = t
	c.mu.Unlock()
	c.log.Info("role taken", "fencing", fencing)
}

// endTerm ends the current term, if any, so that no further action starts, and
// cancels the running ones.
func (c *Candidate) endTerm(reason string, err error) {
	c.mu.Lock()
	t := c.term
	c.term = nil
	c.mu.Unlock()
	if t == nil {
		return
	}
	t.cancel()
	c.log.Info("role ended", "fencing", t.token.Fencing, "reason", reason, "err", err)
}

// release ends the term, waits for running actions and revokes the lease. If an
// action outlasts the token, the lease is left to expire instead.
func (c *Candidate) release(ctx context.Context) {
	c.stepMu.Lock()
	defer c.stepMu.Unlock()
	t := c.currentTerm()
	if t == nil {
		return
	}
	remaining := c.clock.Until(t.token.ValidUntil)
	c.endTerm("released", nil)
	actionsDone := make(chan struct{})
	go func() {
		t.actions.Wait()
		close(actionsDone)
	}()
	select {
	case <-actionsDone:
	case <-c.clock.After(remaining):
		return
	}
	ctx, cancel := kv.WithTimeout(ctx, c.clock, c.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if err := c.store.RevokeLease(ctx, t.lease); err != nil {
		c.log.Warn("role not released", "err", err)
	}
}
