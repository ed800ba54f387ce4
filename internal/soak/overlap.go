package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// maxOverlap is the time for which two endpoints may work on a stream at once.
const maxOverlap = 400 * time.Millisecond

// Span is a time in which a host was disturbed. To is zero while it lasts.
type Span struct{ From, To time.Time }

// meets reports whether the span has a moment in common with a time.
func (s Span) meets(from, to time.Time) bool {
	return !s.From.After(to) && (s.To.IsZero() || !s.To.Before(from))
}

// spans records the times in which something lasts. The zero value is ready for use.
type spans struct {
	mu   sync.Mutex
	list []Span
}

// begin begins a span unless one lasts.
func (s *spans) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lasts() {
		s.list = append(s.list, Span{From: time.Now()})
	}
}

// end ends the span that lasts, if any.
func (s *spans) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lasts() {
		s.list[len(s.list)-1].To = time.Now()
	}
}

// lasts reports whether a span lasts. The caller holds mu.
func (s *spans) lasts() bool { return len(s.list) > 0 && s.list[len(s.list)-1].To.IsZero() }

// ongoing reports whether a span lasts.
func (s *spans) ongoing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lasts()
}

func (s *spans) all() []Span {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Span(nil), s.list...)
}

// Disturbances are the times in which a host could not act on the runs that it had sent.
type Disturbances struct {
	Host string
	// Down are the times in which its process was paused or had ended, or was told to end.
	Down []Span
	// Unlinked are the times in which it did not reach the endpoints.
	Unlinked []Span
}

// excuse reports whether the host could not end a run that it had sent before the stream went on
// elsewhere at a time: it did not reach the endpoints, or was not up for the whole contactBound.
func (d Disturbances) excuse(at time.Time) bool {
	for _, s := range d.Down {
		if s.meets(at.Add(-contactBound), at.Add(maxOverlap)) {
			return true
		}
	}
	for _, s := range d.Unlinked {
		if s.meets(at, at.Add(maxOverlap)) {
			return true
		}
	}
	return false
}

// checkOverlaps returns a violation for each stream that went on at an endpoint while one
// before still worked on it, though the host that had sent it there could end that.
func (h *History) checkOverlaps(runs map[string][]platformtest.Run) []string {
	var violations []string
	for _, id := range slices.Sorted(maps.Keys(runs)) {
		ran := runs[id]
		if !strings.HasPrefix(ran[0].Path, platformtest.StreamPath) {
			continue
		}
		slices.SortFunc(ran, func(a, b platformtest.Run) int { return a.At.Compare(b.At) })
		for i, a := range ran {
			for _, b := range ran[i+1:] {
				if h.overlap(a, b) {
					violations = append(violations, h.describeOverlap(a, b))
				}
			}
		}
	}
	return violations
}

// overlap reports whether a stream went on at another endpoint with run b while the one before
// still worked on run a, and nothing excuses the host that had sent it there.
func (h *History) overlap(a, b platformtest.Run) bool {
	return a.Endpoint != b.Endpoint && platformtest.Overlap(a, b) > maxOverlap && !h.Disturbances[a.Source].excuse(b.At)
}

func (h *History) describeOverlap(a, b platformtest.Run) string {
	return fmt.Sprintf("%s ran at %s, sent by %s, and from %v later on at %s, sent by %s, at once for %v",
		a.Attempt, a.Endpoint, h.Disturbances[a.Source].Host, b.At.Sub(a.At).Round(time.Millisecond),
		b.Endpoint, h.Disturbances[b.Source].Host, platformtest.Overlap(a, b).Round(time.Millisecond))
}
