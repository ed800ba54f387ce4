package cascade

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// MaxSummaryCells bounds the cells in one Summary, at about 100 bytes of JSON each.
const MaxSummaryCells = 64

// Summary carries one host's own evidence to other hosts. Merging is
// idempotent and ignores order: a cell replaces the earlier one of the same
// host and is never added to it, so evidence is not counted twice, also when
// summaries are relayed or repeated.
type Summary struct {
	// Host gathered the evidence.
	Host string `json:"host"`
	// Incarnation distinguishes restarts of the host.
	Incarnation int64 `json:"incarnation"`
	// Cells are the evidence, at most MaxSummaryCells.
	Cells []SummaryCell `json:"cells"`
}

// SummaryCell is the evidence on one version, kind and depth.
type SummaryCell struct {
	// Version, Kind and Escalated identify the cell.
	Version   string `json:"v"`
	Kind      string `json:"k"`
	Escalated bool   `json:"e,omitempty"`
	// Fast and Slow are the discounted counts of the two memories.
	Fast Counts `json:"fast"`
	Slow Counts `json:"slow"`
	// Generation counts the shifts seen.
	Generation int `json:"g,omitempty"`
	// Sequence orders the states of the cell.
	Sequence int64 `json:"s"`
	// AgeMillis is the time since the counts were discounted last. An age
	// needs no synchronised clocks.
	AgeMillis int64 `json:"age_ms"`
}

// peerTime is how long the evidence of a host counts after its last summary,
// so that the number of hosts the windows are divided by follows the fleet.
const peerTime = 10 * time.Minute

// Export returns a summary of this host's own evidence, the least recently
// sent cells first.
func (c *Chooser) Export() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.export(c.clock.Now())
}

func (e *evidence) export(now time.Time) Summary {
	keys := slices.SortedFunc(maps.Keys(e.own), func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(e.sent[a], e.sent[b]), compareKeys(a, b))
	})
	s := Summary{Host: e.cfg.Host, Incarnation: e.cfg.Incarnation}
	for _, key := range keys[:min(len(keys), MaxSummaryCells)] {
		own := e.own[key]
		e.cursor++
		e.sent[key] = e.cursor
		s.Cells = append(s.Cells, SummaryCell{
			Version: key.version, Kind: key.kind, Escalated: key.escalated,
			Fast: own.fast, Slow: own.slow, Generation: own.generation,
			Sequence: own.sequence, AgeMillis: max(0, now.Sub(own.at).Milliseconds()),
		})
	}
	return s
}

// compareKeys orders keys so that exports repeat exactly.
func compareKeys(a, b cellKey) int {
	depth := map[bool]int{true: 1}
	return cmp.Or(
		cmp.Compare(a.version, b.version),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(depth[a.escalated], depth[b.escalated]),
	)
}

// Merge takes in another host's summary. A summary of this host, of an older
// incarnation or with an older sequence changes nothing.
func (c *Chooser) Merge(s Summary) error {
	if err := s.validate(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evidence.merge(s, c.clock.Now())
	return nil
}

func (s Summary) validate() error {
	if s.Host == "" || len(s.Cells) > MaxSummaryCells {
		return errors.Wrapf(ErrInvalid, "summary of %q with %d cells", s.Host, len(s.Cells))
	}
	for _, cell := range s.Cells {
		for _, value := range []float64{cell.Fast.Pass, cell.Fast.Fail, cell.Slow.Pass, cell.Slow.Fail} {
			if !(value >= 0) || math.IsInf(value, 1) {
				return errors.Wrapf(ErrInvalid, "summary of %q: count %v", s.Host, value)
			}
		}
		if cell.AgeMillis < 0 || cell.Generation < 0 {
			return errors.Wrapf(ErrInvalid, "summary of %q: age or generation below zero", s.Host)
		}
	}
	return nil
}

func (e *evidence) merge(s Summary, now time.Time) {
	e.expire(now)
	if s.Host == e.cfg.Host {
		return
	}
	peer := e.peers[s.Host]
	if peer == nil && len(e.peers) >= maxPeers || peer != nil && s.Incarnation < peer.incarnation {
		return
	}
	if peer == nil || s.Incarnation > peer.incarnation {
		peer = &peerEvidence{incarnation: s.Incarnation, cells: make(map[cellKey]cell)}
		e.peers[s.Host] = peer
		e.order = slices.Sorted(maps.Keys(e.peers))
	}
	peer.at = now
	for _, received := range s.Cells {
		e.mergeCell(peer, received, now)
	}
	clear(e.cache)
}

func (e *evidence) mergeCell(peer *peerEvidence, received SummaryCell, now time.Time) {
	key := cellKey{received.Version, received.Kind, received.Escalated}
	known, ok := peer.cells[key]
	if ok && received.Sequence <= known.sequence {
		return
	}
	if !ok && len(peer.cells) >= maxOwnCells {
		dropOldest(peer.cells, func(c cell) time.Time { return c.at })
	}
	peer.cells[key] = cell{
		fast: received.Fast, slow: received.Slow,
		generation: received.Generation, sequence: received.Sequence,
		at: now.Add(-time.Duration(received.AgeMillis) * time.Millisecond),
	}
	if own := e.own[key]; own != nil && received.Generation > own.generation {
		own.raise(received.Generation)
		own.sequence = e.nextSequence()
		e.alert(now)
	}
}

// dropOldest removes the cell that was rated the longest time ago. Cells of the
// same time are dropped in the order of their keys.
func dropOldest[C any](cells map[cellKey]C, at func(C) time.Time) cellKey {
	var oldest cellKey
	var since time.Time
	for key, c := range cells {
		t := at(c)
		if since.IsZero() || t.Before(since) || t.Equal(since) && compareKeys(key, oldest) < 0 {
			oldest, since = key, t
		}
	}
	delete(cells, oldest)
	return oldest
}

// expire drops hosts that have sent nothing for peerTime.
func (e *evidence) expire(now time.Time) {
	for host, peer := range e.peers {
		if now.Sub(peer.at) > peerTime {
			delete(e.peers, host)
			e.order = slices.Sorted(maps.Keys(e.peers))
			clear(e.cache)
		}
	}
}
