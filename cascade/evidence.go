package cascade

import (
	"math"
	"time"
)

// Bounds of the evidence kept in memory.
const (
	maxOwnCells = 512
	maxPeers    = 1024
)

const (
	// changeMinimum is the least weight of the short memory for a verdict.
	changeMinimum = 10
	// changeDeviations is the distance between the short and the long memory,
	// in standard deviations, that counts as a shift.
	changeDeviations = 2.7
	// changedPriorWeight replaces Config.PriorWeight after a shift, when the
	// declared pass rate has been shown to be wrong.
	changedPriorWeight = 2
	// escalatedPriorFactor lowers the prior of an escalation, since a request
	// that failed once is harder.
	escalatedPriorFactor = 0.85
	// alertRatings is the number of ratings that each estimate should get after
	// a shift of any, and alertTime bounds the time for it.
	alertRatings = 40
	alertTime    = 10 * time.Minute
	// recentHalfLife is the memory of how often an estimate is rated.
	recentHalfLife = 30 * time.Second
	// doubtWeight bounds the evidence on the other depth of a version and kind
	// whose pass rate has shifted.
	doubtWeight = 5
	// cacheTime bounds the age of a pooled estimate on the request path.
	cacheTime = 250 * time.Millisecond
)

type cellKey struct {
	version   string
	kind      string
	escalated bool
}

// Counts are discounted numbers of ratings.
type Counts struct {
	// Pass counts the answers that were good enough.
	Pass float64 `json:"p"`
	// Fail counts the others.
	Fail float64 `json:"f"`
}

func (c Counts) n() float64 { return c.Pass + c.Fail }

func (c Counts) rate() float64 { return c.Pass / c.n() }

func (c Counts) scaled(f float64) Counts { return Counts{c.Pass * f, c.Fail * f} }

func (c Counts) plus(d Counts) Counts { return Counts{c.Pass + d.Pass, c.Fail + d.Fail} }

// forgetAndAdd discounts c to a memory of window ratings and adds one.
func (c Counts) forgetAndAdd(passed bool, window float64) Counts {
	c = c.scaled(1 - 1/window)
	if passed {
		c.Pass++
	} else {
		c.Fail++
	}
	return c
}

// cell is one host's evidence on one key.
type cell struct {
	fast, slow Counts
	// generation counts the shifts seen. Long memories of an older
	// generation are ignored in favour of the short ones.
	generation int
	// sequence rises with every change; a higher one replaces a lower.
	sequence int64
	at       time.Time
	// recent counts ratings with a short memory, checked those since a shift.
	// Both stay on this host.
	recent  float64
	checked int
}

// aged returns the counts discounted to now.
func (c cell) aged(now time.Time, halfLife time.Duration) cell {
	if age := now.Sub(c.at); age > 0 {
		f := math.Exp2(-float64(age) / float64(halfLife))
		c.fast, c.slow, c.at = c.fast.scaled(f), c.slow.scaled(f), now
		c.recent *= math.Exp2(-float64(age) / float64(recentHalfLife))
	}
	return c
}

// raise moves the cell to a newer generation.
func (c *cell) raise(generation int) {
	if generation > c.generation {
		c.generation, c.slow = generation, c.fast
	}
}

type estimate struct {
	pass, fail float64
	generation int
	until      time.Time
}

// evidence holds the cells of this host and the latest known cells of others.
type evidence struct {
	cfg   Config
	own   map[cellKey]*cell
	peers map[string]*peerEvidence
	// order lists the peers by name, so that sums repeat exactly.
	order []string
	cache map[cellKey]estimate
	// alertUntil is when the alert after a shift ends.
	alertUntil time.Time
	// sequence is the last one given to a cell. It is shared by all cells, so a
	// cell that was dropped and rated again still replaces its earlier state.
	sequence int64
	// cursor rotates the cells that a bounded summary carries.
	cursor int64
	sent   map[cellKey]int64
}

type peerEvidence struct {
	incarnation int64
	cells       map[cellKey]cell
	at          time.Time
}

func newEvidence(cfg Config) *evidence {
	return &evidence{
		cfg:   cfg,
		own:   make(map[cellKey]*cell),
		peers: make(map[string]*peerEvidence),
		cache: make(map[cellKey]estimate),
		sent:  make(map[cellKey]int64),
	}
}

