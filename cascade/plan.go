package cascade

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// exploreMaxMultiplier is the price multiplier above which nothing is explored.
	exploreMaxMultiplier = 1.5
	// exploreMaxScoreRatio is the ratio of an optimistic plan's score to that of the
	// chosen plan below which the optimistic plan is tried.
	exploreMaxScoreRatio = 0.85
	// exploreDeviations is the number of standard deviations added to the mean pass
	// rates when the search looks for a plan to explore.
	exploreDeviations = 2
	// sampleDeviation scales the share of answers rated because their estimate is
	// uncertain: (deviation/sampleDeviation)², at most sampleShareUnknown.
	sampleDeviation = 0.2
	// sampleShareMin is the least share of answers rated, for every version.
	// sampleSharePlenty is the share while the bucket is at least three quarters
	// full, for an estimate without recent ratings; it falls to zero at
	// enoughRecentRatings. sampleShareRecheck is the share after a shift, because
	// other versions have often shifted too.
	sampleShareMin      = 0.05
	sampleSharePlenty   = 1.0
	enoughRecentRatings = 20
	sampleShareRecheck  = 1.0
	sampleShareUnknown  = 0.5
	// sampleMinFill is the fill level of the bucket below which no answer is
	// sampled, so that the last ratings remain for gates.
	sampleMinFill = 0.1
	// unknownRatingTimeout bounds the wait at a gate until enough ratings have
	// arrived to estimate their latency.
	unknownRatingTimeout = 2 * time.Second
	// minRatingTimeout is the shortest timeout at a gate. It allows for a rating
	// service that was fast and becomes slower.
	minRatingTimeout = 100 * time.Millisecond
)

// option is a candidate with its estimates.
type option struct {
	Candidate
	// firstPass and laterPass are the pass rates as first attempt and as
	// escalation, lowered by Config.Confidence. The cost of a plan is computed
	// from the means.
	firstPass, laterPass float64
	firstMean, laterMean float64
	firstSD, laterSD     float64
	// latencyMean and latencyP95 describe the time to the complete answer, in
	// seconds.
	latencyMean, latencyP95 float64
}

// path is a plan during the search.
type path struct {
	// steps are indexes of the search's options.
	steps  [maxSteps]int
	length int
	// reachCautious and reachMean are the probabilities that the last step runs,
	// from the lowered pass rates and from the means.
	reachCautious float64
	reachMean     float64
	// quality, cost and ratings are as in Plan. score is the cost with the price
	// multiplier plus the price of the gate ratings; the search minimizes it.
	quality float64
	cost    float64
	ratings float64
	score   float64
	// latency is the sum of the mean latencies, in seconds. variance is the sum of
	// the squared distances from mean to p95.
	latency  float64
	variance float64
}

// maxSteps bounds Config.MaxSteps.
const maxSteps = 4

// search holds the inputs of one plan search.
type search struct {
	options []option
	// stepLimit is the largest number of steps.
	stepLimit int
	// arrivedFraction is the fraction of gate ratings that arrive in time.
	arrivedFraction float64
	// ratingMean and ratingP95 describe the latency of a rating, in seconds.
	ratingMean      float64
	ratingP95       float64
	priceMultiplier float64
	ratingPrice     float64
	// gatesAllowed is false while the rating bucket holds less than one token.
	gatesAllowed bool
	timeLeft     float64 // in seconds, zero or less without a deadline
	target       float64 // Request.QualityTarget
	kind         string
	// plans are the plans found, after keepParetoFront only the Pareto front.
	plans []path
}

// p95 estimates the 95th percentile of the plan's latency, in seconds.
func (p path) p95() float64 { return p.latency + math.Sqrt(p.variance) }

