package claim

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// enqueue adds the op to its shard's batch. The first op of a batch starts the
// timer of the flush.
func (c *Claimer) enqueue(o *op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[o.shard] = append(c.pending[o.shard], o)
	if len(c.pending[o.shard]) == 1 {
		c.clock.AfterFunc(batchDelay, func() { c.flush(o.shard) })
	}
}

// flush commits the shard's batch, with one flush at a time per shard.
func (c *Claimer) flush(shard int) {
	c.flushing[shard].Lock()
	defer c.flushing[shard].Unlock()
	c.mu.Lock()
	batch := c.pending[shard]
	c.pending[shard] = nil
	c.mu.Unlock()
	pages := make(map[string][]*op)
	for _, o := range batch {
		pages[o.page] = append(pages[o.page], o)
	}
	for page, ops := range pages {
		c.commitPage(page, ops)
	}
}

// commitPage writes the ops and the queued undos of one page to the store, with
// retries for up to commitTimeout.
func (c *Claimer) commitPage(key string, ops []*op) {
	ctx, cancel := kv.WithTimeout(context.Background(), c.clock, commitTimeout)
	defer cancel()
	c.mu.Lock()
	undos := c.undos[key]
	delete(c.undos, key)
	c.mu.Unlock()
	ops = append(slices.Clone(undos), ops...) // undos first, so that a retry can win
	end := c.clock.Now().Add(commitTimeout)
	backoff := initialBackoff
	for c.clock.Now().Before(end) {
		if ops = c.tryCommitPage(ctx, key, ops); len(ops) == 0 {
			return
		}
		<-c.clock.After(backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	for _, o := range ops {
		c.abort(o)
	}
}

// tryCommitPage reads the page, applies the ops and writes it. It returns the ops
// that are not resolved yet.
func (c *Claimer) tryCommitPage(ctx context.Context, key string, ops []*op) []*op {
	e, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return ops
	}
	p, err := decodePage(e.Value)
	if err != nil {
		c.log.Error("claim page unreadable", "key", key, "err", err)
		return ops
	}
	// The age is checked after the read: if the key is still younger than Retention
	// now, an absent page can't be one that a sweep has removed.
	ops = c.rejectExpired(ops)
	remaining, effects := c.applyAll(p, e, ops)
	if len(remaining) == 0 {
		return nil
	}
	value, err := json.Marshal(p)
	if err != nil {
		return remaining
	}
	_, err = c.store.CompareAndSwap(ctx, key, e.Revision, value, 0)
	if err == nil || errors.Is(err, kv.ErrUnknown) {
		markWritten(remaining, e.Revision)
	}
	if err != nil {
		return remaining
	}
	for i, o := range remaining {
		c.resolve(o, effects[i].out)
	}
	return nil
}

func markWritten(ops []*op, rev int64) {
	for _, o := range ops {
		o.writeRevision = max(o.writeRevision, rev)
	}
}

// applyAll applies the ops to the page. It resolves those that need no write and
// returns the others with their effects.
func (c *Claimer) applyAll(p page, e kv.Entry, ops []*op) ([]*op, []effect) {
	var remaining []*op
	var effects []effect
	size := len(e.Value)
	for _, o := range ops {
		eff := o.apply(p, e.Revision, &size, c.host)
		if !eff.write {
			c.resolve(o, eff.out)
			continue
		}
		remaining = append(remaining, o)
		effects = append(effects, eff)
	}
	return remaining, effects
}

func (c *Claimer) rejectExpired(ops []*op) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool {
		expired := o.kind == opClaim && c.age(o.location) > Retention
		if expired {
			c.resolve(o, outcome{err: ErrTooOld})
		}
		return expired
	})
}

// resolve delivers the outcome of an op to the goroutine that waits for it.
func (c *Claimer) resolve(o *op, out outcome) {
	switch {
	case o.kind != opClaim:
		o.done <- out
	case out.result.Won:
		c.resolveWon(o, out)
	default:
		c.resolveLost(o, out)
	}
}

func (c *Claimer) resolveLost(o *op, out outcome) {
	if o.writeRevision >= 0 {
		c.addUndo(o) // an earlier write of this claim may have taken effect
	}
	if out.err == nil && out.result.Answer == nil {
		out.result.Answer = c.localAnswer(o.id)
	}
	o.done <- out
}

func (c *Claimer) resolveWon(o *op, out outcome) {
	// If this host stalled for so long that the page may have been removed and
	// created again, it cannot know whether the key has already run.
	if c.age(o.location) > Retention+removalGrace/2 {
		o.done <- outcome{err: ErrTooOld}
		return
	}
	if c.deliver(o, out) {
		return
	}
	c.addUndo(o)
}

// deliver passes a won claim to its caller. It returns false if the caller has
// left.
func (c *Claimer) deliver(o *op, out outcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.callerLeft {
		return false
	}
	c.won[o.id] = o
	o.done <- out
	return true
}

func (c *Claimer) localAnswer(id string) *Answer {
	if a, ok := c.answers.Get(id); ok {
		return &a
	}
	return nil
}

// abort resolves an op that could not be committed in time as failed. A claim
// that may have been written is undone later.
func (c *Claimer) abort(o *op) {
	if o.kind == opClaim {
		c.resolve(o, outcome{err: ErrNotClaimed})
		return
	}
	if o.kind == opUndo {
		c.addUndo(o)
	}
	o.done <- outcome{err: ErrNotStored}
}

// addUndo queues the removal of the op's claim for the next commit of its page.
func (c *Claimer) addUndo(o *op) {
	undo := newOp(opUndo, o.location, o.nonce)
	undo.writeRevision = o.writeRevision
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undos[o.page] = append(c.undos[o.page], undo)
}
