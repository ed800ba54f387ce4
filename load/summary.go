package load

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
)

// Range and precision of the latency histograms.
const (
	lowestLatency  = int64(time.Microsecond)
	highestLatency = int64(time.Hour)
	latencyDigits  = 3
)

// group is the key of one line of the summary.
type group struct{ team, rank string }

type groupStats struct {
	latency    *hdrhistogram.Histogram
	firstToken *hdrhistogram.Histogram
	outcomes   map[string]int
	cost       float64
}

// Summary counts outcomes and latencies by team and rank.
type Summary struct {
	groups map[group]*groupStats
}

// NewSummary returns an empty summary.
func NewSummary() *Summary { return &Summary{groups: make(map[group]*groupStats)} }

// Add counts one record. Latencies beyond an hour count as an hour.
func (s *Summary) Add(r Record) error {
	key := group{r.Team, r.Rank}
	g := s.groups[key]
	if g == nil {
		g = &groupStats{
			latency:    hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
			firstToken: hdrhistogram.New(lowestLatency, highestLatency, latencyDigits),
			outcomes:   make(map[string]int),
		}
		s.groups[key] = g
	}
	g.outcomes[r.Outcome]++
	g.cost += r.Cost
	if r.Outcome != OutcomeAnswered {
		return nil
	}
	if err := g.latency.RecordValue(min(int64(r.Latency), highestLatency)); err != nil {
		return errors.Wrap(err, "load: record latency")
	}
	if r.FirstToken == 0 {
		return nil
	}
	return errors.Wrap(g.firstToken.RecordValue(min(int64(r.FirstToken), highestLatency)), "load: record first token")
}

// Outcomes returns the number of requests by outcome over all groups.
func (s *Summary) Outcomes() map[string]int {
	out := make(map[string]int)
	for _, g := range s.groups {
		for o, n := range g.outcomes {
			out[o] += n
		}
	}
	return out
}

// Write prints the summary as a table; latencies are in milliseconds.
func (s *Summary) Write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "TEAM\tRANK\tP50_MS\tP95_MS\tP99_MS\tMAX_MS\tFIRST_TOKEN_P95_MS\tCOST\tOUTCOMES")
	keys := slices.SortedFunc(maps.Keys(s.groups), func(a, b group) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.rank, b.rank))
	})
	for _, k := range keys {
		g := s.groups[k]
		fmt.Fprintf(w, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.2f\t", k.team, k.rank,
			ms(g.latency.ValueAtQuantile(50)), ms(g.latency.ValueAtQuantile(95)), ms(g.latency.ValueAtQuantile(99)),
			ms(g.latency.Max()), ms(g.firstToken.ValueAtQuantile(95)), g.cost)
		for _, o := range slices.Sorted(maps.Keys(g.outcomes)) {
			fmt.Fprintf(w, "%s=%d ", o, g.outcomes[o])
		}
		fmt.Fprintln(w)
	}
	return errors.Wrap(w.Flush(), "load: write summary")
}

func ms(ns int64) float64 { return float64(ns) / float64(time.Millisecond) }
