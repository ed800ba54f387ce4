// Package cascade picks, for each request, the plan with the least expected
// cost that meets the quality target and the deadline. A plan is an ordered
// list of versions; all but the last are rated before the plan goes on.
//
// The pass rate of a version is estimated per kind of request and per depth
// (first attempt or escalation, because a request that one version failed is
// harder for the next). Estimates forget by count and by time, and a change
// detector drops the long memory after a shift. Evidence of several hosts is
// pooled through summaries (see Summary).
//
// The package does no I/O and is safe for concurrent use.
package cascade

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// Errors of this package.
var (
	// ErrNoCandidate reports a request without candidates.
	ErrNoCandidate = errors.New("cascade: no candidate")
	// ErrInvalid reports a request, configuration or summary out of range.
	ErrInvalid = errors.New("cascade: invalid input")
)

// MaxCandidates bounds the candidates of one request, and so the plan search.
const MaxCandidates = 16

// Config sets up a Chooser. Zero fields take the defaults.
type Config struct {
	// Host names this host in summaries.
	Host string
	// Incarnation distinguishes restarts of the host; it only rises.
	Incarnation int64
	// Kinds are the labels kept as they are. Other kinds fall into one of
	// KindBuckets hash buckets, so the number of estimates stays bounded.
	Kinds []string
	// MaxSteps bounds the versions in one plan (default 3).
	MaxSteps int
	// PriorWeight is the declared pass rate's weight in rated answers (default 10).
	PriorWeight float64
	// FastWindow is the short memory in rated answers over all hosts (default 40).
	FastWindow float64
	// SlowWindow is the long memory in rated answers over all hosts (default 2000).
	SlowWindow float64
	// HalfLife halves the weight of evidence (default 12h).
	HalfLife time.Duration
	// Confidence is the number of standard deviations subtracted from a pass
	// rate when the quality of a plan is computed (default 0.8).
	Confidence float64
	// RatingsPerSecond is this host's share of the rating service (default 10).
	RatingsPerSecond float64
	// RatingBurst bounds the ratings saved up (default 20 s of the rate).
	RatingBurst float64
	// ExploreShare is the share of requests that may try a plan whose
	// estimates are uncertain but promising (default 0.05).
	ExploreShare float64
}

// KindBuckets is the number of hash buckets for kinds without a label.
const KindBuckets = 8

