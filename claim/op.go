package claim

import (
	"encoding/base64"
	"fmt"
)

type opKind int

const (
	opClaim opKind = iota
	opComplete
	opUndo
)

// op is one wish to change a page.
type op struct {
	place
	kind   opKind
	nonce  string
	answer *Answer
	done   chan outcome
	// left is true after the caller stopped waiting; guarded by Claimer.mu.
	left bool
	// expect is the highest page revision against which the attempt's claim was
	// written, perhaps with an unknown outcome; -1 means never. A page with a
	// higher revision that does not show the claim proves that it is not there;
	// at or below it the page may be an old reading or the write may yet arrive.
	expect int64
}

type outcome struct {
	result Result
	err    error
}

func newOp(kind opKind, p place, nonce string) *op {
	return &op{place: p, kind: kind, nonce: nonce, done: make(chan outcome, 1), expect: -1}
}

// plan is what applying an op to a page gives.
type plan struct {
	out outcome
	// write is true if the outcome holds only once the page is written.
	write bool
}

// apply changes p as the op wishes. size is the encoded size of the page.
func (o *op) apply(p page, rev int64, size *int, host string) plan {
	e, ok := p.Claims[o.id]
	own := ok && e.Nonce == o.nonce
	switch o.kind {
	case opClaim:
		return o.applyClaim(p, e, ok, own, size, host)
	case opComplete:
		return o.applyComplete(p, e, own, rev, size)
	}
	if own {
		delete(p.Claims, o.id)
	}
	// Writing the unchanged page overtakes a write that may still arrive.
	return plan{write: own || rev <= o.expect}
}

func (o *op) applyClaim(p page, e entry, ok, own bool, size *int, host string) plan {
	if own {
		return plan{out: outcome{result: Result{Won: true, Host: host}}}
	}
	if ok {
		return plan{out: outcome{result: Result{Answer: e.Answer, Host: e.Host}}}
	}
	if *size+claimOverhead+len(host) > maxClaimBytes {
		return plan{out: outcome{err: ErrNotClaimed}}
	}
	*size += claimOverhead + len(host)
	p.Claims[o.id] = entry{Nonce: o.nonce, Host: host}
	return plan{out: outcome{result: Result{Won: true, Host: host}}, write: true}
}

func (o *op) applyComplete(p page, e entry, own bool, rev int64, size *int) plan {
	if !own {
		// On an old reading the write meets a conflict and the page is read again.
		return plan{out: outcome{err: ErrNotStored}, write: rev <= o.expect}
	}
	if e.Answer != nil {
		return plan{}
	}
	add := claimOverhead + len(o.answer.ContentType) + base64.StdEncoding.EncodedLen(len(o.answer.Body))
	if *size+add > maxAnswersBytes {
		return plan{out: outcome{err: ErrNotStored}}
	}
	*size += add
	e.Answer = o.answer
	p.Claims[o.id] = e
	return plan{write: true}
}

// nonce returns a random id that marks an attempt as this host's own.
func (c *Claimer) nonce() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.rng.Uint64())
}
