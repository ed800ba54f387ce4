package cascade

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

func newChooser(host string, clock clockwork.Clock) *Chooser {
	return New(Config{Host: host, Kinds: []string{"k"}}, clock, rand.New(rand.NewPCG(1, 2)))
}

func fakeClock() *clockwork.FakeClock { return clockwork.NewFakeClockAt(time.Unix(0, 0)) }

// bruteForce returns the least score of all mixes of two plans. It tries every
// ordered subset of the options with a recursive definition of cost and quality.
func bruteForce(s *search, target float64) float64 {
	type point struct{ quality, score float64 }
	var points []point
	for set := 1; set < 1<<len(s.options); set++ {
		var steps []option
		for i, o := range s.options {
			if set&(1<<i) != 0 {
				steps = append(steps, o)
			}
		}
		if len(steps) > s.stepLimit || len(steps) > 1 && !s.gatesAllowed {
			continue
		}
		quality, cost := expectation(steps, true, s)
		points = append(points, point{quality, cost})
	}
	best, highest, fallback := math.Inf(1), -1.0, 0.0
	for _, a := range points {
		if a.quality > highest || a.quality == highest && a.score < fallback {
			highest, fallback = a.quality, a.score
		}
		for _, b := range points {
			for _, share := range []float64{1, (target - b.quality) / (a.quality - b.quality)} {
				if share >= 0 && share <= 1 && share*a.quality+(1-share)*b.quality >= target-1e-12 {
					best = min(best, share*a.score+(1-share)*b.score)
				}
			}
		}
	}
	if math.IsInf(best, 1) {
		return fallback
	}
	return best
}

// expectation returns the expected quality and score of a plan.
func expectation(steps []option, first bool, s *search) (quality, score float64) {
	pass, mean := steps[0].laterPass, steps[0].laterMean
	if first {
		pass, mean = steps[0].firstPass, steps[0].firstMean
	}
	score = s.priceMultiplier * steps[0].Cost
	if len(steps) == 1 {
		return pass, score
	}
	q, c := expectation(steps[1:], false, s)
	return s.arrivedFraction*pass + (1-s.arrivedFraction*pass)*q, score + s.ratingPrice + (1-s.arrivedFraction*mean)*c
}

// TestBestMatchesBruteForce guards against a plan search that misses a cheaper plan
// or mix, or that counts the cost of a step that is not reached.
func TestBestMatchesBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Multiples of 1/16 keep the products exact, and none of these products equals
		// the target, so rounding cannot decide whether a plan meets it.
		unit := rapid.Map(rapid.IntRange(0, 16), func(n int) float64 { return float64(n) / 16 })
		s := &search{stepLimit: 3, arrivedFraction: unit.Draw(t, "arrived"), priceMultiplier: 1 + 4*unit.Draw(t, "multiplier"),
			ratingPrice: unit.Draw(t, "price"), gatesAllowed: rapid.Bool().Draw(t, "gates")}
		for i := range rapid.IntRange(1, 5).Draw(t, "n") {
			first, later := unit.Draw(t, "first"), unit.Draw(t, "later")
			s.options = append(s.options, option{Candidate: Candidate{Cost: float64(i + 1)},
				firstPass: first, firstMean: first, laterPass: later, laterMean: later})
		}
		target := float64(rapid.IntRange(0, 999).Draw(t, "target"))/1000 + 0.00037
		want := bruteForce(s, target)
		s.enumerate(path{}, 0)
		if got := s.best(target).score; math.Abs(got-want) > 1e-9 {
			t.Fatalf("best score %v, want %v as by brute force", got, want)
		}
	})
}

