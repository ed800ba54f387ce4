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

// bruteForce returns the least score of all mixes of two plans by trying every
// ordered subset with a recursive definition of cost and quality.
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
		if len(steps) > s.limit || len(steps) > 1 && !s.gates {
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

func expectation(steps []option, first bool, s *search) (quality, score float64) {
	pass, mean := steps[0].later, steps[0].laterMean
	if first {
		pass, mean = steps[0].first, steps[0].firstMean
	}
	score = s.multiplier * steps[0].Cost
	if len(steps) == 1 {
		return pass, score
	}
	q, c := expectation(steps[1:], false, s)
	return s.arrived*pass + (1-s.arrived*pass)*q, score + s.ratingPrice + (1-s.arrived*mean)*c
}

// TestBestMatchesBruteForce guards against a search that misses a cheaper plan
// or mix, or counts the cost of a step that is not reached.
func TestBestMatchesBruteForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Multiples of 1/16 keep the products exact, and no such product equals
		// the target, so rounding cannot decide whether a plan meets it.
		unit := rapid.Map(rapid.IntRange(0, 16), func(n int) float64 { return float64(n) / 16 })
		s := &search{limit: 3, arrived: unit.Draw(t, "arrived"), multiplier: 1 + 4*unit.Draw(t, "multiplier"),
			ratingPrice: unit.Draw(t, "price"), gates: rapid.Bool().Draw(t, "gates")}
		for i := range rapid.IntRange(1, 5).Draw(t, "n") {
			first, later := unit.Draw(t, "first"), unit.Draw(t, "later")
			s.options = append(s.options, option{Candidate: Candidate{Cost: float64(i + 1)},
				first: first, firstMean: first, later: later, laterMean: later})
		}
		target := float64(rapid.IntRange(0, 999).Draw(t, "target"))/1000 + 0.00037
		want := bruteForce(s, target)
		s.enumerate(path{}, 0)
		if got := s.best(target).score; math.Abs(got-want) > 1e-9 {
			t.Fatalf("score %v, brute force %v", got, want)
		}
	})
}

// TestPlanRespectsLimits guards against plans that use a version that is not
// allowed, miss a deadline that some version meets, or gate without ratings.
func TestPlanRespectsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fakeClock()
		c := newChooser("a", clock)
		c.bucket.tokens = rapid.SampledFrom([]float64{0, 0.5, 100}).Draw(t, "tokens")
		gates := c.bucket.tokens >= 1
		r := Request{Kind: "k", QualityTarget: rapid.Float64Range(0, 1).Draw(t, "target"),
			Deadline: time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond}
		allowed, fits := map[string]bool{}, false
		for i := range rapid.IntRange(1, 6).Draw(t, "n") {
			latency := time.Duration(rapid.IntRange(1, 3000).Draw(t, "latency")) * time.Millisecond
			r.Candidates = append(r.Candidates, Candidate{Version: fmt.Sprint(i), Cost: rapid.Float64Range(0, 20).Draw(t, "cost"),
				PriorPassRate: rapid.Float64Range(0.1, 1).Draw(t, "rate"), Latency: latency})
			allowed[fmt.Sprint(i)] = true
			fits = fits || latency.Seconds()*undeclaredSpread <= r.Deadline.Seconds()
		}
		plan, err := c.Plan(r)
		if err != nil {
			t.Fatal(err)
		}
		for i, step := range plan.Steps {
			if !allowed[step.Version] {
				t.Fatalf("step %d uses %q", i, step.Version)
			}
			delete(allowed, step.Version)
		}
		if fits && plan.P95 > r.Deadline {
			t.Fatalf("p95 %s over the deadline %s: %s", plan.P95, r.Deadline, plan.Explain())
		}
		if len(plan.Steps) > 1 && !gates {
			t.Fatalf("gate without a rating: %s", plan.Explain())
		}
	})
}

// TestPoolingCountsOnce guards against evidence counted twice or dropped when
// summaries are repeated, reordered, relayed or sent after a restart.
func TestPoolingCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fakeClock()
		hosts := []*Chooser{newChooser("a", clock), newChooser("b", clock), newChooser("c", clock)}
		for _, h := range hosts {
			h.cfg.FastWindow, h.cfg.SlowWindow = 1e9, 1e9
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
					_, slow, _ := h.evidence.pool(cellKey{"v", "k", false}, clock.Now())
					if math.Abs(slow.n()-total) > 1e-3 {
						t.Fatalf("pooled %v ratings, want %v", slow.n(), total)
					}
				}
			},
		})
	})
}

