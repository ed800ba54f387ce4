package limiter

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxGossip bounds the marks of one message; the newest are sent. At about 60
// bytes a mark, one message is at most 8 KB, and the marks of one crash fit.
const maxGossip = 128

// mark is the form of a suspect between hosts. The hash is text because JSON
// numbers lose precision beyond 53 bits.
type mark struct {
	Hash    Hash    `json:"h,string"`
	Crashes []crash `json:"c,omitempty"`
	Cleared int64   `json:"ok,omitempty"`
}

// Marks returns the newest marks for the next gossip message.
func (g *CrashGuard) Marks() (json.RawMessage, error) {
	g.mu.Lock()
	g.tidy(g.clock.Now())
	marks := make([]mark, 0, len(g.suspects))
	for hash, s := range g.suspects {
		marks = append(marks, mark{Hash: hash, Crashes: slices.Clone(s.crashes), Cleared: s.cleared})
	}
	g.mu.Unlock()
	slices.SortFunc(marks, compareMark)
	if len(marks) > maxGossip {
		marks = marks[:maxGossip]
	}
	return json.Marshal(marks)
}

// ObserveMarks merges the marks of another host. Merging is idempotent, and
// marks may arrive late, twice and in any order.
func (g *CrashGuard) ObserveMarks(data json.RawMessage) error {
	var marks []mark
	if err := json.Unmarshal(data, &marks); err != nil {
		return errors.Mark(errors.Wrap(err, "limiter: crash marks"), ErrMarks)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	// A mark from the future would outlive its time; clocks differ by less.
	latest := now.Add(sameCrash).UnixMilli()
	for _, m := range marks[:min(len(marks), maxMarks)] {
		g.merge(m, latest)
	}
	g.tidy(now)
	return nil
}

func (g *CrashGuard) merge(m mark, latest int64) {
	if m.Cleared > 0 && m.Cleared <= latest {
		s := g.suspects[m.Hash]
		if s == nil {
			s = &suspect{}
			g.suspects[m.Hash] = s
		}
		s.clear(m.Cleared)
	}
	for _, c := range m.Crashes {
		if c.At <= latest {
			g.mark(m.Hash, c)
		}
	}
}

func compareCrash(a, b crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Endpoint, b.Endpoint))
}

// compareMark puts refused hashes first, then the newest.
func compareMark(a, b mark) int {
	return cmp.Or(
		cmp.Compare(len(b.Crashes), len(a.Crashes)),
		cmp.Compare(b.newest(), a.newest()),
		cmp.Compare(a.Hash, b.Hash),
	)
}

func (m mark) newest() int64 {
	s := suspect{crashes: m.Crashes, cleared: m.Cleared}
	return s.latest()
}

// provenSet is a bounded set of hashes that finished within CrashRefusal.
type provenSet struct {
	lru *simplelru.LRU[Hash, time.Time]
}

func newProvenSet(size int) *provenSet {
	lru, err := simplelru.NewLRU[Hash, time.Time](size, nil)
	if err != nil {
		panic(err) // only for a size below 1, which is a constant
	}
	return &provenSet{lru: lru}
}

func (p *provenSet) add(hash Hash, now time.Time) { p.lru.Add(hash, now) }

func (p *provenSet) contains(hash Hash, now time.Time) bool {
	at, ok := p.lru.Peek(hash)
	return ok && now.Sub(at) < CrashRefusal
}
