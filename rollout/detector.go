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
	// Suspicion is the logarithm of the evidence for a large fall relative to
	// that of the threshold. From rateAllSuspicion every answer is rated.
	// Between limitSuspicion and heldSuspicion the share of requests falls
	// from 1 to heldShare, so that fewer requests are in flight unrated.
	rateAllSuspicion = 0.1
	limitSuspicion   = 0.2
	heldSuspicion    = 0.4
	heldShare        = 0.1
	// recoveryEvidence is the evidence at which a suspect class is good again.
	// A bad class returns by chance at most once in as many trickled answers,
	// by the same bound as the threshold; at 1,000 this was seen in trials.
	recoveryEvidence = 1e5
	// maxClasses and maxPeers bound the memory.
	maxClasses = 512
	maxPeers   = 1024
)

type classKey struct{ version, kind string }

// class is the state of one version and kind.
type class struct {
	key classKey
	// pass and fail count this host's own answers since its start.
	pass, fail uint64
	// rated counts the answers of all hosts.
	rated     uint64
	test      statistic
	reference reference
	verdict   Verdict
	recovery  float64
	ratios    factors
	sent      int64
	// used orders the classes by their last answer, and start tells one
	// lifetime of the class on this host from the next.
	used, start int64
}

// declaration is what the configuration says about a version.
type declaration struct {
	rate        float64
	predecessor string
}

// Detector tests all versions. Every host runs one.
type Detector struct {
	cfg       Config
	threshold float64
	clock     clockwork.Clock

	mu       sync.Mutex
	declared map[string]declaration
	classes  map[classKey]*class
	peers    map[string]*peer
	cursor   int64
	// uses counts answers and summaries, to find what was unused longest.
	uses int64
}

// NewDetector returns a Detector.
func NewDetector(cfg Config, clock clockwork.Clock) *Detector {
	cfg = cfg.withDefaults()
	return &Detector{
		cfg:       cfg,
		threshold: cfg.Threshold(),
		clock:     clock,
		declared:  make(map[string]declaration),
		classes:   make(map[classKey]*class),
		peers:     make(map[string]*peer),
	}
}

// Declare tells the declared pass rate of a version (zero if none) and, while
// it is being rolled out, the version it replaces. A version in roll-out is
// tested against the learned rate of its predecessor in the same kind.
func (d *Detector) Declare(version string, passRate float64, predecessor string) error {
	if !(passRate >= 0 && passRate <= 1) {
		return errors.Wrapf(ErrInvalid, "pass rate %v of %q", passRate, version)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	next := declaration{rate: passRate, predecessor: predecessor}
	if d.declared[version] == next {
		return nil
	}
	d.declared[version] = next
	for key, c := range d.classes {
		if key.version == version {
			c.test.setReference(d.referenceOf(c))
		}
	}
	return nil
}

// Observe counts one rated answer of this host.
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
	d.apply(c, pass, fail)
}

// class returns the class. It creates it if needed and drops the least recently
// used class when the bound is reached, so that new versions are always tested.
// It returns nil only if all classes are suspect.
func (d *Detector) class(key classKey) *class {
	c := d.classes[key]
	if c == nil {
		if len(d.classes) >= maxClasses && !d.dropClass() {
			return nil
		}
		c = &class{key: key, start: d.uses}
		c.verdict.Version, c.verdict.Kind = key.version, key.kind
		d.classes[key] = c
		c.test.setReference(d.referenceOf(c))
	}
	d.uses++
	c.used = d.uses
	return c
}

func (d *Detector) dropClass() bool {
	var oldest *class
	for _, c := range d.classes {
		if !c.verdict.Suspect && (oldest == nil || c.used < oldest.used) {
			oldest = c
		}
	}
	if oldest == nil {
		return false
	}
	delete(d.classes, oldest.key)
	return true
}

