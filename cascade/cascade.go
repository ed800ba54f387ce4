// Package cascade chooses, for each request, the plan with the least expected
// cost that meets the quality target and the deadline. A plan is an ordered
// list of model versions. The answer of each version but the last is rated at a
// gate: a poor rating escalates the request to the next version.
//
// The pass rate of a version is estimated per kind of request and per depth:
// first attempt or escalation, because a request that one version failed is
// harder for the next. Ratings are discounted by count and by age, and a change
// detector discards the long window after a shift of the pass rate. Hosts pool
// their ratings by exchanging summaries (see Summary).
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
	// Host identifies this host in summaries.
	Host string
	// Incarnation increases with every restart of the host.
	Incarnation int64
	// Kinds are the request kinds with estimates of their own. Other kinds are
	// hashed into KindBuckets buckets, which bounds the number of estimates.
	Kinds []string
	// MaxSteps bounds the versions in one plan (default 3).
	MaxSteps int
	// PriorWeight is the number of ratings that the declared pass rate counts as
	// (default 10).
	PriorWeight float64
	// ShortWindow is the length of the short window, in ratings over all hosts
	// (default 40).
	ShortWindow float64
	// LongWindow is the length of the long window, in ratings over all hosts
	// (default 2000).
	LongWindow float64
	// HalfLife is the age at which a rating has half its weight (default 12h).
	HalfLife time.Duration
	// Confidence is the number of standard deviations subtracted from a pass
	// rate when the quality of a plan is computed (default 0.8).
	Confidence float64
	// RatingsPerSecond is the rate at which this host may use the rating service
	// (default 10).
	RatingsPerSecond float64
	// RatingBurst is the capacity of the token bucket for ratings (default 20 s
	// of RatingsPerSecond).
	RatingBurst float64
	// ExploreShare is the fraction of requests that may try a plan whose
	// estimates are uncertain but which could be cheaper (default 0.05).
	ExploreShare float64
}

// KindBuckets is the number of hash buckets for kinds not listed in Config.Kinds.
const KindBuckets = 8

func (c Config) withDefaults() Config {
	setDefault(&c.MaxSteps, 3)
	setDefault(&c.PriorWeight, 10)
	setDefault(&c.ShortWindow, 40)
	setDefault(&c.LongWindow, 2000)
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
	// Version is the name of the version.
	Version string
	// Cost is the expected cost of one answer to this request, in cost units.
	Cost float64
	// PriorPassRate is the declared pass rate; zero means 0.5.
	PriorPassRate float64
	// Latency is the declared time to the complete answer, used until enough
	// latencies of the version have been observed.
	Latency time.Duration
}

// Request holds the inputs of the choice of a plan.
type Request struct {
	// Kind is one of Config.Kinds, or any other text.
	Kind string
	// QualityTarget is the fraction of answers that must be good enough, 0 to 1.
	QualityTarget float64
	// TimeLeft is the time left for the complete answer. Zero or less means no
	// deadline.
	TimeLeft time.Duration
	// PriceMultiplier is the shadow price of the current minute relative to the
	// normal price; zero means 1. Near the cost peak it is high: ratings are
	// then cheap in comparison, so more requests start with a cheap version, and
	// exploration stops.
	PriceMultiplier float64
	// Candidates are the allowed versions, at most MaxCandidates.
	Candidates []Candidate
}

// Chooser chooses plans from estimates that it updates with observed ratings and
// latencies.
type Chooser struct {
	cfg   Config
	clock clockwork.Clock

	mu              sync.Mutex
	rnd             *rand.Rand
	evidence        *evidence
	latency         map[string]*latencyEstimate
	ratingLatency   latencyEstimate
	arrivedFraction float64
	bucket          ratingBucket
}

// New returns a Chooser. It takes ownership of rnd.
func New(cfg Config, clock clockwork.Clock, rnd *rand.Rand) *Chooser {
	cfg = cfg.withDefaults()
	now := clock.Now()
	return &Chooser{
		cfg:             cfg,
		clock:           clock,
		rnd:             rnd,
		evidence:        newEvidence(cfg),
		latency:         make(map[string]*latencyEstimate),
		arrivedFraction: 1,
		bucket:          ratingBucket{rate: cfg.RatingsPerSecond, burst: cfg.RatingBurst, tokens: cfg.RatingBurst, refilledAt: now},
	}
}

