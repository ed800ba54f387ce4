package claim

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// enqueue adds the op to its shard's batch; the first op starts the timer.
func (c *Claimer) enqueue(o *op) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[o.shard] = append(c.pending[o.shard], o)
	if len(c.pending[o.shard]) == 1 {
		c.clock.AfterFunc(gatherTime, func() { c.flush(o.shard) })
	}
}

// flush settles the shard's batch, one flush at a time per shard.
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
		c.settle(page, ops)
	}
}

// settle agrees the ops and the undos of one page.
func (c *Claimer) settle(key string, ops []*op) {
	ctx, cancel := kv.WithTimeout(context.Background(), c.clock, settleLimit)
	defer cancel()
	c.mu.Lock()
	undos := c.undos[key]
	delete(c.undos, key)
	c.mu.Unlock()
	ops = append(slices.Clone(undos), ops...) // undos first, so that a repeat can win
	end := c.clock.Now().Add(settleLimit)
	pause := firstPause
	for c.clock.Now().Before(end) {
		if ops = c.attempt(ctx, key, ops); len(ops) == 0 {
			return
		}
		<-c.clock.After(pause)
		pause = min(2*pause, lastPause)
	}
	for _, o := range ops {
		c.giveUp(o)
	}
}

// attempt reads the page, applies the ops and writes it. It returns the ops
// that are still open.
func (c *Claimer) attempt(ctx context.Context, key string, ops []*op) []*op {
	e, err := c.store.Get(ctx, key)
	if err != nil && !errors.Is(err, kv.ErrNotFound) {
		return ops
	}
	p, err := decodePage(e.Value)
	if err != nil {
		c.log.Error("claim page unreadable", "key", key, "err", err)
		return ops
	}
	// The age is checked after the read: a page that was absent at a time when
	// the key was young enough had not been removed.
	ops = c.dropOld(ops)
	open, plans := c.applyAll(p, e, ops)
	if len(open) == 0 {
		return nil
	}
	value, err := json.Marshal(p)
	if err != nil {
		return open
	}
	_, err = c.store.CompareAndSwap(ctx, key, e.Revision, value, 0)
	if err == nil || errors.Is(err, kv.ErrUnknown) {
		markWritten(open, e.Revision)
	}
	if err != nil {
		return open
	}
	for i, o := range open {
		c.resolve(o, plans[i].out)
	}
	return nil
}

func markWritten(ops []*op, rev int64) {
	for _, o := range ops {
		o.expect = max(o.expect, rev)
	}
}

// applyAll resolves the ops that need no write and returns the others.
func (c *Claimer) applyAll(p page, e kv.Entry, ops []*op) ([]*op, []plan) {
	var open []*op
	var plans []plan
	size := len(e.Value)
	for _, o := range ops {
		pl := o.apply(p, e.Revision, &size, c.host)
		if !pl.write {
			c.resolve(o, pl.out)
			continue
		}
		open = append(open, o)
		plans = append(plans, pl)
	}
	return open, plans
}

func (c *Claimer) dropOld(ops []*op) []*op {
	return slices.DeleteFunc(ops, func(o *op) bool {
		old := o.kind == opClaim && c.age(o.place) > Retention
		if old {
			c.resolve(o, outcome{err: ErrTooOld})
		}
		return old
	})
}

// resolve reports the outcome of an op.
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
	if o.expect >= 0 {
		c.addUndo(o) // an earlier write of the claim may have taken effect
	}
	if out.err == nil && out.result.Answer == nil {
		out.result.Answer = c.ownAnswer(o.id)
	}
	o.done <- out
}

func (c *Claimer) resolveWon(o *op, out outcome) {
	// A host that stalled until the page may have been removed and begun anew
	// cannot tell whether the key has run.
	if c.age(o.place) > Retention+removalSlack/2 {
		o.done <- outcome{err: ErrTooOld}
		return
	}
	if c.deliver(o, out) {
		return
	}
	c.addUndo(o)
}

// deliver hands a won claim to its caller unless the caller has left.
func (c *Claimer) deliver(o *op, out outcome) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o.left {
		return false
	}
	c.won[o.id] = o
	o.done <- out
	return true
}

func (c *Claimer) ownAnswer(id string) *Answer {
	if a, ok := c.answers.Get(id); ok {
		return &a
	}
	return nil
}

// giveUp reports failure for an op that could not be agreed in time. What may
// have been claimed is undone later.
func (c *Claimer) giveUp(o *op) {
	if o.kind == opClaim {
		c.resolve(o, outcome{err: ErrNotClaimed})
		return
	}
	if o.kind == opUndo {
		c.addUndo(o)
	}
	o.done <- outcome{err: ErrNotStored}
}

// addUndo queues the removal of the op's entry for the next write of its page.
func (c *Claimer) addUndo(o *op) {
	undo := newOp(opUndo, o.place, o.nonce)
	undo.expect = o.expect
	c.mu.Lock()
	defer c.mu.Unlock()
	c.undos[o.page] = append(c.undos[o.page], undo)
}