func (e *evidence) observe(key cellKey, passed bool, now time.Time) {
	own := e.own[key]
	if own == nil {
		e.makeRoom()
		own = &cell{at: now}
		e.own[key] = own
	}
	*own = own.aged(now, e.cfg.HalfLife)
	hosts := float64(1 + len(e.peers))
	own.fast = own.fast.forgetAndAdd(passed, max(2, e.cfg.FastWindow/hosts))
	own.slow = own.slow.forgetAndAdd(passed, max(2, e.cfg.SlowWindow/hosts))
	own.sequence = e.nextSequence()
	own.recent++
	own.checked++
	e.detectChange(key, own, now)
	delete(e.cache, key)
	delete(e.cache, cellKey{key.version, key.kind, true})
}

func (e *evidence) nextSequence() int64 {
	e.sequence++
	return e.sequence
}

// makeRoom drops the least recently rated cell when the bound is reached.
func (e *evidence) makeRoom() {
	if len(e.own) >= maxOwnCells {
		delete(e.sent, dropOldest(e.own, func(c *cell) time.Time { return c.at }))
	}
}

// detectChange compares the pooled short memory with the pooled long one and
// starts a new generation when they differ too much.
func (e *evidence) detectChange(key cellKey, own *cell, now time.Time) {
	fast, slow, generation := e.pool(key, now)
	own.raise(generation)
	if fast.n() < changeMinimum || slow.n() <= fast.n() {
		return
	}
	old := Counts{max(slow.Pass-fast.Pass, 0) + 0.5, max(slow.Fail-fast.Fail, 0) + 0.5}
	p := (slow.Pass + 1) / (slow.n() + 2)
	sd := math.Sqrt(p * (1 - p) * (1/fast.n() + 1/old.n()))
	if math.Abs(fast.rate()-old.rate()) > changeDeviations*sd {
		own.raise(generation + 1)
		own.sequence = e.nextSequence()
		e.alert(now)
		e.doubt(cellKey{key.version, key.kind, !key.escalated})
	}
}

// alert asks for new ratings of every estimate.
func (e *evidence) alert(now time.Time) {
	e.alertUntil = now.Add(alertTime)
	for _, c := range e.own {
		c.checked = 0
	}
}

// freshness returns the recent ratings of an estimate and whether it still
// needs ratings because of a shift.
func (e *evidence) freshness(key cellKey, now time.Time) (recent float64, unchecked bool) {
	own := e.own[key]
	if own == nil {
		return 0, now.Before(e.alertUntil)
	}
	return own.aged(now, e.cfg.HalfLife).recent, now.Before(e.alertUntil) && own.checked < alertRatings
}

// doubt shrinks the evidence on the other depth of a shifted version and kind,
// which most likely shifted too but is rated less often.
func (e *evidence) doubt(key cellKey) {
	other := e.own[key]
	if other == nil {
		return
	}
	other.raise(other.generation + 1)
	if n := other.slow.n(); n > doubtWeight {
		other.slow = other.slow.scaled(doubtWeight / n)
		other.fast = other.slow
	}
	other.sequence = e.nextSequence()
	delete(e.cache, key)
}

// pool sums the evidence of all hosts. Each host contributes its latest cell
// once, so no rating is counted twice.
func (e *evidence) pool(key cellKey, now time.Time) (fast, slow Counts, generation int) {
	cells := make([]cell, 0, 8)
	if own := e.own[key]; own != nil {
		cells = append(cells, own.aged(now, e.cfg.HalfLife))
	}
	for _, host := range e.order {
		if c, ok := e.peers[host].cells[key]; ok {
			cells = append(cells, c.aged(now, e.cfg.HalfLife))
		}
	}
	for _, c := range cells {
		generation = max(generation, c.generation)
	}
	for _, c := range cells {
		c.raise(generation)
		fast, slow = fast.plus(c.fast), slow.plus(c.slow)
	}
	return fast, slow, generation
}

// estimate returns the mean and the standard deviation of the pass rate.
func (e *evidence) estimate(key cellKey, prior float64, now time.Time) (mean, sd float64) {
	entry, ok := e.cache[key]
	if !ok || !now.Before(entry.until) {
		_, slow, generation := e.pool(key, now)
		entry = estimate{pass: slow.Pass, fail: slow.Fail, generation: generation, until: now.Add(cacheTime)}
		if len(e.cache) >= 4*maxOwnCells {
			clear(e.cache)
		}
		e.cache[key] = entry
	}
	weight := e.cfg.PriorWeight
	if entry.generation > 0 {
		weight = changedPriorWeight
	}
	if key.escalated {
		first, _ := e.estimate(cellKey{key.version, key.kind, false}, prior, now)
		prior = first * escalatedPriorFactor
	}
	n := entry.pass + entry.fail + weight
	mean = (entry.pass + weight*prior) / n
	return mean, math.Sqrt(mean * (1 - mean) / (n + 1))
}
