package ledger

import (
	"context"
	"slices"
)

// maxHoldsInFlight is the number of messages with records of requests that are
// under way to one peer. Records that come meanwhile share the next message,
// because under load a message per record costs more than serving the request.
const maxHoldsInFlight = 1

// holdQueue is what is under way to one peer; the ledger's lock guards it.
type holdQueue struct {
	inFlight int
	// waiting is the group of the next message; nil when none waits.
	waiting *holdGroup
}

// holdGroup is the records that share one message.
type holdGroup struct {
	ids []ID
	// done is closed when the message has been answered or has failed.
	done chan struct{}
	// held is set before done is closed.
	held bool
}

func newHoldGroup(id ID) *holdGroup {
	return &holdGroup{ids: []ID{id}, done: make(chan struct{})}
}

// holdGrouped gives the peer a copy of the record as it is when its message
// leaves, and returns when the peer has answered.
func (l *Ledger) holdGrouped(ctx context.Context, peer string, id ID) bool {
	g, first := l.joinGroup(peer, id)
	if first {
		l.sendGroup(ctx, peer, g)
		l.sendNext(ctx, peer)
	}
	<-g.done // bounded by the timeouts of this message and the one before it
	return g.held
}

// joinGroup returns the group of the record and whether the caller sends it.
func (l *Ledger) joinGroup(peer string, id ID) (g *holdGroup, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.holds[peer]
	if q == nil {
		q = &holdQueue{}
		l.holds[peer] = q
	}
	switch {
	case q.inFlight < maxHoldsInFlight, q.waiting != nil && len(q.waiting.ids) >= maxHoldRecords:
		q.inFlight++
		return newHoldGroup(id), true
	case q.waiting == nil:
		q.waiting = newHoldGroup(id)
	default:
		q.waiting.ids = append(q.waiting.ids, id)
	}
	return q.waiting, false
}

// sendNext ends one message under way and sends the group that waits, if any.
// The group has a goroutine of its own, so that no request waits for it that
// is not part of it.
func (l *Ledger) sendNext(ctx context.Context, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.holds[peer]
	next := q.waiting
	if next != nil {
		q.waiting = nil
		go func() {
			l.sendGroup(ctx, peer, next)
			l.sendNext(ctx, peer)
		}()
		return
	}
	q.inFlight--
	if q.inFlight == 0 {
		delete(l.holds, peer)
	}
}

// sendGroup sends one message. The records are read together with the number
// of the message, so that a higher number never carries an older record.
func (l *Ledger) sendGroup(ctx context.Context, peer string, g *holdGroup) {
	defer close(g.done)
	slices.Sort(g.ids)
	l.mu.Lock()
	var records []Record
	for _, id := range slices.Compact(g.ids) {
		if e := l.entries[id]; e != nil {
			records = append(records, e.record)
		}
	}
	if len(records) == 0 {
		l.mu.Unlock()
		g.held = true
		return
	}
	c := l.copies(records)
	l.mu.Unlock()
	g.held = l.deliver(ctx, peer, c)
}
