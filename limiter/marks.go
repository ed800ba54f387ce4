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

const (
	// maxFresh bounds the marks of one message that changed lately. At about 60
	// bytes a mark it covers the requests of several crashed endpoints.
	maxFresh = 128
	// MaxMarksBytes bounds one message. Heartbeats drop a signal of more than
	// 8 KiB as a whole, and then no mark would spread.
	MaxMarksBytes = 8000
	// maxOlder is the number of other marks in a message, taken in rotation for
	// hosts that have started since: below 400 bytes.
	maxOlder = 6
)

// mark is the form of a suspect between hosts. The hash is text because JSON
// numbers lose precision beyond 53 bits.
type mark struct {
	Hash    Hash    `json:"h,string"`
	Crashes []crash `json:"c,omitempty"`
	Cleared int64   `json:"ok,omitempty"`
}

// Marks returns the marks for the next gossip message: those that changed
// within twice the spread time, refused hashes first, and a few older ones.
func (g *CrashGuard) Marks() (json.RawMessage, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.tidy(now)
	var fresh, older []mark
	for hash, s := range g.suspects {
		m := mark{Hash: hash, Crashes: s.crashes, Cleared: s.cleared}
		if now.Sub(s.changed) <= 2*g.spread {
			fresh = append(fresh, m)
		} else {
			older = append(older, m)
		}
	}
	slices.SortFunc(fresh, compareMark)
	fresh = fresh[:min(len(fresh), maxFresh)]
	return encodeMarks(fresh, g.rotate(older))
}

// encodeMarks leaves out the last fresh marks until the message is small
// enough; they go with a later one.
func encodeMarks(fresh, older []mark) (json.RawMessage, error) {
	for {
		data, err := json.Marshal(slices.Concat(fresh, older))
		if err != nil || len(data) <= MaxMarksBytes || len(fresh) == 0 {
			return data, errors.Wrap(err, "limiter: encode crash marks")
		}
		fresh = fresh[:len(fresh)*3/4]
	}
}

// rotate returns the next few marks in the order of their hashes.
func (g *CrashGuard) rotate(older []mark) []mark {
	if len(older) <= maxOlder {
		return older
	}
	slices.SortFunc(older, func(a, b mark) int { return cmp.Compare(a.Hash, b.Hash) })
	next, _ := slices.BinarySearchFunc(older, g.lastSent, func(m mark, h Hash) int {
		if m.Hash <= h {
			return -1
		}
		return 1
	})
	sent := make([]mark, 0, maxOlder)
	for i := range maxOlder {
		sent = append(sent, older[(next+i)%len(older)])
	}
	g.lastSent = sent[maxOlder-1].Hash
	return sent
}

// MergeMarks merges the marks of another host. Merging is idempotent, and
// marks may arrive late, twice and in any order.
func (g *CrashGuard) MergeMarks(data json.RawMessage) error {
	var marks []mark
	if err := json.Unmarshal(data, &marks); err != nil {
		return errors.Mark(errors.Wrap(err, "limiter: crash marks"), ErrInvalidMarks)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, m := range marks[:min(len(marks), maxMarks)] {
		g.merge(m, now)
	}
	g.tidy(now)
	return nil
}

func (g *CrashGuard) merge(m mark, now time.Time) {
	// A mark from the future would outlive its time; clocks differ by less.
	latest := now.Add(sameCrash).UnixMilli()
	if m.Cleared > 0 && m.Cleared <= latest {
		s := g.suspects[m.Hash]
		if s == nil {
			s = &suspect{}
			g.suspects[m.Hash] = s
		}
		s.clear(m.Cleared, now)
	}
	for _, c := range m.Crashes {
		if c.At <= latest {
			g.mark(m.Hash, c, now)
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

// provenSet is a bounded set of hashes that finished within CrashMarkTTL.
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
	return ok && now.Sub(at) < CrashMarkTTL
}
