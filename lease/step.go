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

func (h *Holder) key() string { return keyPrefix + h.cfg.Role }

// step renews a held role or tries once to take a free one. Errors are left
// to the next step: the token lapses by itself.
func (h *Holder) step(ctx context.Context) {
	h.stepping.Lock()
	defer h.stepping.Unlock()
	// A call that hangs must not outlast the time to the next renewal.
	ctx, cancel := kv.WithTimeout(ctx, h.clock, h.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if t := h.current(); t != nil {
		h.renew(ctx, t)
		return
	}
	h.acquire(ctx)
}

func (h *Holder) current() *term {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.term
}

func (h *Holder) renew(ctx context.Context, t *term) {
	start := h.clock.Now()
	err := h.store.KeepAlive(ctx, t.lease)
	if err == nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		t.token.ValidUntil = h.validUntil(start)
		return
	}
	if errors.Is(err, kv.ErrLeaseNotFound) || h.valid() != t {
		h.endTerm("renewal failed", err)
	}
}

func (h *Holder) validUntil(start time.Time) time.Time {
	return start.Add(h.cfg.TTL - h.cfg.Margin)
}

func (h *Holder) acquire(ctx context.Context) {
	if h.attempt != nil && h.clock.Since(h.attempt.start) >= h.cfg.TTL/2 {
		h.attempt = nil // too little of its lease would be left
	}
	e, err := h.store.Get(ctx, h.key())
	if err == nil {
		h.adopt(e)
		return
	}
	if !errors.Is(err, kv.ErrNotFound) || !h.prepare(ctx) {
		return
	}
	h.take(ctx)
}

// prepare makes sure that an attempt with a lease exists.
func (h *Holder) prepare(ctx context.Context) bool {
	if h.attempt != nil {
		return true
	}
	start := h.clock.Now()
	id, err := h.store.GrantLease(ctx, h.cfg.TTL)
	if err != nil {
		return false // a lease whose grant was lost lapses unused
	}
	h.attempt = &attempt{nonce: h.nonce(), lease: id, start: start}
	return true
}

func (h *Holder) take(ctx context.Context) {
	value, err := json.Marshal(record{Host: h.cfg.Host, Nonce: h.attempt.nonce})
	if err != nil {
		return
	}
	rev, err := h.store.CompareAndSwap(ctx, h.key(), 0, value, h.attempt.lease)
	switch {
	case err == nil:
		h.startTerm(rev)
	case errors.Is(err, kv.ErrUnknown), errors.Is(err, kv.ErrConflict):
		// A conflict can be the own earlier write whose reply was lost.
		if e, err := h.store.Get(ctx, h.key()); err == nil {
			h.adopt(e)
		}
	case errors.Is(err, kv.ErrLeaseNotFound):
		h.attempt = nil
	}
}

// adopt starts a term if the entry is the write of the open attempt. Even an
// answer from the past is proof: only this holder removes its own write before
// the lease of the attempt ends.
func (h *Holder) adopt(e kv.Entry) {
	var r record
	if h.attempt == nil || json.Unmarshal(e.Value, &r) != nil || r.Nonce != h.attempt.nonce {
		return
	}
	h.startTerm(e.Revision)
}

func (h *Holder) startTerm(fencing int64) {
	ctx, cancel := context.WithCancel(context.Background())
	t := &term{lease: h.attempt.lease, ctx: ctx, end: cancel}
	t.token = Token{Fencing: fencing, Since: h.clock.Now(), ValidUntil: h.validUntil(h.attempt.start)}
	h.attempt = nil
	h.mu.Lock()
	h.term = t
	h.mu.Unlock()
	h.log.Info("role taken", "fencing", fencing)
}

// endTerm stops the holder from acting.
func (h *Holder) endTerm(reason string, err error) {
	h.mu.Lock()
	t := h.term
	h.term = nil
	h.mu.Unlock()
	if t == nil {
		return
	}
	t.end()
	h.log.Info("role ended", "fencing", t.token.Fencing, "reason", reason, "err", err)
}

// release stops acting, waits for running actions and gives the role back.
// An action that outlasts the lease makes it lapse instead.
func (h *Holder) release(ctx context.Context) {
	h.stepping.Lock()
	defer h.stepping.Unlock()
	t := h.current()
	if t == nil {
		return
	}
	left := h.clock.Until(t.token.ValidUntil)
	h.endTerm("released", nil)
	idle := make(chan struct{})
	go func() {
		t.actions.Wait()
		close(idle)
	}()
	select {
	case <-idle:
	case <-h.clock.After(left):
		return
	}
	ctx, cancel := kv.WithTimeout(ctx, h.clock, h.cfg.TTL/renewalsPerTTL)
	defer cancel()
	if err := h.store.RevokeLease(ctx, t.lease); err != nil {
		h.log.Warn("role not released", "err", err)
	}
}
