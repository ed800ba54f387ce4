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

// Summary carries one host's own ratings to its peers. Merging summaries is
// idempotent and independent of their order: a cell replaces the earlier state of
// the same cell and host instead of being added to it. Ratings are therefore not
// counted twice if summaries are relayed or sent repeatedly.
type Summary struct {
	// Host is the host that observed the ratings.
	Host string `json:"host"`
	// Incarnation increases with every restart of the host.
	Incarnation int64 `json:"incarnation"`
	// Cells holds at most MaxSummaryCells cells.
	Cells []SummaryCell `json:"cells"`
}

// SummaryCell holds the ratings of one version, kind and depth.
type SummaryCell struct {
	// Version, Kind and Escalated identify the cell.
	Version   string `json:"v"`
	Kind      string `json:"k"`
	Escalated bool   `json:"e,omitempty"`
	// Short and Long are the discounted counts of the short and the long window.
	Short Counts `json:"fast"`
	Long  Counts `json:"slow"`
	// Generation is the number of shifts detected.
	Generation int `json:"g,omitempty"`
	// Sequence increases with every change of the cell.
	Sequence int64 `json:"s"`
	// AgeMillis is the time since the counts were last discounted. An age, unlike
	// a timestamp, needs no synchronised clocks.
	AgeMillis int64 `json:"age_ms"`
}

// peerTTL is how long the ratings of a host count after its last summary, so that
// the number of hosts by which the windows are divided follows the fleet.
const peerTTL = 10 * time.Minute

// Export returns a summary of this host's own ratings. If there are more than
// MaxSummaryCells cells, it carries those exported the longest time ago.
func (c *Chooser) Export() Summary {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evidence.export(c.clock.Now())
}

func (e *evidence) export(now time.Time) Summary {
	keys := slices.SortedFunc(maps.Keys(e.local), func(a, b cellKey) int {
		return cmp.Or(cmp.Compare(e.lastExported[a], e.lastExported[b]), compareKeys(a, b))
	})
	s := Summary{Host: e.cfg.Host, Incarnation: e.cfg.Incarnation}
	for _, key := range keys[:min(len(keys), MaxSummaryCells)] {
		local := e.local[key]
		e.exportCounter++
		e.lastExported[key] = e.exportCounter
		s.Cells = append(s.Cells, SummaryCell{
			Version: key.version, Kind: key.kind, Escalated: key.escalated,
			Short: local.short, Long: local.long, Generation: local.generation,
			Sequence: local.sequence, AgeMillis: max(0, now.Sub(local.updatedAt).Milliseconds()),
		})
	}
	return s
}

// compareKeys defines the order of cells, which makes exports reproducible.
func compareKeys(a, b cellKey) int {
	depth := map[bool]int{true: 1}
	return cmp.Or(
		cmp.Compare(a.version, b.version),
		cmp.Compare(a.kind, b.kind),
		cmp.Compare(depth[a.escalated], depth[b.escalated]),
	)
}

// Merge records another host's summary. It ignores a summary of this host or of an
// older incarnation, and cells whose sequence is not newer.
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
		return errors.Wrapf(ErrInvalid, "summary of host %q with %d cells", s.Host, len(s.Cells))
	}
	for _, cell := range s.Cells {
		for _, value := range []float64{cell.Short.Pass, cell.Short.Fail, cell.Long.Pass, cell.Long.Fail} {
			if !(value >= 0) || math.IsInf(value, 1) {
				return errors.Wrapf(ErrInvalid, "summary of host %q: count %v is negative or not finite", s.Host, value)
			}
		}
		if cell.AgeMillis < 0 || cell.Generation < 0 {
			return errors.Wrapf(ErrInvalid, "summary of host %q: negative age or generation", s.Host)
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
		e.peerOrder = slices.Sorted(maps.Keys(e.peers))
	}
	peer.receivedAt = now
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
	if !ok && len(peer.cells) >= maxCells {
		evictOldest(peer.cells, func(c cell) time.Time { return c.updatedAt })
	}
	peer.cells[key] = cell{
		short: received.Short, long: received.Long,
		generation: received.Generation, sequence: received.Sequence,
		updatedAt: now.Add(-time.Duration(received.AgeMillis) * time.Millisecond),
	}
	if local := e.local[key]; local != nil && received.Generation > local.generation {
		local.advanceGeneration(received.Generation)
		local.sequence = e.nextSequence()
		e.startRecheck(now)
	}
}

// evictOldest removes the least recently rated cell and returns its key. Of cells
// rated at the same time it removes the first in key order.
func evictOldest[C any](cells map[cellKey]C, at func(C) time.Time) cellKey {
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

// expire drops peers that have sent nothing for peerTTL.
func (e *evidence) expire(now time.Time) {
	for host, peer := range e.peers {
		if now.Sub(peer.receivedAt) > peerTTL {
			delete(e.peers, host)
			e.peerOrder = slices.Sorted(maps.Keys(e.peers))
			clear(e.cache)
		}
	}
}