// extend appends option i as the last step of p. The previous last step
// becomes a gate.
func (s *search) extend(p path, i int) path {
	o := s.options[i]
	pass := o.firstPass
	if p.length > 0 {
		pass = o.laterPass
		prev := s.options[p.steps[p.length-1]]
		prevPass, prevMean := prev.firstPass, prev.firstMean
		if p.length > 1 {
			prevPass, prevMean = prev.laterPass, prev.laterMean
		}
		// The answer is kept only if its rating arrives. Otherwise the request
		// escalates.
		p.quality -= p.reachCautious * prevPass * (1 - s.arrivedFraction)
		p.ratings += p.reachMean
		p.reachCautious *= 1 - s.arrivedFraction*prevPass
		p.reachMean *= 1 - s.arrivedFraction*prevMean
		p.latency += s.ratingMean
		p.variance += square(s.ratingP95 - s.ratingMean)
	} else {
		p.reachCautious, p.reachMean = 1, 1
	}
	p.steps[p.length] = i
	p.length++
	p.quality += p.reachCautious * pass
	p.cost += p.reachMean * o.Cost
	p.latency += o.latencyMean
	p.variance += square(o.latencyP95 - o.latencyMean)
	p.score = s.priceMultiplier*p.cost + s.ratingPrice*p.ratings
	return p
}

// enumerate adds every plan that starts with p and meets the deadline. The costs
// rise from step to step, since escalating to a cheaper version never helps.
func (s *search) enumerate(p path, from int) {
	for i := from; i < len(s.options); i++ {
		next := s.extend(p, i)
		if s.timeLeft > 0 && next.p95() > s.timeLeft {
			continue
		}
		s.plans = append(s.plans, next)
		if next.length < s.stepLimit && s.gatesAllowed {
			s.enumerate(next, i+1)
		}
	}
}

// keepParetoFront drops the plans for which another has at least their quality at
// a lower or equal score, and sorts the rest by falling quality.
func (s *search) keepParetoFront() {
	slices.SortFunc(s.plans, func(a, b path) int {
		return cmp.Or(cmp.Compare(b.quality, a.quality), cmp.Compare(a.score, b.score))
	})
	kept := s.plans[:0]
	for _, p := range s.plans {
		if len(kept) == 0 || p.score < kept[len(kept)-1].score {
			kept = append(kept, p)
		}
	}
	s.plans = kept
}

// planMix is a random choice between two plans whose mean quality meets the target.
type planMix struct {
	below, above path
	// share is the probability of above.
	share       float64
	score       float64
	meetsTarget bool
}

// best returns the mix with the least score that meets the target, or the plan of
// the highest quality if none does.
func (s *search) best(target float64) planMix {
	s.keepParetoFront()
	if top := s.plans[0]; top.quality < target {
		return planMix{below: top, above: top, share: 1, score: top.score}
	}
	result := planMix{score: math.Inf(1), meetsTarget: true}
	for _, above := range s.plans {
		if above.quality < target {
			break
		}
		if above.score < result.score {
			result = planMix{below: above, above: above, share: 1, score: above.score, meetsTarget: true}
		}
		for _, below := range s.plans {
			if below.quality >= target {
				continue
			}
			share := (target - below.quality) / (above.quality - below.quality)
			if score := share*above.score + (1-share)*below.score; score < result.score {
				result = planMix{below: below, above: above, share: share, score: score, meetsTarget: true}
			}
		}
	}
	return result
}

