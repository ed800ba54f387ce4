package limiter

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// partRecord is the stored form of the rejected parts, for hosts that start while no
// other host is left to tell them. Marks hold ages as of WrittenMS, in Unix
// milliseconds.
type partRecord struct {
	WrittenMS int64      `json:"written_ms"`
	Rejected  []Hash     `json:"rejected"`
	Marks     []partMark `json:"marks"`
}

// Rejected returns the parts that are rejected, alone or together with others, in
// order.
func (g *PartGuard) Rejected() []Hash {
	var parts []Hash
	for _, group := range *g.rejected.Load() {
		parts = append(parts, group.parts...)
	}
	slices.Sort(parts)
	return parts
}

// Record returns the rejected parts with their crashes, to be stored.
func (g *PartGuard) Record() ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	record := partRecord{WrittenMS: now.UnixMilli(), Rejected: g.Rejected()}
	for _, part := range record.Rejected {
		if s := g.suspects[part]; s != nil {
			record.Marks = append(record.Marks, s.mark(part, now))
		}
	}
	data, err := json.Marshal(record)
	return data, errors.Wrap(err, "limiter: encode part record")
}

// Restore merges a stored record and returns the parts that it rejects.
func (g *PartGuard) Restore(data []byte) ([]Hash, error) {
	var record partRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "limiter: part record"), ErrInvalidMarks)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	// If the clocks of the hosts disagree, the record may seem to be from the future.
	age := max(0, now.Sub(time.UnixMilli(record.WrittenMS))).Milliseconds()
	for _, m := range record.Marks {
		for i := range m.Crashes {
			m.Crashes[i].Age += age
		}
		if m.ProvenAge != nil {
			*m.ProvenAge += age
		}
		g.merge(m, now)
	}
	g.expire(now)
	g.evaluate(now)
	return record.Rejected, nil
}