// Retain forgets all versions that are no longer in the configuration.
func (d *Detector) Retain(keep func(version string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.declared, func(version string, _ declaration) bool { return !keep(version) })
	maps.DeleteFunc(d.classes, func(key classKey, _ *class) bool { return !keep(key.version) })
	for _, p := range d.peers {
		maps.DeleteFunc(p.counts, func(key classKey, _ count) bool { return !keep(key.version) })
	}
}

// referenceOf returns the pass rate a good class has.
func (d *Detector) referenceOf(c *class) float64 {
	declared := d.declared[c.key.version]
	if old := d.classes[classKey{declared.predecessor, c.key.kind}]; old != nil && declared.predecessor != "" {
		if r, ok := old.reference.rate(); ok {
			return r
		}
	}
	if r, ok := c.reference.rate(); ok {
		return r
	}
	return clampRate(cmp.Or(declared.rate, defaultRate) - declaredMargin)
}

// apply takes in answers of any host.
func (d *Detector) apply(c *class, pass, fail uint64) {
	c.rated += pass + fail
	if c.verdict.Suspect {
		c.recovery = advance(c.recovery, c.ratios, pass, fail)
		if c.recovery >= recoveryEvidence {
			d.decide(c, false, c.verdict.Epoch+1, c.verdict.Drop, c.verdict.Reference)
		}
		return
	}
	c.test.observe(pass, fail)
	if c.test.evidence() >= d.threshold {
		d.decide(c, true, c.verdict.Epoch+1, falls[c.test.likeliest()].size, c.test.reference)
		return
	}
	if c.reference.observe(pass, fail) {
		d.refresh(c)
	}
}

// refresh recomputes the references that depend on c.
func (d *Detector) refresh(c *class) {
	c.test.setReference(d.referenceOf(c))
	for version, declared := range d.declared {
		if declared.predecessor != c.key.version {
			continue
		}
		if next := d.classes[classKey{version, c.key.kind}]; next != nil {
			next.test.setReference(d.referenceOf(next))
		}
	}
}

// decide records a verdict and re-arms the tests.
func (d *Detector) decide(c *class, suspect bool, epoch int64, size, reference float64) {
	c.verdict.Suspect, c.verdict.Epoch = suspect, epoch
	c.verdict.Drop, c.verdict.Reference = size, reference
	c.verdict.Rated, c.verdict.At = c.rated, d.clock.Now()
	c.test.reset()
	c.reference.forget()
	c.recovery = 0
	c.ratios = ratio(reference, reference-size)
}

// State is what is known about a class.
type State struct {
	// Suspect tells whether a verdict is in force.
	Suspect bool
	// Suspicion is 0 without and 1 at the evidence for a verdict.
	Suspicion float64
	// Rated is the number of rated answers of all hosts seen.
	Rated uint64
	// Reference is the pass rate a good class has.
	Reference float64
}

// State returns what is known about a class.
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

func (d *Detector) suspicion(evidence float64) float64 {
	return math.Log1p(evidence) / math.Log1p(d.threshold)
}

// largeFall is the suspicion of the largest fall alone. Small falls gather
// evidence by chance too often to limit a version for.
func (d *Detector) largeFall(c *class) float64 {
	return d.suspicion(falls[0].weight * c.test.m[0])
}

// Share returns the share of its requests that a class keeps: 1 while it is
// good, less while evidence for a large fall gathers, SuspectShare when suspect.
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
	excess := (d.largeFall(c) - limitSuspicion) / (heldSuspicion - limitSuspicion)
	return 1 - (1-heldShare)*min(1, max(0, excess))
}

// RatingShare returns the share of a class's answers to rate: base while
// nothing is suspicious, and all once there is suspicion or a verdict. The
// caller's limit on ratings still applies.
func (d *Detector) RatingShare(version, kind string, base float64) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.classes[classKey{version, kind}]
	if c != nil && (c.verdict.Suspect || d.largeFall(c) >= rateAllSuspicion) {
		return 1
	}
	return base
}

// Verdicts returns the classes that have had a verdict, in order of version
// and kind. The writer of the configuration makes a version suspect while any
// of its classes is.
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
