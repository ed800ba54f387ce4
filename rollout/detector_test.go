package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

var epoch = time.Unix(0, 0)

func newDetector(host string, incarnation int64) *Detector {
	return NewDetector(Config{Host: host, Incarnation: incarnation}, clockwork.NewFakeClockAt(epoch))
}

func feed(d *Detector, seed uint64, n int, rate float64) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	for range n {
		d.Observe("v", "k", rnd.Float64() < rate)
	}
}

// TestLikelihoodRatiosAreValid guards against a likelihood ratio with a mean
// above one on a good version, which would invalidate the false alarm rate, and
// against a batch that counts for more than its answers one by one.
func TestLikelihoodRatiosAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference := rapid.Float64Range(minRate, 1-minRate).Draw(t, "reference")
		rate := rapid.Float64Range(reference, 1).Draw(t, "true rate")
		var test mixtureTest
		test.setReference(reference)
		for i, lr := range test.ratios {
			if mean := rate*lr.pass + (1-rate)*lr.fail; mean > 1+1e-9 {
				t.Fatalf("drop %v: mean likelihood ratio %v, want at most 1", drops[i].size, mean)
			}
		}
		weights := 0.0
		for _, d := range drops {
			weights += d.weight
		}
		if weights > 1+1e-9 {
			t.Fatalf("weights sum to %v, want at most 1", weights)
		}
		pass, fail := rapid.Uint64Range(0, 50).Draw(t, "pass"), rapid.Uint64Range(0, 50).Draw(t, "fail")
		lr := test.ratios[rapid.IntRange(0, len(drops)-1).Draw(t, "drop")]
		batch, single := updateStatistic(0, lr, pass, fail), float64(pass+fail)
		for range pass {
			single *= lr.pass
		}
		for range fail {
			single *= lr.fail
		}
		if batch > single*(1+1e-6)+1e-300 {
			t.Fatalf("batch gives %v, single answers give %v", batch, single)
		}
	})
	if got := (Config{}).Threshold(); got != 10000*7200 {
		t.Errorf("threshold %v does not follow from 10,000 hours of 7,200 ratings", got)
	}
}

// TestDropAndRecovery guards against a drop that is not detected, a good
// version that becomes suspect, and a suspect version that never recovers or
// recovers while bad.
func TestDropAndRecovery(t *testing.T) {
	for seed := range uint64(20) {
		d := newDetector("a", 1)
		if err := d.Declare("v", 0.9, ""); err != nil {
			t.Fatal(err)
		}
		feed(d, seed, 20000, 0.9)
		if s := d.State("v", "k"); s.Suspect || s.Reference < 0.88 || s.Reference > 0.91 {
			t.Fatalf("seed %d: state of the good version is %+v", seed, s)
		}
		feed(d, seed+100, 120, 0.5)
		if !d.State("v", "k").Suspect || d.Share("v", "k") != 0.01 || d.RatingShare("v", "k", 0.1) != 1 {
			t.Fatalf("seed %d: not suspect, or not limited to share 0.01 with all answers rated, after 120 answers at pass rate 0.5", seed)
		}
		feed(d, seed+200, 300, 0.5)
		if v := d.Verdicts(); len(v) != 1 || !v[0].Suspect {
			t.Fatalf("seed %d: recovered while bad: %+v", seed, v)
		}
		feed(d, seed+300, 400, 0.9)
		// Suspicion by chance may limit a good version slightly, so the share
		// need not be 1.
		if d.State("v", "k").Suspect || d.Share("v", "k") < limitedShare {
			t.Fatalf("seed %d: still suspect or share below limitedShare after 400 answers at pass rate 0.9", seed)
		}
	}
}

// TestPredecessorIsTheReference guards against a version in roll-out that is
// tested against its own bad rate or the declared one.
func TestPredecessorIsTheReference(t *testing.T) {
	d := newDetector("a", 1)
	if err := d.Declare("v2", 0.5, "v"); err != nil {
		t.Fatal(err)
	}
	feed(d, 1, 20000, 0.9)
	d.Observe("v2", "k", true)
	if r := d.State("v2", "k").Reference; r < 0.88 || r > 0.91 {
		t.Errorf("reference %v, want the predecessor's 0.9", r)
	}
	if err := d.Declare("v2", 2, ""); !errors.Is(err, ErrInvalid) {
		t.Errorf("pass rate 2: got error %v, want ErrInvalid", err)
	}
}

// TestReferenceLags guards against a drop that is learned as normal before the
// end of the 4,000 answers in which it must be detected, to within one block.
func TestReferenceLags(t *testing.T) {
	var r reference
	for range 20000 {
		r.observe(1, 0)
	}
	before, _ := r.rate()
	for range 3500 {
		r.observe(0, 1)
	}
	if after, ok := r.rate(); !ok || after != before {
		t.Errorf("reference moved from %v to %v within the delay", before, after)
	}
}

// TestReferenceOfAJoiningHost guards against a host that learns nothing from
// the first summary of another host, which carries all answers since that
// host's start.
func TestReferenceOfAJoiningHost(t *testing.T) {
	a, b := newDetector("a", 1), newDetector("b", 1)
	feed(a, 1, 25000, 0.9)
	if err := b.Merge(a.Export()); err != nil {
		t.Fatal(err)
	}
	if r := b.State("v", "k").Reference; r < 0.88 || r > 0.91 {
		t.Errorf("reference %v after 25,000 answers at pass rate 0.9, want 0.88 to 0.91", r)
	}
}

