package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxSummaryClasses bounds the classes in one Summary, at about 80 bytes of
// JSON each.
const MaxSummaryClasses = 64

// Summary carries the answers counted by one host since its start, and its
// verdicts. The counts only increase and the receiver adds the difference from
// the counts it already has, so duplicate, late or relayed summaries add
// nothing.
type Summary struct {
	// Host is the host that counted the answers.
	Host string `json:"host"`
	// Incarnation distinguishes restarts of the host, after which the counts
	// start at zero.
	Incarnation int64 `json:"incarnation"`
	// Classes holds at most MaxSummaryClasses classes.
	Classes []ClassSummary `json:"cells"`
}

// ClassSummary is the state of one class.
type ClassSummary struct {
	// Version and Kind identify the class.
	Version string `json:"v"`
	Kind    string `json:"k"`
	// Pass and Fail count the answers rated on the host.
	Pass uint64 `json:"p"`
	Fail uint64 `json:"f"`
	// Start identifies the start of the counts. It increases when a class that
	// was evicted is counted again from zero.
	Start int64 `json:"b,omitempty"`
	// Epoch, Suspect, Drop and Reference are the latest verdict.
	Epoch     int64   `json:"e,omitempty"`
	Suspect   bool    `json:"s,omitempty"`
	Drop      float64 `json:"d,omitempty"`
	Reference float64 `json:"r,omitempty"`
}

// peer holds the counts received from another host.
type peer struct {
	incarnation int64
	counts      map[classKey]count
	// lastUsed is the value of Detector.useCounter at the last summary.
	lastUsed int64
}

type count struct {
	start      int64
	pass, fail uint64
}

// Export returns this host's summary: suspicious classes first, then those that
// were exported least recently.
func (d *Detector) Export() Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	sortGroup := func(c *class) int {
		if c.verdict.Suspect || d.largeDropSuspicion(c) >= rateAllThreshold {
			return 0
		}
		return 1
	}
	list := slices.SortedFunc(maps.Values(d.classes), func(a, b *class) int {
		return cmp.Or(
			cmp.Compare(sortGroup(a), sortGroup(b)),
			cmp.Compare(a.lastExported, b.lastExported),
			cmp.Compare(a.key.version, b.key.version),
			cmp.Compare(a.key.kind, b.key.kind),
		)
	})
	s := Summary{Host: d.cfg.Host, Incarnation: d.cfg.Incarnation}
	for _, c := range list[:min(len(list), MaxSummaryClasses)] {
		d.exportCounter++
		c.lastExported = d.exportCounter
		s.Classes = append(s.Classes, ClassSummary{
			Version: c.key.version, Kind: c.key.kind, Pass: c.pass, Fail: c.fail, Start: c.start,
			Epoch: c.verdict.Epoch, Suspect: c.verdict.Suspect,
			Drop: c.verdict.Drop, Reference: c.verdict.Reference,
		})
	}
	return s
}

// Merge adds another host's summary.
func (d *Detector) Merge(s Summary) error {
	if err := s.validate(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if s.Host == d.cfg.Host {
		return nil
	}
	p := d.peers[s.Host]
	if p != nil && s.Incarnation < p.incarnation {
		return nil
	}
	if p == nil && len(d.peers) >= maxPeers {
		d.evictPeer()
	}
	if p == nil || s.Incarnation > p.incarnation {
		p = &peer{incarnation: s.Incarnation, counts: make(map[classKey]count)}
		d.peers[s.Host] = p
	}
	d.useCounter++
	p.lastUsed = d.useCounter
	for _, cs := range s.Classes {
		if c := d.class(classKey{cs.Version, cs.Kind}); c != nil {
			d.mergeVerdict(c, cs)
			d.mergeCounts(p, c, cs)
		}
	}
	return nil
}

// evictPeer drops the host whose last summary is the oldest. maxPeers exceeds
// the size of the fleet, so the dropped host has left the fleet. If it returned
// with the same incarnation, its answers would be counted again.
func (d *Detector) evictPeer() {
	leastRecent := ""
	for host, p := range d.peers {
		if leastRecent == "" || p.lastUsed < d.peers[leastRecent].lastUsed {
			leastRecent = host
		}
	}
	delete(d.peers, leastRecent)
}

func (s Summary) validate() error {
	if s.Host == "" || len(s.Classes) > MaxSummaryClasses {
		return errors.Wrapf(ErrInvalid, "summary of host %q with %d classes", s.Host, len(s.Classes))
	}
	for _, cs := range s.Classes {
		if cs.Epoch < 0 || cs.Suspect != (cs.Epoch%2 == 1) || !(cs.Drop >= 0 && cs.Drop <= 1) || !(cs.Reference >= 0 && cs.Reference <= 1) {
			return errors.Wrapf(ErrInvalid, "summary of host %q has an invalid verdict on version %q", s.Host, cs.Version)
		}
	}
	return nil
}

// mergeVerdict adopts a verdict with a later epoch. Odd epochs are suspect and
// even ones good, so verdicts with equal epochs never disagree.
func (d *Detector) mergeVerdict(c *class, cs ClassSummary) {
	if cs.Epoch > c.verdict.Epoch {
		d.setVerdict(c, cs.Suspect, cs.Epoch, cs.Drop, cs.Reference)
	}
}

func (d *Detector) mergeCounts(p *peer, c *class, cs ClassSummary) {
	previous := p.counts[c.key]
	if cs.Start > previous.start {
		previous = count{start: cs.Start}
	}
	if cs.Start < previous.start {
		return
	}
	if cs.Pass < previous.pass || cs.Fail < previous.fail || cs.Pass+cs.Fail == previous.pass+previous.fail {
		return
	}
	p.counts[c.key] = count{cs.Start, cs.Pass, cs.Fail}
	d.addAnswers(c, cs.Pass-previous.pass, cs.Fail-previous.fail)
}
