package limiter

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// recentPartMarks is how long after its last change a part is sent to the other
	// hosts. Rejected parts are sent as long as they are rejected, for hosts that have
	// just started.
	recentPartMarks = 5 * time.Second
	// proofTolerance is the least difference between two proofs of one part that
	// counts. The way from host to host makes a proof look later than it was.
	proofTolerance = time.Second
)

// partMark is the wire format of a partSuspect. Ages are in milliseconds. Hashes are
// encoded as strings because JSON numbers lose precision beyond 53 bits.
type partMark struct {
	Part      Hash            `json:"p,string"`
	ProvenAge *int64          `json:"ok,omitempty"`
	Trials    int             `json:"t,omitempty"`
	Crashes   []partCrashMark `json:"c,omitempty"`
}

type partCrashMark struct {
	Endpoint Hash  `json:"e,string"`
	Number   int   `json:"n,omitempty"`
	Age      int64 `json:"a"`
}

// Marks returns the crashes and proofs to send to another host: those of rejected
// parts, then those that changed recently, up to MaxMarksBytes.
func (g *PartGuard) Marks() (json.RawMessage, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.expire(now)
	g.evaluate(now)
	parts := g.partsToSend(now)
	marks := make([]partMark, 0, len(parts))
	for _, part := range parts {
		marks = append(marks, g.suspects[part].mark(part, now))
	}
	return encodeMarks(marks, nil)
}

// partsToSend returns the rejected parts and those that changed recently, the most
// important ones first. The caller holds the lock.
func (g *PartGuard) partsToSend(now time.Time) []Hash {
	rejected := make(map[Hash]bool)
	for _, group := range *g.rejected.Load() {
		for _, part := range group.parts {
			rejected[part] = true
		}
	}
	var parts []Hash
	for part, s := range g.suspects {
		if rejected[part] || now.Sub(s.updated) <= recentPartMarks {
			parts = append(parts, part)
		}
	}
	slices.SortFunc(parts, func(a, b Hash) int {
		if rejected[a] != rejected[b] {
			if rejected[a] {
				return -1
			}
			return 1
		}
		return cmp.Or(g.suspects[b].updated.Compare(g.suspects[a].updated), cmp.Compare(a, b))
	})
	return parts
}

func (s *partSuspect) mark(part Hash, now time.Time) partMark {
	m := partMark{Part: part, Trials: s.trials}
	if !s.provenAt.IsZero() {
		age := now.Sub(s.provenAt).Milliseconds()
		m.ProvenAge = &age
	}
	for _, c := range s.crashes {
		if c.at.After(s.provenAt) {
			m.Crashes = append(m.Crashes, partCrashMark{Endpoint: c.endpoint, Number: c.number, Age: now.Sub(c.at).Milliseconds()})
		}
	}
	return m
}

// MergeMarks merges the marks of another host. Merging is idempotent, and marks may
// arrive late, twice and in any order.
func (g *PartGuard) MergeMarks(data json.RawMessage) error {
	var marks []partMark
	if err := json.Unmarshal(data, &marks); err != nil {
		return errors.Mark(errors.Wrap(err, "limiter: part marks"), ErrInvalidMarks)
	}
	if len(marks) == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, m := range marks[:min(len(marks), maxPartSuspects)] {
		g.merge(m, now)
	}
	if len(g.suspects) > maxPartSuspects {
		g.expire(now)
	}
	g.evaluate(now)
	return nil
}

func (g *PartGuard) merge(m partMark, now time.Time) {
	for _, c := range m.Crashes {
		age := time.Duration(c.Age) * time.Millisecond
		if age < 0 || age >= CrashMarkTTL {
			continue
		}
		crash := partCrash{endpoint: c.Endpoint, number: c.Number, at: now.Add(-age)}
		if g.addCrash(m.Part, crash, now) {
			g.attribute(crash, now)
		}
	}
	s := g.suspects[m.Part]
	if s == nil {
		return
	}
	s.trials = max(s.trials, m.Trials)
	if m.ProvenAge == nil || *m.ProvenAge < 0 {
		return
	}
	provenAt := now.Add(-time.Duration(*m.ProvenAge) * time.Millisecond)
	if provenAt.Sub(s.provenAt) > proofTolerance {
		s.prove(provenAt, now)
	}
}