// Plan returns the plan for one request.
func (c *Chooser) Plan(r Request) (Plan, error) {
	if err := r.validate(); err != nil {
		return Plan{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.bucket.refill(now)
	kind := c.KindOf(r.Kind)
	s := c.newSearch(r, kind, now)
	s.enumerate(path{}, 0)
	if len(s.plans) == 0 {
		return c.finish(s, s.fastest(), "no plan meets the deadline, fastest single version", RatingNone), nil
	}
	m := s.best(s.target)
	chosen := m.below
	if c.rnd.Float64() < m.share {
		chosen = m.above
	}
	if explored, ok := c.explore(s, m); ok {
		return c.finish(s, explored, "explores a plan that uncertain estimates may undervalue", RatingSample), nil
	}
	return c.finish(s, chosen, m.reason(s), RatingNone), nil
}

func (r Request) validate() error {
	if len(r.Candidates) == 0 {
		return ErrNoCandidate
	}
	if len(r.Candidates) > MaxCandidates {
		return errors.Wrapf(ErrInvalid, "%d candidates, at most %d", len(r.Candidates), MaxCandidates)
	}
	if !(r.QualityTarget >= 0 && r.QualityTarget <= 1) {
		return errors.Wrapf(ErrInvalid, "quality target %v is not between 0 and 1", r.QualityTarget)
	}
	if !(r.PriceMultiplier >= 0) || math.IsInf(r.PriceMultiplier, 1) {
		return errors.Wrapf(ErrInvalid, "price multiplier %v is negative or not finite", r.PriceMultiplier)
	}
	for _, candidate := range r.Candidates {
		if !(candidate.Cost >= 0) || !(candidate.PriorPassRate >= 0 && candidate.PriorPassRate <= 1) {
			return errors.Wrapf(ErrInvalid, "candidate %q: cost is negative or pass rate is not between 0 and 1", candidate.Version)
		}
	}
	return nil
}

func (c *Chooser) newSearch(r Request, kind string, now time.Time) *search {
	options := make([]option, len(r.Candidates))
	maxCost := 0.0
	for i, candidate := range r.Candidates {
		options[i] = c.option(candidate, kind, now)
		maxCost = max(maxCost, candidate.Cost)
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.Cost, b.Cost) })
	ratingMean, ratingP95 := c.ratingLatency.stats(0)
	multiplier := r.PriceMultiplier
	if multiplier == 0 {
		multiplier = 1
	}
	return &search{
		options:         options,
		stepLimit:       min(c.cfg.MaxSteps, maxSteps),
		arrivedFraction: c.arrivedFraction,
		ratingMean:      ratingMean,
		ratingP95:       ratingP95,
		priceMultiplier: multiplier,
		ratingPrice:     maxCost * c.bucket.price(),
		gatesAllowed:    c.bucket.tokens >= 1,
		timeLeft:        r.TimeLeft.Seconds(),
		target:          r.QualityTarget,
		kind:            kind,
	}
}

func (c *Chooser) option(candidate Candidate, kind string, now time.Time) option {
	o := option{Candidate: candidate}
	prior := candidate.PriorPassRate
	if prior == 0 {
		prior = 0.5
	}
	o.firstMean, o.firstSD = c.evidence.estimate(cellKey{candidate.Version, kind, false}, prior, now)
	o.laterMean, o.laterSD = c.evidence.estimate(cellKey{candidate.Version, kind, true}, prior, now)
	o.firstPass = max(0, o.firstMean-c.cfg.Confidence*o.firstSD)
	o.laterPass = max(0, o.laterMean-c.cfg.Confidence*o.laterSD)
	o.latencyMean, o.latencyP95 = c.latency[candidate.Version].stats(candidate.Latency)
	return o
}

// fastest returns the plan of the single version with the lowest p95.
func (s *search) fastest() path {
	best := s.extend(path{}, 0)
	for i := range s.options {
		if p := s.extend(path{}, i); p.p95() < best.p95() {
			best = p
		}
	}
	return best
}

