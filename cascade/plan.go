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
	// exploreGain is the score relative to the chosen plan under which an
	// optimistic plan is worth trying.
	exploreGain = 0.85
	// exploreDeviations is how far above the mean a pass rate is assumed to be
	// when the value of trying a version is computed.
	exploreDeviations = 2
	// sampleDeviation is the standard deviation of an estimate at which every
	// answer is worth a rating while ratings are plentiful.
	sampleDeviation = 0.2
	// sampleShareMin watches every version. sampleSharePlenty is reached while
	// the bucket is at least three quarters full, for an estimate that has got
	// no rating lately; with recentEnough recent ratings it needs no more.
	// sampleShareAlert holds after a shift, because shifts rarely come alone.
	sampleShareMin     = 0.05
	sampleSharePlenty  = 1.0
	recentEnough       = 20
	sampleShareAlert   = 1.0
	sampleShareUnknown = 0.5
	// sampleMinFill keeps the last ratings for gates.
	sampleMinFill = 0.1
	// unknownRatingTimeout bounds the wait at a gate until enough ratings have
	// arrived to know their latency.
	unknownRatingTimeout = 2 * time.Second
	// minRatingTimeout allows for a service that was fast and becomes slower.
	minRatingTimeout = 100 * time.Millisecond
)

// option is a candidate with its estimates.
type option struct {
	Candidate
	// first and later are the cautious pass rates by depth; the means decide costs.
	first, later         float64
	firstMean, laterMean float64
	firstSD, laterSD     float64
	mean, p95            float64
}

// path is one possible plan during the search; steps index the options.
type path struct {
	steps     [maxSteps]int
	length    int
	reach     float64
	reachMean float64
	quality   float64
	cost      float64
	ratings   float64
	score     float64
	latency   float64
	variance  float64
}

const maxSteps = 4

// search holds the inputs of one plan search.
type search struct {
	options     []option
	limit       int
	arrived     float64
	ratingMean  float64
	ratingP95   float64
	multiplier  float64
	ratingPrice float64
	gates       bool
	deadline    float64
	target      float64
	kind        string
	front       []path
}

func (p path) p95() float64 { return p.latency + math.Sqrt(p.variance) }

// extend appends option i as the last step of p. The previous last step
// becomes a gate.
func (s *search) extend(p path, i int) path {
	o := s.options[i]
	pass := o.first
	if p.length > 0 {
		pass = o.later
		prev := s.options[p.steps[p.length-1]]
		prevPass, prevMean := prev.first, prev.firstMean
		if p.length > 1 {
			prevPass, prevMean = prev.later, prev.laterMean
		}
		// Only a rating that arrives keeps the answer; the rest goes on.
		p.quality -= p.reach * prevPass * (1 - s.arrived)
		p.ratings += p.reachMean
		p.reach *= 1 - s.arrived*prevPass
		p.reachMean *= 1 - s.arrived*prevMean
		p.latency += s.ratingMean
		p.variance += square(s.ratingP95 - s.ratingMean)
	} else {
		p.reach, p.reachMean = 1, 1
	}
	p.steps[p.length] = i
	p.length++
	p.quality += p.reach * pass
	p.cost += p.reachMean * o.Cost
	p.latency += o.mean
	p.variance += square(o.p95 - o.mean)
	p.score = s.multiplier*p.cost + s.ratingPrice*p.ratings
	return p
}

// enumerate visits every plan whose costs rise from step to step and that
// meets the deadline; escalating to a cheaper version never helps.
func (s *search) enumerate(p path, from int) {
	for i := from; i < len(s.options); i++ {
		next := s.extend(p, i)
		if s.deadline > 0 && next.p95() > s.deadline {
			continue
		}
		s.front = append(s.front, next)
		if next.length < s.limit && s.gates {
			s.enumerate(next, i+1)
		}
	}
}

