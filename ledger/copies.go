package ledger

import (
	"context"
	"slices"

	"github.com/corianderlever/corianderlever/kv"
)

// replicate gives a copy to the record's peer, or to another one if that
// peer does not answer.
func (l *Ledger) replicate(ctx context.Context, id ID) {
	l.mu.Lock()
	e := l.entries[id]
	if e == nil {
		l.mu.Unlock()
		return
	}
	peer := e.peer
	l.mu.Unlock()
	l.try(peer, 1, func(peer string) bool { return l.holdGrouped(ctx, peer, id) })
}

// copies makes a message; the caller holds the lock.
func (l *Ledger) copies(records []Record) Copies {
	l.messages++
	return Copies{Origin: l.cfg.Host, Sequence: l.messages, Records: records}
}

// holdTries is the number of peers that are asked to take copies.
const holdTries = 2

// place gives copies to a peer, or to others if it does not answer.
func (l *Ledger) place(ctx context.Context, c Copies) {
	l.try("", len(c.Records), func(peer string) bool { return l.deliver(ctx, peer, c) })
}

// try calls send with the peer, and with others if it does not answer.
func (l *Ledger) try(peer string, records int, send func(peer string) bool) {
	var tried []string
	for range holdTries {
		if peer == "" {
			peer = l.peers.Pick(tried...)
		}
		if peer == "" {
			break
		}
		if send(peer) {
			return
		}
		tried = append(tried, peer)
		peer = ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stats.Unreplicated += int64(records)
}

// deliver gives copies to the peer and notes whether it took them.
func (l *Ledger) deliver(ctx context.Context, peer string, c Copies) bool {
	if !l.hold(ctx, peer, c) {
		l.notPlaced(c, peer)
		return false
	}
	l.placed(c, peer)
	return true
}

func (l *Ledger) hold(ctx context.Context, peer string, c Copies) bool {
	// The caller of a request may leave, the record must not leave with it.
	ctx, cancel := kv.WithTimeout(context.WithoutCancel(ctx), l.clock, l.cfg.HoldTimeout)
	defer cancel()
	return l.peers.Hold(ctx, peer, c) == nil
}

// notPlaced notes that a peer did not answer; it may have the copies all the same.
func (l *Ledger) notPlaced(c Copies, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range c.Records {
		if e := l.entries[r.ID]; e != nil {
			e.moveFrom(peer)
		}
	}
}

func (l *Ledger) placed(c Copies, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range c.Records {
		if e := l.entries[r.ID]; e != nil {
			e.peer = peer
		}
	}
}

// release tells peers that they can drop copies. A lost message only leaves a
// copy that is later written again and deduplicated.
func (l *Ledger) release(ctx context.Context, byPeer map[string][]ID) {
	ctx, cancel := kv.WithTimeout(context.WithoutCancel(ctx), l.clock, l.cfg.HoldTimeout)
	defer cancel()
	for peer, ids := range byPeer {
		l.mu.Lock()
		l.messages++
		msg := Released{Origin: l.cfg.Host, Sequence: l.messages, IDs: ids}
		l.mu.Unlock()
		if err := l.peers.Release(ctx, peer, msg); err != nil {
			l.cfg.Logger.Debug("ledger copies not released", "peer", peer, "records", len(ids), "error", err)
		}
	}
}

// PeerFailed places new copies of the records whose copies were at the peer.
func (l *Ledger) PeerFailed(ctx context.Context, peer string) {
	l.mu.Lock()
	for _, e := range l.entries {
		if e.peer == peer {
			e.moveFrom(peer)
		}
	}
	l.mu.Unlock()
	l.Replicate(ctx)
}

// Replicate places copies of the records that have none, as after a time in
// which no peer could be reached.
func (l *Ledger) Replicate(ctx context.Context) {
	l.mu.Lock()
	var records []Record
	for _, e := range l.entries {
		if e.peer == "" {
			records = append(records, e.record)
		}
	}
	l.mu.Unlock()
	l.spread(ctx, records)
}

// maxHoldRecords bounds one message to a peer.
const maxHoldRecords = 1000

// spread places copies of many records.
func (l *Ledger) spread(ctx context.Context, records []Record) {
	for part := range slices.Chunk(records, maxHoldRecords) {
		l.mu.Lock()
		c := l.copies(part)
		l.mu.Unlock()
		l.place(ctx, c)
	}
}
