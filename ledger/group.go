package ledger

import (
	"context"
	"slices"
)

// maxHoldsInFlight is the number of messages with copies that may be in flight to
// one peer. Records that arrive in the meantime share the next message, because
// under load a message per record costs more than serving the request.
const maxHoldsInFlight = 1

// holdQueue holds the outgoing copies to one peer. It is guarded by Ledger.mu.
type holdQueue struct {
	inFlight int
	// waiting is the group that the next message carries; nil if there is none.
	waiting *holdGroup
}

// holdGroup is a set of records that share one message.
type holdGroup struct {
	ids []ID
	// done is closed once the message has been answered or has failed.
	done chan struct{}
	// accepted reports whether the peer took the copies; it is set before done is
	// closed.
	accepted bool
}

func newHoldGroup(id ID) *holdGroup {
	return &holdGroup{ids: []ID{id}, done: make(chan struct{})}
}

// holdInGroup sends the peer a copy of the record as it is when the message is
// sent, and reports whether the peer accepted it.
func (l *Ledger) holdInGroup(ctx context.Context, peer string, id ID) bool {
	g, mustSend := l.joinGroup(peer, id)
	if mustSend {
		l.sendGroup(ctx, peer, g)
		l.sendNext(ctx, peer)
	}
	<-g.done // takes at most the timeouts of this message and of the one before
	return g.accepted
}

// joinGroup adds the record to a group. If mustSend is true the caller has to
// send the group.
func (l *Ledger) joinGroup(peer string, id ID) (g *holdGroup, mustSend bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.holdQueues[peer]
	if q == nil {
		q = &holdQueue{}
		l.holdQueues[peer] = q
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

// sendNext is called after each message; it sends the waiting group, if any. The
// group is sent in its own goroutine, so that the caller doesn't wait for a group
// that it isn't part of.
func (l *Ledger) sendNext(ctx context.Context, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.holdQueues[peer]
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
		delete(l.holdQueues, peer)
	}
}

// sendGroup sends one message. The records are read under the same lock as the
// sequence number is assigned, so that a higher number never carries an older
// version of a record.
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
		g.accepted = true
		return
	}
	c := l.newCopies(records)
	l.mu.Unlock()
	g.accepted = l.deliver(ctx, peer, c)
}
