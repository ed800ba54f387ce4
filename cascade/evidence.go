package cascade

import (
	"math"
	"time"
)

// Bounds of the evidence in memory: cells per host and number of peers.
const (
	maxCells = 512
	maxPeers = 1024
)

const (
	// minShiftRatings is the number of ratings in the short window from which on a
	// shift can be detected.
	minShiftRatings = 10
	// shiftDeviations is the distance between the pass rates of the short and the
	// long window, in standard deviations, that counts as a shift.
	shiftDeviations = 2.7
	// shiftedPriorWeight replaces Config.PriorWeight after a shift, which shows that
	// the declared pass rate is wrong.
	shiftedPriorWeight = 2
	// escalatedPriorFactor lowers the prior of an escalated request, which is harder
	// because another version failed it.
	escalatedPriorFactor = 0.85
	// recheckRatings is the number of ratings that every estimate should get after
	// any of them has shifted, and recheckPeriod the time limit for it.
	recheckRatings = 40
	recheckPeriod  = 10 * time.Minute
	// recentHalfLife is the half-life of the count of recent ratings.
	recentHalfLife = 30 * time.Second
	// otherDepthWeight is the number of ratings to which the evidence on the other
	// depth of a version and kind is reduced after a shift.
	otherDepthWeight = 5
	// estimateTTL bounds the age of the cached counts on the request path.
	estimateTTL = 250 * time.Millisecond
)

// cellKey identifies an estimate and the cells that it is computed from.
type cellKey struct {
	version   string
	kind      string
	escalated bool
}

// Counts are numbers of ratings, discounted and therefore not whole.
type Counts struct {
	// Pass is the number of answers that were good enough.
	Pass float64 `json:"p"`
	// Fail is the number of poor answers.
	Fail float64 `json:"f"`
}

func (c Counts) total() float64 { return c.Pass + c.Fail }

func (c Counts) passRate() float64 { return c.Pass / c.total() }

func (c Counts) scaled(f float64) Counts { return Counts{c.Pass * f, c.Fail * f} }

func (c Counts) plus(d Counts) Counts { return Counts{c.Pass + d.Pass, c.Fail + d.Fail} }

// discountAndAdd adds one rating and discounts the earlier ones, so that the
// total approaches window.
func (c Counts) discountAndAdd(passed bool, window float64) Counts {
	c = c.scaled(1 - 1/window)
	if passed {
		c.Pass++
	} else {
		c.Fail++
	}
	return c
}

// cell holds the ratings that one host has observed for one key.
type cell struct {
	short, long Counts
	// generation is the number of shifts detected. In a cell of an older
	// generation the long window is replaced by the short one.
	generation int
	// sequence increases with every change. Peers keep the state with the highest
	// sequence.
	sequence  int64
	updatedAt time.Time
	// recentRatings is discounted with recentHalfLife. ratingsSinceShift is the
	// count since the last shift of any estimate. Neither is sent to peers.
	recentRatings     float64
	ratingsSinceShift int
}

// discounted returns the cell with its counts discounted to now.
func (c cell) discounted(now time.Time, halfLife time.Duration) cell {
	if age := now.Sub(c.updatedAt); age > 0 {
		f := math.Exp2(-float64(age) / float64(halfLife))
		c.short, c.long, c.updatedAt = c.short.scaled(f), c.long.scaled(f), now
		c.recentRatings *= math.Exp2(-float64(age) / float64(recentHalfLife))
	}
	return c
}

// advanceGeneration moves the cell to a newer generation and replaces its long
// window by the short one.
func (c *cell) advanceGeneration(generation int) {
	if generation > c.generation {
		c.generation, c.long = generation, c.short
	}
}

// cachedCounts are the pooled counts of the long window, valid until expires.
type cachedCounts struct {
	pass, fail float64
	generation int
	expires    time.Time
}

// evidence holds the cells of this host and the latest cells received from peers.
type evidence struct {
	cfg   Config
	local map[cellKey]*cell
	peers map[string]*peerEvidence
	// peerOrder lists the peers by name. Summing in a fixed order makes the
	// floating-point results reproducible.
	peerOrder []string
	cache     map[cellKey]cachedCounts
	// recheckUntil is the end of the recheck period after a shift.
	recheckUntil time.Time
	// sequence is the last number assigned. It is shared by all cells, so that a cell
	// that was evicted and rated again replaces its earlier state at the peers.
	sequence int64
	// exportCounter numbers the exported cells, and lastExported holds the number
	// of each cell's last export. Summaries are bounded and carry the cells in turn.
	exportCounter int64
	lastExported  map[cellKey]int64
}

type peerEvidence struct {
	incarnation int64
	cells       map[cellKey]cell
	receivedAt  time.Time
}

func newEvidence(cfg Config) *evidence {
	return &evidence{
		cfg:          cfg,
		local:        make(map[cellKey]*cell),
		peers:        make(map[string]*peerEvidence),
		cache:        make(map[cellKey]cachedCounts),
		lastExported: make(map[cellKey]int64),
	}
}

