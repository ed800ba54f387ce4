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
	// maxRecentMarks bounds the recently changed marks in one message. At about
	// 60 bytes per mark it covers the requests of several crashed endpoints.
	maxRecentMarks = 128
	// MaxMarksBytes bounds the size of one message. Heartbeats drop a signal of
	// more than 8 KiB entirely, and then no mark would propagate.
	MaxMarksBytes = 8000
	// maxOlderMarks is the number of older marks in a message, in total less
	// than 400 bytes. They are sent in rotation for hosts that started after the
	// marks had propagated.
	maxOlderMarks = 6
)

// mark is the wire format of a suspect. Cleared is its lastSuccess. The hash is
// encoded as a string because JSON numbers lose precision beyond 53 bits.
type mark struct {
	Hash    Hash    `json:"h,string"`
	Crashes []crash `json:"c,omitempty"`
	Cleared int64   `json:"ok,omitempty"`
}

// Marks returns the marks for the next gossip message: those that changed
// within twice the propagation time, rejected hashes first, and a few older
// ones.
func (g *CrashGuard) Marks() (json.RawMessage, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.evict(now)
	var recent, older []mark
	for hash, s := range g.suspects {
		m := mark{Hash: hash, Crashes: s.crashes, Cleared: s.lastSuccess}
		if now.Sub(s.updated) <= 2*g.propagation {
			recent = append(recent, m)
		} else {
			older = append(older, m)
		}
	}
	slices.SortFunc(recent, compareMarks)
	recent = recent[:min(len(recent), maxRecentMarks)]
	return encodeMarks(recent, g.nextOlder(older))
}

// encodeMarks drops marks from the end of recent until the message fits into
// MaxMarksBytes. The dropped marks are sent in a later message.
func encodeMarks[M any](recent, older []M) (json.RawMessage, error) {
	for {
		data, err := json.Marshal(slices.Concat(recent, older))
		if err != nil || len(data) <= MaxMarksBytes || len(recent) == 0 {
			return data, errors.Wrap(err, "limiter: encode crash marks")
		}
		recent = recent[:len(recent)*3/4]
	}
}

// nextOlder returns the next marks to send in the rotation, in the order of
// their hashes.
func (g *CrashGuard) nextOlder(older []mark) []mark {
	if len(older) <= maxOlderMarks {
		return older
	}
	slices.SortFunc(older, func(a, b mark) int { return cmp.Compare(a.Hash, b.Hash) })
	next, _ := slices.BinarySearchFunc(older, g.lastSent, func(m mark, h Hash) int {
		if m.Hash <= h {
			return -1
		}
		return 1
	})
	sent := make([]mark, 0, maxOlderMarks)
	for i := range maxOlderMarks {
		sent = append(sent, older[(next+i)%len(older)])
	}
	g.lastSent = sent[maxOlderMarks-1].Hash
	return sent
}

// MergeMarks merges the marks received from another host. Merging is
// idempotent, and marks may arrive late, twice and in any order.
func (g *CrashGuard) MergeMarks(data json.RawMessage) error {
	var marks []mark
	if err := json.Unmarshal(data, &marks); err != nil {
		return errors.Mark(errors.Wrap(err, "limiter: crash marks"), ErrInvalidMarks)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	for _, m := range marks[:min(len(marks), maxSuspects)] {
		g.merge(m, now)
	}
	g.evict(now)
	return nil
}

func (g *CrashGuard) merge(m mark, now time.Time) {
	// A mark with a future time would be kept longer than CrashMarkTTL. The
	// clocks of hosts differ by less than crashMergeWindow.
	maxTime := now.Add(crashMergeWindow).UnixMilli()
	if m.Cleared > 0 && m.Cleared <= maxTime {
		s := g.suspects[m.Hash]
		if s == nil {
			s = &suspect{}
			g.suspects[m.Hash] = s
		}
		s.recordSuccess(m.Cleared, now)
	}
	for _, c := range m.Crashes {
		if c.At <= maxTime {
			g.addCrash(m.Hash, c, now)
		}
	}
}

func compareCrashes(a, b crash) int {
	return cmp.Or(cmp.Compare(a.At, b.At), strings.Compare(a.Endpoint, b.Endpoint))
}

// compareMarks orders rejected hashes first, then the latest crashes and
// successes first.
func compareMarks(a, b mark) int {
	return cmp.Or(
		cmp.Compare(len(b.Crashes), len(a.Crashes)),
		cmp.Compare(b.latest(), a.latest()),
		cmp.Compare(a.Hash, b.Hash),
	)
}

func (m mark) latest() int64 {
	s := suspect{crashes: m.Crashes, lastSuccess: m.Cleared}
	return s.latest()
}

// successSet is a bounded set of hashes that completed successfully within
// CrashMarkTTL.
type successSet struct {
	lru *simplelru.LRU[Hash, time.Time]
}

func newSuccessSet(size int) *successSet {
	return &successSet{lru: newLRU[time.Time](size)}
}

func (s *successSet) add(hash Hash, now time.Time) { s.lru.Add(hash, now) }

func (s *successSet) contains(hash Hash, now time.Time) bool {
	at, ok := s.lru.Peek(hash)
	return ok && now.Sub(at) < CrashMarkTTL
}