// explore returns, for ExploreShare of the requests, the plan that would be best
// if every pass rate were exploreDeviations above its mean, provided that it would
// save enough. The ratings of its gates and of its last answer, which is sampled,
// then show whether the pass rates are that high. The possible saving vanishes as
// ratings accumulate.
func (c *Chooser) explore(s *search, m planMix) (path, bool) {
	if c.rnd.Float64() >= c.cfg.ExploreShare || !s.gatesAllowed || s.priceMultiplier > exploreMaxMultiplier {
		return path{}, false
	}
	optimistic := *s
	optimistic.options = slices.Clone(s.options)
	optimistic.plans = nil
	for i := range optimistic.options {
		o := &optimistic.options[i]
		o.firstPass = min(1, o.firstMean+exploreDeviations*o.firstSD)
		o.laterPass = min(1, o.laterMean+exploreDeviations*o.laterSD)
		o.firstMean, o.laterMean = o.firstPass, o.laterPass
	}
	optimistic.enumerate(path{}, 0)
	best := optimistic.best(s.target)
	if best.score >= exploreMaxScoreRatio*m.score {
		return path{}, false
	}
	// The plan found gets its cost and quality from the real estimates.
	var chosen path
	for _, step := range best.above.steps[:best.above.length] {
		chosen = s.extend(chosen, step)
	}
	return chosen, true
}

// ratingTimeout returns the longest wait at a gate, given the estimated p95 of a
// rating in seconds. Only ratings that arrive update that estimate, so a timeout
// of zero before the first rating would keep it unknown for ever.
func ratingTimeout(p95 float64) time.Duration {
	if p95 == 0 {
		return unknownRatingTimeout
	}
	return max(seconds(2*p95), minRatingTimeout)
}

// finish converts a path to a Plan, takes the ratings that it is expected to need
// from the bucket and decides whether the last answer is sampled. With minLastMode
// RatingSample it always is.
func (c *Chooser) finish(s *search, p path, reason string, minLastMode RatingMode) Plan {
	plan := Plan{Cost: p.cost, Quality: p.quality, Ratings: p.ratings, P95: seconds(p.p95()), Reason: reason}
	for i, step := range p.steps[:p.length] {
		o := s.options[step]
		planned := Step{Version: o.Version, PassRate: o.firstMean, P95: seconds(o.latencyP95), RatingMode: RatingGate}
		planned.RatingTimeout = ratingTimeout(s.ratingP95)
		deviation := o.firstSD
		if i > 0 {
			planned.PassRate, deviation = o.laterMean, o.laterSD
		}
		if i == p.length-1 {
			planned.RatingMode = max(minLastMode, c.sampleMode(cellKey{o.Version, s.kind, i > 0}, deviation))
		}
		plan.Steps = append(plan.Steps, planned)
	}
	c.bucket.tokens -= p.ratings
	if plan.Steps[p.length-1].RatingMode == RatingSample {
		c.bucket.tokens -= p.reachMean
	}
	return plan
}

// sampleMode decides whether to rate an answer that needs no gate. Answers are
// rated more often if the estimate is uncertain, has few recent ratings or has not
// been rechecked after a shift.
func (c *Chooser) sampleMode(key cellKey, deviation float64) RatingMode {
	fill := c.bucket.fill()
	if fill < sampleMinFill {
		return RatingNone
	}
	recent, unchecked := c.evidence.ratingCoverage(key, c.bucket.refilledAt)
	plenty := min(1, max(0, 2*fill-0.5))
	need := max(0, 1-recent/enoughRecentRatings)
	share := max(sampleShareMin, sampleSharePlenty*plenty*need)
	if unchecked {
		share = max(share, sampleShareRecheck)
	}
	share = max(share, min(sampleShareUnknown, square(deviation/sampleDeviation)))
	if c.rnd.Float64() < share {
		return RatingSample
	}
	return RatingNone
}

// reason explains the choice in one line.
func (m planMix) reason(s *search) string {
	switch {
	case !m.meetsTarget:
		return fmt.Sprintf("no plan meets the target %.3f, plan with the highest quality", s.target)
	case m.share < 1:
		return fmt.Sprintf("mix of two plans meets the target %.3f, probability of the better %.2f", s.target, m.share)
	case !s.gatesAllowed:
		return "no rating available, cheapest single version that meets the target"
	case m.above.length == 1 && m.above.steps[0] > 0:
		return "cheaper versions pass too rarely or do not fit the deadline"
	default:
		return "least cost at the target"
	}
}

func square(x float64) float64 { return x * x }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