func (c Config) withDefaults() Config {
	setDefault(&c.MaxSteps, 3)
	setDefault(&c.PriorWeight, 10)
	setDefault(&c.FastWindow, 40)
	setDefault(&c.SlowWindow, 2000)
	setDefault(&c.HalfLife, 12*time.Hour)
	setDefault(&c.Confidence, 0.8)
	setDefault(&c.RatingsPerSecond, 10)
	setDefault(&c.RatingBurst, 20*c.RatingsPerSecond)
	setDefault(&c.ExploreShare, 0.05)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Candidate is a version that the request may use.
type Candidate struct {
	// Version names the version.
	Version string
	// Cost is the expected price units of one answer to this request.
	Cost float64
	// PriorPassRate is the declared pass rate; zero means 0.5.
	PriorPassRate float64
	// Latency is the declared time to the whole answer, used until enough
	// latencies of the version have been observed.
	Latency time.Duration
}

// Request is what the choice depends on.
type Request struct {
	// Kind is a label from Config.Kinds, or any text.
	Kind string
	// QualityTarget is the share of answers that must be good enough.
	QualityTarget float64
	// Deadline is the time left for the whole answer; zero means no deadline.
	Deadline time.Duration
	// PriceMultiplier is the shadow price of the running minute relative to
	// the normal price; zero means 1. Near the peak it makes ratings cheap in
	// comparison, so more requests start with a cheap version, and it stops
	// exploration.
	PriceMultiplier float64
	// Candidates are the allowed versions.
	Candidates []Candidate
}

// Chooser makes plans and learns from ratings and latencies.
type Chooser struct {
	cfg   Config
	clock clockwork.Clock

	mu       sync.Mutex
	rnd      *rand.Rand
	evidence *evidence
	latency  map[string]*latencyEstimate
	rating   latencyEstimate
	arrived  float64
	bucket   ratingBucket
}

// New returns a Chooser. It takes ownership of rnd.
func New(cfg Config, clock clockwork.Clock, rnd *rand.Rand) *Chooser {
	cfg = cfg.withDefaults()
	now := clock.Now()
	return &Chooser{
		cfg:      cfg,
		clock:    clock,
		rnd:      rnd,
		evidence: newEvidence(cfg),
		latency:  make(map[string]*latencyEstimate),
		arrived:  1,
		bucket:   ratingBucket{rate: cfg.RatingsPerSecond, burst: cfg.RatingBurst, tokens: cfg.RatingBurst, at: now},
	}
}

// KindOf maps any text to one of the bounded set of kinds.
func (c *Chooser) KindOf(kind string) string {
	if slices.Contains(c.cfg.Kinds, kind) {
		return kind
	}
	return fmt.Sprintf("bucket-%d", xxhash.Sum64String(kind)%KindBuckets)
}

// Rating is one verdict of the rating service.
type Rating struct {
	// Version gave the answer.
	Version string
	// Kind is the kind of the request.
	Kind string
	// Escalated tells that another version was tried before.
	Escalated bool
	// Passed tells that the answer was good enough.
	Passed bool
}

// ObserveRating learns from a rating, however late it comes.
func (c *Chooser) ObserveRating(r Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := cellKey{version: r.Version, kind: c.KindOf(r.Kind), escalated: r.Escalated}
	c.evidence.observe(key, r.Passed, c.clock.Now())
}

// ObserveLatency learns the time to a version's whole answer.
func (c *Chooser) ObserveLatency(version string, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	estimate := c.latency[version]
	if estimate == nil {
		if len(c.latency) >= maxLatencyEstimates {
			clear(c.latency)
		}
		estimate = new(latencyEstimate)
		c.latency[version] = estimate
	}
	estimate.observe(d)
}

// arrivalWeight is the weight of one outcome in the share of gate ratings that
// arrive, a memory of about 200 ratings.
const arrivalWeight = 1.0 / 200

// ObserveGate learns how long a gate waited for its rating and whether the
// rating arrived within Step.RatingTimeout.
func (c *Chooser) ObserveGate(waited time.Duration, arrived bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value := 0.0
	if arrived {
		value = 1
		c.rating.observe(waited)
	}
	c.arrived += arrivalWeight * (value - c.arrived)
}

// RatingMode tells whether an answer is sent to the rating service.
type RatingMode int

// The rating modes of a step.
const (
	// RatingNone leaves the answer unrated.
	RatingNone RatingMode = iota
	// RatingSample rates the answer as evidence; the caller does not wait.
	RatingSample
	// RatingGate rates the answer before it is returned or the plan goes on.
	RatingGate
)

// String returns the mode as logs print it.
func (m RatingMode) String() string {
	return [...]string{"none", "sample", "gate"}[m]
}

// Step is one attempt of a plan.
type Step struct {
	// Version answers this step.
	Version string
	// RatingMode tells what to do with the answer.
	RatingMode RatingMode
	// PassRate is the estimate the choice was based on.
	PassRate float64
	// P95 is the estimated 95th percentile of the time to the whole answer.
	P95 time.Duration
	// RatingTimeout bounds the wait at a gate.
	RatingTimeout time.Duration
}

// Plan is the decision for one request.
type Plan struct {
	// Steps are tried in order.
	Steps []Step
	// Cost is the expected price units, without the price multiplier.
	Cost float64
	// Quality is the cautious estimate of the share of good answers.
	Quality float64
	// Ratings is the expected number of gate ratings.
	Ratings float64
	// P95 is the estimated 95th percentile of the whole plan's latency.
	P95 time.Duration
	// Reason says why this plan was chosen.
	Reason string
}

// Outcome is what is known about an answer at a gate.
type Outcome int

// The outcomes at a gate.
const (
	// OutcomePassed means the answer was rated good enough.
	OutcomePassed Outcome = iota
	// OutcomeFailed means the answer was rated poor.
	OutcomeFailed
	// OutcomeMissing means that no rating arrived in time.
	OutcomeMissing
)

// Escalate tells whether to go on to the step after step, given the outcome at
// its gate and the time left. A missing rating counts as poor, because the
// quality of the plan was computed that way.
func (p Plan) Escalate(step int, outcome Outcome, remaining time.Duration) bool {
	if outcome == OutcomePassed || step+1 >= len(p.Steps) {
		return false
	}
	return p.Steps[step+1].P95 <= remaining
}

// Explain returns the plan and the reason for each step, short enough for a log line.
func (p Plan) Explain() string {
	var b strings.Builder
	for i, s := range p.Steps {
		if i > 0 {
			b.WriteString(" -> ")
		}
		fmt.Fprintf(&b, "%s(pass=%.2f p95=%s rate=%s)", s.Version, s.PassRate, s.P95.Round(time.Millisecond), s.RatingMode)
	}
	fmt.Fprintf(&b, " cost=%.3g quality=%.3f: %s", p.Cost, p.Quality, p.Reason)
	return b.String()
}
