package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// These thresholds apply to the result of largeDropSuspicion. From
	// rateAllThreshold on, every answer is rated. Between limitingStart and
	// limitingFull the share of requests decreases from 1 to limitedShare, so
	// that fewer unrated requests are in flight.
	rateAllThreshold = 0.1
	limitingStart    = 0.2
	limitingFull     = 0.4
	limitedShare     = 0.1
	// recoveryEvidence is the evidence at which a suspect class becomes good
	// again. By the same bound as for the threshold, a bad class recovers by
	// chance at most once in that many rated answers. At 1,000, bad classes
	// recovered in trials.
	recoveryEvidence = 1e5
	// maxClasses and maxPeers bound the memory of a Detector.
	maxClasses = 512
	maxPeers   = 1024
)

type classKey struct{ version, kind string }

// class is the state of one combination of version and kind.
type class struct {
	key classKey
	// pass and fail count the answers rated on this host since its start.
	pass, fail uint64
	// rated counts the rated answers of all hosts.
	rated             uint64
	test              mixtureTest
	reference         reference
	verdict           Verdict
	recoveryStatistic float64
	recoveryRatios    likelihoodRatios
	lastExported      int64
	// lastUsed is the value of Detector.useCounter at the last answer or
	// summary. start is its value when the class was created, which identifies
	// this lifetime of the class on this host.
	lastUsed, start int64
}

// declaration is the configuration of a version.
type declaration struct {
	rate        float64
	predecessor string
}

// Detector tests all versions for drops of their pass rates. Every host runs
// one.
type Detector struct {
	cfg       Config
	threshold float64
	clock     clockwork.Clock

	mu            sync.Mutex
	declarations  map[string]declaration
	classes       map[classKey]*class
	peers         map[string]*peer
	exportCounter int64
	// useCounter counts answers and summaries. It orders classes and peers by
	// their last use.
	useCounter int64
}

// NewDetector returns a Detector.
func NewDetector(cfg Config, clock clockwork.Clock) *Detector {
	cfg = cfg.withDefaults()
	return &Detector{
		cfg:          cfg,
		threshold:    cfg.Threshold(),
		clock:        clock,
		declarations: make(map[string]declaration),
		classes:      make(map[classKey]*class),
		peers:        make(map[string]*peer),
	}
}