// KindOf returns kind if it is one of Config.Kinds, else the name of its hash
// bucket.
func (c *Chooser) KindOf(kind string) string {
	if slices.Contains(c.cfg.Kinds, kind) {
		return kind
	}
	return fmt.Sprintf("bucket-%d", xxhash.Sum64String(kind)%KindBuckets)
}

// Rating is the result of rating one answer.
type Rating struct {
	// Version produced the answer.
	Version string
	// Kind is the kind of the request.
	Kind string
	// Escalated reports whether another version was tried before.
	Escalated bool
	// Passed reports whether the answer was good enough.
	Passed bool
}

// ObserveRating records a rating. Late ratings are recorded too.
func (c *Chooser) ObserveRating(r Rating) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := cellKey{version: r.Version, kind: c.KindOf(r.Kind), escalated: r.Escalated}
	c.evidence.observe(key, r.Passed, c.clock.Now())
}

// ObserveLatency records the time that a version took for a complete answer.
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

// arrivalWeight is the weight of one outcome in the exponentially weighted
// moving average of the fraction of gate ratings that arrive in time. It averages
// over about 200 ratings.
const arrivalWeight = 1.0 / 200

// ObserveGate records how long a step with RatingGate waited for its rating and
// whether the rating arrived within Step.RatingTimeout.
func (c *Chooser) ObserveGate(waited time.Duration, arrived bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	value := 0.0
	if arrived {
		value = 1
		c.ratingLatency.observe(waited)
	}
	c.arrivedFraction += arrivalWeight * (value - c.arrivedFraction)
}

// RatingMode defines whether an answer is rated and whether the caller waits for
// the rating.
type RatingMode int

// The rating modes of a step.
const (
	// RatingNone means that the answer is not rated.
	RatingNone RatingMode = iota
	// RatingSample means that the answer is rated to update the estimates,
	// without waiting for the rating.
	RatingSample
	// RatingGate means that the rating decides whether the answer is returned or
	// the request escalates.
	RatingGate
)

// String returns the name of the mode in logs.
func (m RatingMode) String() string {
	return [...]string{"none", "sample", "gate"}[m]
}

// Step is one attempt of a plan.
type Step struct {
	// Version is the version that runs the attempt.
	Version string
	// RatingMode defines whether the answer is rated.
	RatingMode RatingMode
	// PassRate is the mean estimate of the pass rate.
	PassRate float64
	// P95 is the estimated 95th percentile of the time to the complete answer.
	P95 time.Duration
	// RatingTimeout bounds the wait for the rating at a gate.
	RatingTimeout time.Duration
}

// Plan is the decision for one request.
type Plan struct {
	// Steps are tried in order.
	Steps []Step
	// Cost is the expected cost in cost units, without the price multiplier.
	Cost float64
	// Quality is a cautious estimate of the fraction of good answers: it uses pass
	// rates lowered by Config.Confidence.
	Quality float64
	// Ratings is the expected number of gate ratings.
	Ratings float64
	// P95 is the estimated 95th percentile of the whole plan's latency.
	P95 time.Duration
	// Reason explains why this plan was chosen.
	Reason string
}

// Outcome is the result of a gate.
type Outcome int

// The outcomes of a gate.
const (
	// OutcomePassed means that the answer was rated good enough.
	OutcomePassed Outcome = iota
	// OutcomeFailed means that the answer was rated poor.
	OutcomeFailed
	// OutcomeMissing means that no rating arrived within Step.RatingTimeout.
	OutcomeMissing
)

// Escalate reports whether to escalate from the given step to the next one. A
// missing rating counts as poor, as in the computation of the plan's quality. It
// returns false if the P95 of the next step exceeds the remaining time.
func (p Plan) Escalate(step int, outcome Outcome, remaining time.Duration) bool {
	if outcome == OutcomePassed || step+1 >= len(p.Steps) {
		return false
	}
	return p.Steps[step+1].P95 <= remaining
}

// Explain describes the steps, the estimates and the reason of the plan in one
// log line.
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
