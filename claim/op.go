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

// op is one requested change of a page.
type op struct {
	location
	kind   opKind
	nonce  string
	answer *Answer
	done   chan outcome
	// callerLeft is set when the caller stops waiting; guarded by Claimer.mu.
	callerLeft bool
	// writeRevision is the highest page revision against which a write of the claim
	// was sent, perhaps with an unknown outcome; -1 if none was sent. If a page with
	// a higher revision does not contain the claim, the claim is not stored. With
	// an equal or lower revision the read may be stale or the write may still arrive.
	writeRevision int64
}

type outcome struct {
	result Result
	err    error
}

func newOp(kind opKind, p location, nonce string) *op {
	return &op{location: p, kind: kind, nonce: nonce, done: make(chan outcome, 1), writeRevision: -1}
}

// effect is the result of applying an op to a page.
type effect struct {
	out outcome
	// write is true if the outcome is valid only once the page has been written.
	write bool
}

// apply applies the op to p, which was read at revision rev. size is an upper
// bound of the encoded size of the page and is updated.
func (o *op) apply(p page, rev int64, size *int, host string) effect {
	e, ok := p.Claims[o.id]
	owned := ok && e.Nonce == o.nonce
	switch o.kind {
	case opClaim:
		return o.applyClaim(p, e, ok, owned, size, host)
	case opComplete:
		return o.applyComplete(p, e, owned, rev, size)
	}
	if owned {
		delete(p.Claims, o.id)
	}
	// Writing even an unchanged page raises its revision, so that an earlier write
	// that arrives late fails with a conflict.
	return effect{write: owned || rev <= o.writeRevision}
}

func (o *op) applyClaim(p page, e entry, ok, owned bool, size *int, host string) effect {
	if owned {
		return effect{out: outcome{result: Result{Won: true, Host: host}}}
	}
	if ok {
		return effect{out: outcome{result: Result{Answer: e.Answer, Host: e.Host}}}
	}
	if *size+claimOverhead+len(host) > maxClaimBytes {
		return effect{out: outcome{err: ErrNotClaimed}}
	}
	*size += claimOverhead + len(host)
	p.Claims[o.id] = entry{Nonce: o.nonce, Host: host}
	return effect{out: outcome{result: Result{Won: true, Host: host}}, write: true}
}

func (o *op) applyComplete(p page, e entry, owned bool, rev int64, size *int) effect {
	if !owned {
		// If the read was stale, the write fails with a conflict and the page is
		// read again.
		return effect{out: outcome{err: ErrNotStored}, write: rev <= o.writeRevision}
	}
	if e.Answer != nil {
		return effect{}
	}
	added := claimOverhead + len(o.answer.ContentType) + base64.StdEncoding.EncodedLen(len(o.answer.Body))
	if *size+added > maxAnswersBytes {
		return effect{out: outcome{err: ErrNotStored}}
	}
	*size += added
	e.Answer = o.answer
	p.Claims[o.id] = e
	return effect{write: true}
}

// nonce returns a random id by which an op recognizes its own claim in a page.
func (c *Claimer) nonce() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%016x", c.rng.Uint64())
}