// TestPlanRespectsLimits guards against plans that use a version which is not a
// candidate, that miss a deadline which some version meets, or that have a gate when
// no rating is available.
func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fakeClock()
		c := newChooser("a", clock)
		c.bucket.tokens = rapid.SampledFrom([]float64{0, 0.5, 100}).Draw(t, "tokens")
		gates := c.bucket.tokens >= 1
		r := Request{Kind: "k", QualityTarget: rapid.Float64Range(0, 1).Draw(t, "target"),
			TimeLeft: time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond}
		allowed, fits := map[string]bool{}, false
		for i := range rapid.IntRange(1, 6).Draw(t, "n") {
			latency := time.Duration(rapid.IntRange(1, 3000).Draw(t, "latency")) * time.Millisecond
			r.Candidates = append(r.Candidates, Candidate{Version: fmt.Sprint(i), Cost: rapid.Float64Range(0, 20).Draw(t, "cost"),
				PriorPassRate: rapid.Float64Range(0.1, 1).Draw(t, "rate"), Latency: latency})
			allowed[fmt.Sprint(i)] = true
			fits = fits || latency.Seconds()*defaultP95Ratio <= r.TimeLeft.Seconds()
		}
		plan, err := c.Plan(r)
		if err != nil {
			t.Fatal(err)
		}
		for i, step := range plan.Steps {
			if !allowed[step.Version] {
				t.Fatalf("step %d uses %q, which is not a candidate or is used twice", i, step.Version)
			}
			delete(allowed, step.Version)
		}
		if fits && plan.P95 > r.TimeLeft {
			t.Fatalf("p95 %s exceeds the deadline %s: %s", plan.P95, r.TimeLeft, plan.Explain())
		}
		if len(plan.Steps) > 1 && !gates {
			t.Fatalf("plan has a gate though no rating is available: %s", plan.Explain())
		}
	})
}

// TestPoolingCountsRatingsOnce guards against ratings that are counted twice or lost when
// summaries are repeated, reordered, relayed or sent after a restart.
func TestPoolingCountsRatingsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fakeClock()
		hosts := []*Chooser{newChooser("a", clock), newChooser("b", clock), newChooser("c", clock)}
		for _, h := range hosts {
			h.cfg.ShortWindow, h.cfg.LongWindow = 1e9, 1e9
			h.evidence = newEvidence(h.cfg)
		}
		ratings := make([]float64, len(hosts))
		var sent []Summary
		host := rapid.IntRange(0, len(hosts)-1)
		t.Repeat(map[string]func(*rapid.T){
			"rate": func(t *rapid.T) {
				h := host.Draw(t, "host")
				hosts[h].ObserveRating(Rating{Version: "v", Kind: "k", Passed: true})
				ratings[h]++
			},
			"export": func(t *rapid.T) { sent = append(sent, hosts[host.Draw(t, "host")].Export()) },
			"merge": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				s := rapid.SampledFrom(sent).Draw(t, "summary")
				if err := hosts[host.Draw(t, "to")].Merge(s); err != nil {
					t.Fatal(err)
				}
			},
			"restart": func(t *rapid.T) {
				h := host.Draw(t, "host")
				cfg := hosts[h].cfg
				cfg.Incarnation++
				hosts[h] = New(cfg, clock, rand.New(rand.NewPCG(1, 2)))
				ratings[h] = 0
			},
			"": func(t *rapid.T) {
				total := 0.0
				for h := range hosts {
					s := hosts[h].Export()
					for _, to := range hosts {
						if err := to.Merge(s); err != nil {
							t.Fatal(err)
						}
					}
					total += ratings[h]
				}
				for _, stale := range sent {
					if err := hosts[0].Merge(stale); err != nil {
						t.Fatal(err)
					}
				}
				for _, h := range hosts {
					_, long, _ := h.evidence.pool(cellKey{"v", "k", false}, clock.Now())
					if math.Abs(long.total()-total) > 1e-3 {
						t.Fatalf("pooled %v ratings, want %v", long.total(), total)
					}
				}
			},
		})
	})
}

// TestEstimateFollowsShift guards against a long window that hides a shift of the pass
// rate, on the host that observes the ratings and on one that only merges summaries.
func TestEstimateFollowsShift(t *testing.T) {
	clock := fakeClock()
	a, b := newChooser("a", clock), newChooser("b", clock)
	rnd := rand.New(rand.NewPCG(7, 7))
	rate := func(n int, pass float64) {
		for range n {
			clock.Advance(100 * time.Millisecond)
			a.ObserveRating(Rating{Version: "v", Kind: "k", Passed: rnd.Float64() < pass})
		}
	}
	rate(5000, 0.9)
	rate(500, 0.5)
	if err := b.Merge(a.Export()); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]*Chooser{"a": a, "b": b} {
		if mean, _ := c.evidence.estimate(cellKey{"v", "k", false}, 0.9, clock.Now()); math.Abs(mean-0.5) > 0.1 {
			t.Errorf("host %s estimates a pass rate of %.3f after 500 ratings at 0.5, want 0.4 to 0.6 (seed 7)", name, mean)
		}
	}
}