// TestShiftIsRecovered guards against a long memory that hides a shift, on the
// host that sees the ratings and on one that only gets summaries.
func TestShiftIsRecovered(t *testing.T) {
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
			t.Errorf("host %s estimates %.3f after 500 ratings at 0.5, seed 7", name, mean)
		}
	}
}

// TestBoundsKeepLearning guards against a long-lived host that learns nothing
// about new versions, its own or another host's, once its bounds are reached.
func TestBoundsKeepLearning(t *testing.T) {
	clock := fakeClock()
	a, b, late := newChooser("a", clock), newChooser("b", clock), newChooser("c", clock)
	for i := range maxOwnCells + 100 {
		clock.Advance(100 * time.Millisecond)
		a.ObserveRating(Rating{Version: fmt.Sprint(i), Kind: "k", Passed: true})
		if i == 0 {
			if err := late.Merge(a.Export()); err != nil {
				t.Fatal(err)
			}
		}
		if err := b.Merge(a.Export()); err != nil {
			t.Fatal(err)
		}
	}
	// Version 0 was dropped; what is learned of it again must arrive.
	a.ObserveRating(Rating{Version: "0", Kind: "k"})
	summary := a.Export()
	if err := errors.CombineErrors(b.Merge(summary), late.Merge(summary)); err != nil {
		t.Fatal(err)
	}
	if _, slow, _ := late.evidence.pool(cellKey{"0", "k", false}, clock.Now()); slow.Fail != 1 {
		t.Errorf("a host that kept the dropped cell knows %+v", slow)
	}
	for name, c := range map[string]*Chooser{"a": a, "b": b} {
		for _, version := range []string{"0", "500", fmt.Sprint(maxOwnCells + 99)} {
			_, slow, _ := c.evidence.pool(cellKey{version, "k", false}, clock.Now())
			if math.Abs(slow.n()-1) > 0.1 || version == "0" && slow.Fail != 1 {
				t.Errorf("host %s knows %+v of version %s", name, slow, version)
			}
		}
	}
	if len(a.evidence.own) > maxOwnCells || len(b.evidence.peers["a"].cells) > maxOwnCells {
		t.Errorf("%d own and %d peer cells", len(a.evidence.own), len(b.evidence.peers["a"].cells))
	}
}

// TestSampling guards against a shift after which known estimates are not rated
// again, and against samples that spend the last ratings, which gates need.
func TestSampling(t *testing.T) {
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
	c.bucket.at = clock.Now()
	if got := share(); got > 2*sampleShareMin {
		t.Errorf("share %v of a well known version rated", got)
	}
	for range 40 {
		c.ObserveRating(Rating{Version: "other", Kind: "k", Passed: false})
	}
	if got := share(); got < 0.9 {
		t.Errorf("share %v rated after another version shifted", got)
	}
	c.bucket.tokens = 0
	if got := share(); got != 0 {
		t.Errorf("share %v rated without ratings left", got)
	}
}

// TestGatesLearnTheRatingLatency guards against a gate that waits no time for
// its first ratings, or too little once the service becomes slower, so that none
// arrives in time, none teaches the latency, and every answer escalates.
func TestGatesLearnTheRatingLatency(t *testing.T) {
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
			t.Errorf("service %d: %d of 200 ratings did not arrive", n, missing)
		}
	}
}

// TestPeakIsCheaper guards against a price multiplier without effect: with
// scarce ratings a cascade must start cheaper near the peak.
func TestPeakIsCheaper(t *testing.T) {
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
		t.Errorf("cost %v near the peak, %v normally", peak, normal)
	}
}

// TestInvalidInput guards against panics and poisoned estimates from outside.
func TestInvalidInput(t *testing.T) {
	c := newChooser("a", fakeClock())
	if _, err := c.Plan(Request{}); !errors.Is(err, ErrNoCandidate) {
		t.Errorf("no candidates: %v", err)
	}
	for _, r := range []Request{{QualityTarget: math.NaN()}, {QualityTarget: 2}, {PriceMultiplier: -1}} {
		r.Candidates = []Candidate{{Version: "v"}}
		if _, err := c.Plan(r); !errors.Is(err, ErrInvalid) {
			t.Errorf("%+v: %v", r, err)
		}
	}
	var s Summary
	if err := json.Unmarshal([]byte(`{"host":"b","cells":[{"v":"v","slow":{"p":-1}}]}`), &s); err != nil {
		t.Fatal(err)
	}
	if err := c.Merge(s); !errors.Is(err, ErrInvalid) {
		t.Errorf("negative count: %v", err)
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
	r := Request{Kind: "k", QualityTarget: 0.95, Deadline: 10 * time.Second}
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