// TestMemoryBoundsKeepTestingNewVersions guards against a long-running host
// that stops testing new versions or merging summaries of new hosts once its
// memory bounds are reached, and against a suspect class that is evicted.
func TestMemoryBoundsKeepTestingNewVersions(t *testing.T) {
	d, other := newDetector("a", 1), newDetector("b", 1)
	fail := func(version string) {
		for range 60 {
			d.Observe(version, "k", false)
		}
	}
	pass := func(n int) {
		for range n {
			d.Observe("again", "k", true)
		}
		if err := other.Merge(d.Export()); err != nil {
			t.Fatal(err)
		}
	}
	pass(5)
	fail("first")
	for i := range maxClasses + 10 {
		d.Observe(fmt.Sprint("v", i), "k", true)
	}
	fail("last")
	for _, version := range []string{"first", "last"} {
		if !d.State(version, "k").Suspect {
			t.Errorf("version %q is not suspect", version)
		}
	}
	if pass(3); other.State("again", "k").Rated != 8 {
		t.Errorf("another host counts %d answers of a class that was evicted in between, want 8", other.State("again", "k").Rated)
	}
	newest := fmt.Sprint("v", maxClasses+9)
	if d.State("v0", "k").Rated != 0 || d.State(newest, "k").Rated != 1 {
		t.Error("the least recently used class was kept or the newest one evicted")
	}
	for i := range maxPeers + 10 {
		s := Summary{Host: fmt.Sprint("h", i), Classes: []ClassSummary{{Version: "w", Kind: "k", Pass: 1}}}
		if err := d.Merge(s); err != nil {
			t.Fatal(err)
		}
	}
	if got := d.State("w", "k").Rated; got != maxPeers+10 || len(d.classes) > maxClasses || len(d.peers) > maxPeers {
		t.Errorf("%d rated answers, %d classes, %d hosts, want all answers within the bounds", got, len(d.classes), len(d.peers))
	}
	d.Retain(func(version string) bool { return version == "last" })
	if d.State("first", "k").Suspect || !d.State("last", "k").Suspect || len(d.classes) != 1 {
		t.Errorf("%d classes after Retain, want only the suspect class of version last", len(d.classes))
	}
}

// delivered is the reference model's record of what a host has received from
// another.
type delivered struct {
	incarnation int64
	rated       uint64
}

// TestPooledAnswersCountOnce guards against answers that are counted twice or
// lost when summaries are duplicated, late, relayed or sent after a restart,
// and against hosts that disagree about verdicts after an exchange.
func TestPooledAnswersCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		var list [hosts]*Detector
		var received [hosts]map[string]delivered
		var total [hosts]uint64
		for i := range list {
			list[i], received[i] = newDetector(fmt.Sprint(i), 1), map[string]delivered{}
		}
		var sent []Summary
		host := rapid.IntRange(0, hosts-1)
		merge := func(to int, s Summary) {
			if err := list[to].Merge(s); err != nil {
				t.Fatal(err)
			}
			r, rated := received[to][s.Host], uint64(0)
			if s.Host == fmt.Sprint(to) || s.Incarnation < r.incarnation {
				return
			}
			for _, cs := range s.Classes {
				rated = cs.Pass + cs.Fail
			}
			if s.Incarnation > r.incarnation {
				r = delivered{incarnation: s.Incarnation}
			}
			if rated > r.rated {
				total[to] += rated - r.rated
				r.rated = rated
			}
			received[to][s.Host] = r
		}
		t.Repeat(map[string]func(*rapid.T){
			"observe": func(t *rapid.T) {
				h, passed := host.Draw(t, "host"), rapid.Bool().Draw(t, "passed")
				for range rapid.IntRange(1, 40).Draw(t, "n") {
					list[h].Observe("v", "k", passed)
					total[h]++
				}
			},
			"export": func(t *rapid.T) { sent = append(sent, list[host.Draw(t, "host")].Export()) },
			"merge": func(t *rapid.T) {
				if len(sent) == 0 {
					t.Skip("nothing sent")
				}
				merge(host.Draw(t, "to"), rapid.SampledFrom(sent).Draw(t, "summary"))
			},
			"restart": func(t *rapid.T) {
				h := host.Draw(t, "host")
				list[h] = newDetector(fmt.Sprint(h), list[h].cfg.Incarnation+1)
				received[h], total[h] = map[string]delivered{}, 0
			},
			"": func(t *rapid.T) {
				for h, d := range list {
					if got := d.State("v", "k").Rated; got != total[h] {
						t.Fatalf("host %d counts %d answers, want %d", h, got, total[h])
					}
				}
			},
		})
		for from := range list {
			for to := range list {
				merge(to, list[from].Export())
				for _, stale := range sent {
					merge(to, stale)
				}
			}
		}
		for h, d := range list {
			if got := d.State("v", "k").Rated; got != total[h] {
				t.Fatalf("host %d counts %d answers after stale summaries, want %d", h, got, total[h])
			}
		}
		// A batch that arrives in the exchange may itself cause a verdict. Only
		// that verdict remains to be propagated.
		for range 2 * hosts {
			for from := range list {
				for to := range list {
					merge(to, list[from].Export())
				}
			}
		}
		for h := range list {
			if a, b := list[0].State("v", "k").Suspect, list[h].State("v", "k").Suspect; a != b {
				t.Fatalf("suspect verdicts of hosts 0 and %d disagree: %v and %v", h, a, b)
			}
		}
	})
}

func BenchmarkObserve(b *testing.B) {
	d := newDetector("a", 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Observe("v", "k", i%10 != 0)
	}
}

func BenchmarkShare(b *testing.B) {
	d := newDetector("a", 1)
	d.Observe("v", "k", true)
	b.ReportAllocs()
	for b.Loop() {
		d.Share("v", "k")
	}
}