// TestFullEvidenceAcceptsNewVersions guards against a long-running host that
// records nothing about new versions once it holds maxCells, of its own or of a
// peer.
func TestFullEvidenceAcceptsNewVersions(t *testing.T) {
	clock := fakeClock()
	a, b, partial := newChooser("a", clock), newChooser("b", clock), newChooser("c", clock)
	for i := range maxCells + 100 {
		clock.Advance(100 * time.Millisecond)
		a.ObserveRating(Rating{Version: fmt.Sprint(i), Kind: "k", Passed: true})
		if i == 0 {
			if err := partial.Merge(a.Export()); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.Merge(a.Export()); err != nil {
			t.Fatal(err)
		}
	}
	// The cell of version 0 has been evicted. A new rating of it must reach the
	// peers.
	a.ObserveRating(Rating{Version: "0", Kind: "k"})
	summary := a.Export()
	if err := errors.CombineErrors(b.Merge(summary), partial.Merge(summary)); err != nil {
		t.Fatal(err)
	}
	if _, long, _ := partial.evidence.pool(cellKey{"0", "k", false}, clock.Now()); long.Fail != 1 {
		t.Errorf("host that kept the evicted cell has %+v, want one failed rating", long)
	}
	for name, c := range map[string]*Chooser{"a": a, "b": b} {
		for _, version := range []string{"0", "500", fmt.Sprint(maxCells + 99)} {
			_, long, _ := c.evidence.pool(cellKey{version, "k", false}, clock.Now())
			if math.Abs(long.total()-1) > 0.1 || version == "0" && long.Fail != 1 {
				t.Errorf("host %s has %+v for version %s, want one rating", name, long, version)
			}
		}
	}
	if len(a.evidence.local) > maxCells || len(b.evidence.peers["a"].cells) > maxCells {
		t.Errorf("%d local and %d peer cells, want at most maxCells each", len(a.evidence.local), len(b.evidence.peers["a"].cells))
	}
}

// TestSamplingAfterShift guards against estimates that are not rated again after
// another version has shifted, and against samples that use the last ratings,
// which gates need.
func TestSamplingAfterShift(t *testing.T) {
	clock := fakeClock()
	c := newChooser("a", clock)
	for range 3000 {
		clock.Advance(100 * time.Millisecond)
		c.ObserveRating(Rating{Version: "other", Kind: "k", Passed: true})
		c.ObserveRating(Rating{Version: "v", Kind: "k", Passed: true})
	}
	share := func() float64 {
		sampled := 0
		for range 1000 {
			if c.sampleMode(cellKey{"v", "k", false}, 0.001) == RatingSample {
				sampled++
			}
		}
		return float64(sampled) / 1000
	}
	c.bucket.refilledAt = clock.Now()
	if got := share(); got > 2*sampleShareMin {
		t.Errorf("share %v of the answers sampled for a version with many ratings, want at most twice sampleShareMin", got)
	}
	for range 40 {
		c.ObserveRating(Rating{Version: "other", Kind: "k", Passed: false})
	}
	if got := share(); got < 0.9 {
		t.Errorf("share %v of the answers sampled after another version shifted, want at least 0.9", got)
	}
	c.bucket.tokens = 0
	if got := share(); got != 0 {
		t.Errorf("share %v of the answers sampled with an empty bucket, want 0", got)
	}
}

// TestGateTimeoutFollowsRatingLatency guards against a gate whose timeout is zero before
// the first rating, or too short once the rating service becomes slower. No rating
// would then arrive in time, the latency estimate would never be updated, and every
// answer would escalate.
func TestGateTimeoutFollowsRatingLatency(t *testing.T) {
	c := newChooser("a", fakeClock())
	for n, service := range []time.Duration{time.Millisecond, 80 * time.Millisecond} {
		missing := 0
		for range 200 {
			plan, err := c.Plan(Request{Kind: "k", QualityTarget: 0.9, Candidates: []Candidate{
				{Version: "small", Cost: 1, PriorPassRate: 0.8}, {Version: "large", Cost: 15, PriorPassRate: 0.99}}})
			if err != nil {
				t.Fatal(err)
			}
			timeout := plan.Steps[0].RatingTimeout
			if timeout < service {
				missing++
			}
			c.ObserveGate(min(service, timeout), timeout >= service)
			c.bucket.tokens = c.bucket.burst
		}
		if missing > 0 {
			t.Errorf("rating service %d: %d of 200 ratings missed the timeout, want 0", n, missing)
		}
	}
}

// TestPlanIsCheaperNearPeak guards against a price multiplier without effect: when ratings
// are scarce, plans near the cost peak must start with a cheaper version.
func TestPlanIsCheaperNearPeak(t *testing.T) {
	cost := func(multiplier float64) float64 {
		c := newChooser("a", fakeClock())
		c.bucket.integral = 0.9
		plan, err := c.Plan(Request{Kind: "k", QualityTarget: 0.9, PriceMultiplier: multiplier, Candidates: []Candidate{
			{Version: "small", Cost: 6, PriorPassRate: 0.8}, {Version: "large", Cost: 15, PriorPassRate: 0.99}}})
		if err != nil {
			t.Fatal(err)
		}
		return plan.Cost
	}
	if normal, peak := cost(1), cost(10); peak >= normal {
		t.Errorf("cost %v near the peak, want less than the normal %v", peak, normal)
	}
}

// TestInvalidInput guards against panics on invalid input, and against invalid
// values in the estimates.
func TestInvalidInput(t *testing.T) {
	c := newChooser("a", fakeClock())
	if _, err := c.Plan(Request{}); !errors.Is(err, ErrNoCandidate) {
		t.Errorf("request without candidates: got %v, want ErrNoCandidate", err)
	}
	for _, r := range []Request{{QualityTarget: math.NaN()}, {QualityTarget: 2}, {PriceMultiplier: -1}} {
		r.Candidates = []Candidate{{Version: "v"}}
		if _, err := c.Plan(r); !errors.Is(err, ErrInvalid) {
			t.Errorf("request %+v: got %v, want ErrInvalid", r, err)
		}
	}
	var s Summary
	if err := json.Unmarshal([]byte(`{"host":"b","cells":[{"v":"v","slow":{"p":-1}}]}`), &s); err != nil {
		t.Fatal(err)
	}
	if err := c.Merge(s); !errors.Is(err, ErrInvalid) {
		t.Errorf("summary with a negative count: got %v, want ErrInvalid", err)
	}
}

// TestConcurrentUse guards against data races on the request path.
func TestConcurrentUse(t *testing.T) {
	c, d := newChooser("a", fakeClock()), newChooser("b", fakeClock())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 200 {
				plan, err := c.Plan(Request{Kind: "k", QualityTarget: 0.9, Candidates: []Candidate{{Version: "v", Cost: 1}, {Version: "w", Cost: 5}}})
				if err != nil || plan.Explain() == "" {
					t.Errorf("plan: %v", err)
				}
				d.ObserveRating(Rating{Version: "v", Kind: "k", Passed: i%2 == 0})
				c.ObserveLatency("v", time.Second)
				c.ObserveGate(time.Second, true)
				if err := c.Merge(d.Export()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

func BenchmarkPlan(b *testing.B) {
	c := newChooser("a", clockwork.NewRealClock())
	r := Request{Kind: "k", QualityTarget: 0.95, TimeLeft: 10 * time.Second}
	for i := range 10 {
		r.Candidates = append(r.Candidates, Candidate{Version: fmt.Sprint(i), Cost: float64(1 + i), PriorPassRate: 0.5 + 0.04*float64(i), Latency: 100 * time.Millisecond})
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Plan(r); err != nil {
			b.Fatal(err)
		}
	}
}