// reduce keeps only the plans that no other beats in both quality and score,
// ordered by falling quality.
func (s *search) reduce() {
	slices.SortFunc(s.front, func(a, b path) int {
		return cmp.Or(cmp.Compare(b.quality, a.quality), cmp.Compare(a.score, b.score))
	})
	kept := s.front[:0]
	for _, p := range s.front {
		if len(kept) == 0 || p.score < kept[len(kept)-1].score {
			kept = append(kept, p)
		}
	}
	s.front = kept
}

// mix is a random choice between two plans whose average meets the target.
type mix struct {
	below, above path
	// share is the probability of above.
	share float64
	score float64
	met   bool
}

// best returns the mix with the least score that meets the target, or the plan
// of the highest quality when none does.
func (s *search) best(target float64) mix {
	s.reduce()
	if top := s.front[0]; top.quality < target {
		return mix{below: top, above: top, share: 1, score: top.score}
	}
	result := mix{score: math.Inf(1), met: true}
	for _, above := range s.front {
		if above.quality < target {
			break
		}
		if above.score < result.score {
			result = mix{below: above, above: above, share: 1, score: above.score, met: true}
		}
		for _, below := range s.front {
			if below.quality >= target {
				continue
			}
			share := (target - below.quality) / (above.quality - below.quality)
			if score := share*above.score + (1-share)*below.score; score < result.score {
				result = mix{below: below, above: above, share: share, score: score, met: true}
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
	if len(s.front) == 0 {
		return c.finish(s, s.fastest(), "no plan meets the deadline, fastest version", RatingNone), nil
	}
	m := s.best(s.target)
	chosen := m.below
	if c.rnd.Float64() < m.share {
		chosen = m.above
	}
	if explored, ok := c.explore(s, m); ok {
		return c.finish(s, explored, "tries a plan that uncertain estimates may undervalue", RatingSample), nil
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
		return errors.Wrapf(ErrInvalid, "quality target %v", r.QualityTarget)
	}
	if !(r.PriceMultiplier >= 0) || math.IsInf(r.PriceMultiplier, 1) {
		return errors.Wrapf(ErrInvalid, "price multiplier %v", r.PriceMultiplier)
	}
	for _, candidate := range r.Candidates {
		if !(candidate.Cost >= 0) || !(candidate.PriorPassRate >= 0 && candidate.PriorPassRate <= 1) {
			return errors.Wrapf(ErrInvalid, "candidate %q", candidate.Version)
		}
	}
	return nil
}

func (c *Chooser) newSearch(r Request, kind string, now time.Time) *search {
	options := make([]option, len(r.Candidates))
	dearest := 0.0
	for i, candidate := range r.Candidates {
		options[i] = c.option(candidate, kind, now)
		dearest = max(dearest, candidate.Cost)
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.Cost, b.Cost) })
	ratingMean, ratingP95 := c.rating.stats(0)
	multiplier := r.PriceMultiplier
	if multiplier == 0 {
		multiplier = 1
	}
	return &search{
		options:     options,
		limit:       min(c.cfg.MaxSteps, maxSteps),
		arrived:     c.arrived,
		ratingMean:  ratingMean,
		ratingP95:   ratingP95,
		multiplier:  multiplier,
		ratingPrice: dearest * c.bucket.price(),
		gates:       c.bucket.tokens >= 1,
		deadline:    r.Deadline.Seconds(),
		target:      r.QualityTarget,
		kind:        kind,
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
	o.first = max(0, o.firstMean-c.cfg.Confidence*o.firstSD)
	o.later = max(0, o.laterMean-c.cfg.Confidence*o.laterSD)
	o.mean, o.p95 = c.latency[candidate.Version].stats(candidate.Latency)
	return o
}

// fastest returns the single step with the least latency.
func (s *search) fastest() path {
	best := s.extend(path{}, 0)
	for i := range s.options {
		if p := s.extend(path{}, i); p.p95() < best.p95() {
			best = p
		}
	}
	return best
}

// explore returns the plan that would be best if every pass rate were as high
// as its uncertainty allows, for a small share of the requests and only if
// that plan would save enough. Gates and the sampled last answer then teach
// whether it holds. The saving vanishes as evidence grows.
func (c *Chooser) explore(s *search, m mix) (path, bool) {
	if c.rnd.Float64() >= c.cfg.ExploreShare || !s.gates || s.multiplier > exploreMaxMultiplier {
		return path{}, false
	}
	optimistic := *s
	optimistic.options = slices.Clone(s.options)
	optimistic.front = nil
	for i := range optimistic.options {
		o := &optimistic.options[i]
		o.first = min(1, o.firstMean+exploreDeviations*o.firstSD)
		o.later = min(1, o.laterMean+exploreDeviations*o.laterSD)
		o.firstMean, o.laterMean = o.first, o.later
	}
	optimistic.enumerate(path{}, 0)
	best := optimistic.best(s.target)
	if best.score >= exploreGain*m.score {
		return path{}, false
	}
	// The plan is priced with the real estimates again.
	var chosen path
	for _, step := range best.above.steps[:best.above.length] {
		chosen = s.extend(chosen, step)
	}
	return chosen, true
}

// ratingTimeout bounds the wait at a gate for an expected p95 in seconds. Only
// ratings that arrive teach the latency of the service, so a bound of zero
// before the first one would keep it unknown for ever.
func ratingTimeout(p95 float64) time.Duration {
	if p95 == 0 {
		return unknownRatingTimeout
	}
	return max(seconds(2*p95), minRatingTimeout)
}

// finish turns a path into a Plan, spends the ratings it is expected to need
// and decides whether the last answer is rated as evidence.
func (c *Chooser) finish(s *search, p path, reason string, last RatingMode) Plan {
	plan := Plan{Cost: p.cost, Quality: p.quality, Ratings: p.ratings, P95: seconds(p.p95()), Reason: reason}
	for i, step := range p.steps[:p.length] {
		o := s.options[step]
		planned := Step{Version: o.Version, PassRate: o.firstMean, P95: seconds(o.p95), RatingMode: RatingGate}
		planned.RatingTimeout = ratingTimeout(s.ratingP95)
		deviation := o.firstSD
		if i > 0 {
			planned.PassRate, deviation = o.laterMean, o.laterSD
		}
		if i == p.length-1 {
			planned.RatingMode = max(last, c.sampleMode(cellKey{o.Version, s.kind, i > 0}, deviation))
		}
		plan.Steps = append(plan.Steps, planned)
	}
	c.bucket.tokens -= p.ratings
	if plan.Steps[p.length-1].RatingMode == RatingSample {
		c.bucket.tokens -= p.reachMean
	}
	return plan
}

// sampleMode decides whether to rate an answer as evidence: more often the less
// is known, the fewer ratings the estimate has got lately, and after a shift.
func (c *Chooser) sampleMode(key cellKey, deviation float64) RatingMode {
	fill := c.bucket.fill()
	if fill < sampleMinFill {
		return RatingNone
	}
	recent, unchecked := c.evidence.freshness(key, c.bucket.at)
	plenty := min(1, max(0, 2*fill-0.5))
	need := max(0, 1-recent/recentEnough)
	share := max(sampleShareMin, sampleSharePlenty*plenty*need)
	if unchecked {
		share = max(share, sampleShareAlert)
	}
	share = max(share, min(sampleShareUnknown, square(deviation/sampleDeviation)))
	if c.rnd.Float64() < share {
		return RatingSample
	}
	return RatingNone
}

// reason explains the choice in one line.
func (m mix) reason(s *search) string {
	switch {
	case !m.met:
		return fmt.Sprintf("no plan reaches the target %.3f, highest quality", s.target)
	case m.share < 1:
		return fmt.Sprintf("mix of two plans meets the target %.3f, share of the better %.2f", s.target, m.share)
	case !s.gates:
		return "no rating available, least cost single version"
	case m.above.length == 1 && m.above.steps[0] > 0:
		return "cheaper versions pass too rarely or do not fit the deadline"
	default:
		return "least cost at the target"
	}
}

func square(x float64) float64 { return x * x }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
