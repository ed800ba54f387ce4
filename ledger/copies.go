package ledger

import (
	"context"
	"slices"

	"github.com/corianderlever/corianderlever/kv"
)

// replicate sends a copy to the record's current peer, or to another one if that
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
	l.tryPeers(peer, 1, func(peer string) bool { return l.holdInGroup(ctx, peer, id) })
}

// newCopies returns the next message. The caller must hold l.mu.
func (l *Ledger) newCopies(records []Record) Copies {
	l.messageSequence++
	return Copies{Origin: l.cfg.Host, Sequence: l.messageSequence, Records: records}
}

// holdAttempts is the number of peers that are tried for a copy.
const holdAttempts = 2

// placeCopies sends copies to a peer, or to another one if it does not answer.
func (l *Ledger) placeCopies(ctx context.Context, c Copies) {
	l.tryPeers("", len(c.Records), func(peer string) bool { return l.deliver(ctx, peer, c) })
}

// tryPeers calls send with the peer, or a picked one if peer is empty, and then
// with others until one accepts. If none does, it counts the records as
// unreplicated.
func (l *Ledger) tryPeers(peer string, records int, send func(peer string) bool) {
	var tried []string
	for range holdAttempts {
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

// deliver sends copies to the peer and records whether it accepted them.
func (l *Ledger) deliver(ctx context.Context, peer string, c Copies) bool {
	if !l.holdWithTimeout(ctx, peer, c) {
		l.markNotPlaced(c, peer)
		return false
	}
	l.markPlaced(c, peer)
	return true
}

func (l *Ledger) holdWithTimeout(ctx context.Context, peer string, c Copies) bool {
	// The record must be replicated even if the caller of the request leaves.
	ctx, cancel := kv.WithTimeout(context.WithoutCancel(ctx), l.clock, l.cfg.HoldTimeout)
	defer cancel()
	return l.peers.Hold(ctx, peer, c) == nil
}

// markNotPlaced records that a peer did not answer. The peer may still have
// received the copies.
func (l *Ledger) markNotPlaced(c Copies, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range c.Records {
		if e := l.entries[r.ID]; e != nil {
			e.demotePeer(peer)
		}
	}
}

func (l *Ledger) markPlaced(c Copies, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range c.Records {
		if e := l.entries[r.ID]; e != nil {
			e.peer = peer
		}
	}
}

// release tells peers to drop copies. If the message is lost, the copy may be
// written a second time later; readers deduplicate it.
func (l *Ledger) release(ctx context.Context, byPeer map[string][]ID) {
	ctx, cancel := kv.WithTimeout(context.WithoutCancel(ctx), l.clock, l.cfg.HoldTimeout)
	defer cancel()
	for peer, ids := range byPeer {
		l.mu.Lock()
		l.messageSequence++
		msg := Released{Origin: l.cfg.Host, Sequence: l.messageSequence, IDs: ids}
		l.mu.Unlock()
		if err := l.peers.Release(ctx, peer, msg); err != nil {
			l.cfg.Logger.Debug("ledger copies not released", "peer", peer, "records", len(ids), "error", err)
		}
	}
}

// PeerFailed replaces the copies that a failed peer held.
func (l *Ledger) PeerFailed(ctx context.Context, peer string) {
	l.mu.Lock()
	for _, e := range l.entries {
		if e.peer == peer {
			e.demotePeer(peer)
		}
	}
	l.mu.Unlock()
	l.Replicate(ctx)
}

// Replicate places copies of the records that have none, for example because no
// peer could be reached before.
func (l *Ledger) Replicate(ctx context.Context) {
	l.mu.Lock()
	var records []Record
	for _, e := range l.entries {
		if e.peer == "" {
			records = append(records, e.record)
		}
	}
	l.mu.Unlock()
	l.placeInChunks(ctx, records)
}

// Uncopied returns the number of records of which no peer is known to hold a copy.
func (l *Ledger) Uncopied() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, e := range l.entries {
		if e.peer == "" {
			n++
		}
	}
	return n
}

// maxHoldRecords is the largest number of records in one message to a peer.
const maxHoldRecords = 1000

// placeInChunks places copies of any number of records.
func (l *Ledger) placeInChunks(ctx context.Context, records []Record) {
	for chunk := range slices.Chunk(records, maxHoldRecords) {
		l.mu.Lock()
		c := l.newCopies(chunk)
		l.mu.Unlock()
		l.placeCopies(ctx, c)
	}
}