// Declare sets the declared pass rate of a version (zero if none) and, during
// its roll-out, the predecessor that it replaces. A version in roll-out is tested
// against the learned rate of its predecessor for the same kind.
func (d *Detector) Declare(version string, passRate float64, predecessor string) error {
	if !(passRate >= 0 && passRate <= 1) {
		return errors.Wrapf(ErrInvalid, "pass rate %v of version %q is not between 0 and 1", passRate, version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := declaration{rate: passRate, predecessor: predecessor}
	if d.declarations[version] == next {
		return nil
	}
	d.declarations[version] = next
	for key, c := range d.classes {
		if key.version == version {
			c.test.setReference(d.referenceRate(c))
		}
	}
	return nil
}

// Observe counts one answer rated on this host.
func (d *Detector) Observe(version, kind string, passed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.class(classKey{version, kind})
	if c == nil {
		return
	}
	pass, fail := uint64(1), uint64(0)
	if !passed {
		pass, fail = 0, 1
	}
	c.pass += pass
	c.fail += fail
	d.addAnswers(c, pass, fail)
}

// class returns the class, and creates it if needed. At the maximum number of
// classes it evicts the least recently used class that is not suspect, so that
// new versions are always tested. It returns nil only if all classes are
// suspect.
func (d *Detector) class(key classKey) *class {
	c := d.classes[key]
	if c == nil {
		if len(d.classes) >= maxClasses && !d.evictClass() {
			return nil
		}
		c = &class{key: key, start: d.useCounter}
		c.verdict.Version, c.verdict.Kind = key.version, key.kind
		d.classes[key] = c
		c.test.setReference(d.referenceRate(c))
	}
	d.useCounter++
	c.lastUsed = d.useCounter
	return c
}

func (d *Detector) evictClass() bool {
	var oldest *class
	for _, c := range d.classes {
		if !c.verdict.Suspect && (oldest == nil || c.lastUsed < oldest.lastUsed) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(d.classes, oldest.key)
	return true
}

// Retain drops all versions for which keep returns false because they are no
// longer in the configuration.
func (d *Detector) Retain(keep func(version string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.declarations, func(version string, _ declaration) bool { return !keep(version) })
	maps.DeleteFunc(d.classes, func(key classKey, _ *class) bool { return !keep(key.version) })
	for _, p := range d.peers {
		maps.DeleteFunc(p.counts, func(key classKey, _ count) bool { return !keep(key.version) })
	}
}

// referenceRate returns the pass rate expected of a good class.
func (d *Detector) referenceRate(c *class) float64 {
	declared := d.declarations[c.key.version]
	if predecessor := d.classes[classKey{declared.predecessor, c.key.kind}]; predecessor != nil && declared.predecessor != "" {
		if r, ok := predecessor.reference.rate(); ok {
			return r
		}
	}
	if r, ok := c.reference.rate(); ok {
		return r
	}
	return clampRate(cmp.Or(declared.rate, defaultRate) - declaredMargin)
}

// addAnswers adds rated answers of any host to a class.
func (d *Detector) addAnswers(c *class, pass, fail uint64) {
	c.rated += pass + fail
	if c.verdict.Suspect {
		c.recoveryStatistic = updateStatistic(c.recoveryStatistic, c.recoveryRatios, pass, fail)
		if c.recoveryStatistic >= recoveryEvidence {
			d.setVerdict(c, false, c.verdict.Epoch+1, c.verdict.Drop, c.verdict.Reference)
		}
		return
	}
	c.test.observe(pass, fail)
	if c.test.evidence() >= d.threshold {
		d.setVerdict(c, true, c.verdict.Epoch+1, drops[c.test.mostLikely()].size, c.test.reference)
		return
	}
	if c.reference.observe(pass, fail) {
		d.updateReferences(c)
	}
}

// updateReferences recomputes the reference rates that depend on c.
func (d *Detector) updateReferences(c *class) {
	c.test.setReference(d.referenceRate(c))
	for version, declared := range d.declarations {
		if declared.predecessor != c.key.version {
			continue
		}
		if successor := d.classes[classKey{version, c.key.kind}]; successor != nil {
			successor.test.setReference(d.referenceRate(successor))
		}
	}
}

// setVerdict records a verdict and resets the tests.
func (d *Detector) setVerdict(c *class, suspect bool, epoch int64, size, reference float64) {
	c.verdict.Suspect, c.verdict.Epoch = suspect, epoch
	c.verdict.Drop, c.verdict.Reference = size, reference
	c.verdict.Rated, c.verdict.At = c.rated, d.clock.Now()
	c.test.reset()
	c.reference.discardPending()
	c.recoveryStatistic = 0
	c.recoveryRatios = newLikelihoodRatios(reference, reference-size)
}

// State is the state of a class, or of a version over all its classes.
type State struct {
	// Suspect reports whether the class is suspect.
	Suspect bool
	// Suspicion is 0 without evidence and 1 at the evidence for a verdict.
	Suspicion float64
	// Rated is the number of rated answers of all hosts that this host has
	// counted.
	Rated uint64
	// Reference is the pass rate expected of a good class.
	Reference float64
}

// State returns the state of a class.
func (d *Detector) State(version, kind string) State {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[classKey{version, kind}]
	if c == nil {
		return State{}
	}
	return State{
		Suspect:   c.verdict.Suspect,
		Suspicion: d.suspicion(c.test.evidence()),
		Rated:     c.rated,
		Reference: c.test.reference,
	}
}

// suspicion returns the logarithm of the evidence relative to the logarithm of
// the threshold.
func (d *Detector) suspicion(evidence float64) float64 {
	return math.Log1p(evidence) / math.Log1p(d.threshold)
}

// largeDropSuspicion returns the suspicion of the largest drop alone. Small
// drops accumulate evidence by chance too often to limit a version for them.
func (d *Detector) largeDropSuspicion(c *class) float64 {
	return d.suspicion(drops[0].weight * c.test.m[0])
}

// Share returns the share of its requests that a class keeps: 1 while it is
// good, decreasing to limitedShare as evidence for a large drop accumulates, and
// SuspectShare while it is suspect.
func (d *Detector) Share(version, kind string) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[classKey{version, kind}]
	if c == nil {
		return 1
	}
	if c.verdict.Suspect {
		return d.cfg.SuspectShare
	}
	excess := (d.largeDropSuspicion(c) - limitingStart) / (limitingFull - limitingStart)
	return 1 - (1-limitedShare)*min(1, max(0, excess))
}

// RatingShare returns the share of a class's answers to rate: 1 if the class is
// suspect or its suspicion of a large drop is at least rateAllThreshold, and base
// otherwise. The caller's limit on ratings still applies.
func (d *Detector) RatingShare(version, kind string, base float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[classKey{version, kind}]
	if c != nil && (c.verdict.Suspect || d.largeDropSuspicion(c) >= rateAllThreshold) {
		return 1
	}
	return base
}

// Verdicts returns the verdicts of all classes that have had one, sorted by
// version and kind. The writer of the configuration marks a version as suspect
// while any of its classes is suspect.
func (d *Detector) Verdicts() []Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []Verdict
	for _, c := range d.classes {
		if c.verdict.Epoch > 0 {
			list = append(list, c.verdict)
		}
	}
	slices.SortFunc(list, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Kind, b.Kind))
	})
	return list
}