func (e *evidence) observe(key cellKey, passed bool, now time.Time) {
	local := e.local[key]
	if local == nil {
		e.evictIfFull()
		local = &cell{updatedAt: now}
		e.local[key] = local
	}
	*local = local.discounted(now, e.cfg.HalfLife)
	hosts := float64(1 + len(e.peers))
	local.short = local.short.discountAndAdd(passed, max(2, e.cfg.ShortWindow/hosts))
	local.long = local.long.discountAndAdd(passed, max(2, e.cfg.LongWindow/hosts))
	local.sequence = e.nextSequence()
	local.recentRatings++
	local.ratingsSinceShift++
	e.detectShift(key, local, now)
	delete(e.cache, key)
	delete(e.cache, cellKey{key.version, key.kind, true})
}

func (e *evidence) nextSequence() int64 {
	e.sequence++
	return e.sequence
}

// evictIfFull evicts the least recently rated cell if there are maxCells.
func (e *evidence) evictIfFull() {
	if len(e.local) >= maxCells {
		delete(e.lastExported, evictOldest(e.local, func(c *cell) time.Time { return c.updatedAt }))
	}
}

// detectShift compares the pooled short window with the part of the long one that
// precedes it. If they differ by more than shiftDeviations, it starts a new
// generation and a recheck.
func (e *evidence) detectShift(key cellKey, local *cell, now time.Time) {
	short, long, generation := e.pool(key, now)
	local.advanceGeneration(generation)
	if short.total() < minShiftRatings || long.total() <= short.total() {
		return
	}
	old := Counts{max(long.Pass-short.Pass, 0) + 0.5, max(long.Fail-short.Fail, 0) + 0.5}
	p := (long.Pass + 1) / (long.total() + 2)
	sd := math.Sqrt(p * (1 - p) * (1/short.total() + 1/old.total()))
	if math.Abs(short.passRate()-old.passRate()) > shiftDeviations*sd {
		local.advanceGeneration(generation + 1)
		local.sequence = e.nextSequence()
		e.startRecheck(now)
		e.discountOtherDepth(cellKey{key.version, key.kind, !key.escalated})
	}
}

// startRecheck requests new ratings of every estimate.
func (e *evidence) startRecheck(now time.Time) {
	e.recheckUntil = now.Add(recheckPeriod)
	for _, c := range e.local {
		c.ratingsSinceShift = 0
	}
}

// ratingCoverage returns the discounted number of recent ratings of an estimate,
// and whether it still needs ratings after a shift.
func (e *evidence) ratingCoverage(key cellKey, now time.Time) (recent float64, unchecked bool) {
	local := e.local[key]
	if local == nil {
		return 0, now.Before(e.recheckUntil)
	}
	return local.discounted(now, e.cfg.HalfLife).recentRatings, now.Before(e.recheckUntil) && local.ratingsSinceShift < recheckRatings
}

// discountOtherDepth reduces the evidence on key, the other depth of a version and
// kind that has shifted. It has most likely shifted too but is rated less often.
func (e *evidence) discountOtherDepth(key cellKey) {
	other := e.local[key]
	if other == nil {
		return
	}
	other.advanceGeneration(other.generation + 1)
	if n := other.long.total(); n > otherDepthWeight {
		other.long = other.long.scaled(otherDepthWeight / n)
		other.short = other.long
	}
	other.sequence = e.nextSequence()
	delete(e.cache, key)
}

// pool sums the evidence of all hosts. It counts only the latest cell of each
// host, so that no rating is counted twice.
func (e *evidence) pool(key cellKey, now time.Time) (short, long Counts, generation int) {
	cells := make([]cell, 0, 8)
	if local := e.local[key]; local != nil {
		cells = append(cells, local.discounted(now, e.cfg.HalfLife))
	}
	for _, host := range e.peerOrder {
		if c, ok := e.peers[host].cells[key]; ok {
			cells = append(cells, c.discounted(now, e.cfg.HalfLife))
		}
	}
	for _, c := range cells {
		generation = max(generation, c.generation)
	}
	for _, c := range cells {
		c.advanceGeneration(generation)
		short, long = short.plus(c.short), long.plus(c.long)
	}
	return short, long, generation
}

// estimate returns the mean and the standard deviation of the pass rate, given the
// declared pass rate as the prior.
func (e *evidence) estimate(key cellKey, prior float64, now time.Time) (mean, sd float64) {
	entry, ok := e.cache[key]
	if !ok || !now.Before(entry.expires) {
		_, long, generation := e.pool(key, now)
		entry = cachedCounts{pass: long.Pass, fail: long.Fail, generation: generation, expires: now.Add(estimateTTL)}
		if len(e.cache) >= 4*maxCells {
			clear(e.cache)
		}
		e.cache[key] = entry
	}
	weight := e.cfg.PriorWeight
	if entry.generation > 0 {
		weight = shiftedPriorWeight
	}
	if key.escalated {
		first, _ := e.estimate(cellKey{key.version, key.kind, false}, prior, now)
		prior = first * escalatedPriorFactor
	}
	n := entry.pass + entry.fail + weight
	mean = (entry.pass + weight*prior) / n
	return mean, math.Sqrt(mean * (1 - mean) / (n + 1))
}
