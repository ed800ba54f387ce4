package rollout

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
)

// MaxSummaryClasses bounds the cells in one Summary, at about 80 bytes of JSON each.
const MaxSummaryClasses = 64

// Summary carries the counts of one host's own answers since its start, and the
// verdicts it knows. The counts only rise, so the receiver adds the difference
// from what it has; repeated, late or relayed summaries add nothing.
type Summary struct {
	// Host counted the answers.
	Host string `json:"host"`
	// Incarnation distinguishes restarts of the host, which start at zero.
	Incarnation int64 `json:"incarnation"`
	// Classes are the classes, at most MaxSummaryClasses.
	Classes []ClassSummary `json:"cells"`
}

// ClassSummary is the state of one class.
type ClassSummary struct {
	// Version and Kind identify the class.
	Version string `json:"v"`
	Kind    string `json:"k"`
	// Pass and Fail count the host's own rated answers.
	Pass uint64 `json:"p"`
	Fail uint64 `json:"f"`
	// Start identifies the start of the counts. It rises when a class that was
	// dropped for want of room is counted again from zero.
	Start int64 `json:"b,omitempty"`
	// Epoch, Suspect, Fall and Reference are the latest verdict.
	Epoch     int64   `json:"e,omitempty"`
	Suspect   bool    `json:"s,omitempty"`
	Drop      float64 `json:"d,omitempty"`
	Reference float64 `json:"r,omitempty"`
}

// peer is what is known from another host.
type peer struct {
	incarnation int64
	counts      map[classKey]count
	// used orders the hosts by their last summary.
	used int64
}

type count struct {
	start      int64
	pass, fail uint64
}

// Export returns this host's summary: suspicious classes first, then those
// sent the longest time ago.
func (d *Detector) Export() Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	urgent := func(c *class) int {
		if c.verdict.Suspect || d.largeFall(c) >= rateAllSuspicion {
			return 0
		}
		return 1
	}
	list := slices.SortedFunc(maps.Values(d.classes), func(a, b *class) int {
		return cmp.Or(
			cmp.Compare(urgent(a), urgent(b)),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.key.version, b.key.version),
			cmp.Compare(a.key.kind, b.key.kind),
		)
	})
	s := Summary{Host: d.cfg.Host, Incarnation: d.cfg.Incarnation}
	for _, c := range list[:min(len(list), MaxSummaryClasses)] {
		d.cursor++
		c.sent = d.cursor
		s.Classes = append(s.Classes, ClassSummary{
			Version: c.key.version, Kind: c.key.kind, Pass: c.pass, Fail: c.fail, Start: c.start,
			Epoch: c.verdict.Epoch, Suspect: c.verdict.Suspect,
			Drop: c.verdict.Drop, Reference: c.verdict.Reference,
		})
	}
	return s
}

// Merge takes in another host's summary.
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
		d.dropPeer()
	}
	if p == nil || s.Incarnation > p.incarnation {
		p = &peer{incarnation: s.Incarnation, counts: make(map[classKey]count)}
		d.peers[s.Host] = p
	}
	d.uses++
	p.used = d.uses
	for _, cell := range s.Classes {
		if c := d.class(classKey{cell.Version, cell.Kind}); c != nil {
			d.mergeVerdict(c, cell)
			d.mergeCounts(p, c, cell)
		}
	}
	return nil
}

// dropPeer forgets the host that was silent longest. The bound is above the
// size of the fleet, so that host has left; were it to return with the same
// incarnation, its answers would count again.
func (d *Detector) dropPeer() {
	silent := ""
	for host, p := range d.peers {
		if silent == "" || p.used < d.peers[silent].used {
			silent = host
		}
	}
	delete(d.peers, silent)
}

func (s Summary) validate() error {
	if s.Host == "" || len(s.Classes) > MaxSummaryClasses {
		return errors.Wrapf(ErrInvalid, "summary of %q with %d cells", s.Host, len(s.Classes))
	}
	for _, cell := range s.Classes {
		if cell.Epoch < 0 || cell.Suspect != (cell.Epoch%2 == 1) || !(cell.Drop >= 0 && cell.Drop <= 1) || !(cell.Reference >= 0 && cell.Reference <= 1) {
			return errors.Wrapf(ErrInvalid, "summary of %q: verdict on %q", s.Host, cell.Version)
		}
	}
	return nil
}

// mergeVerdict takes over a later verdict. Odd epochs are suspect and even ones
// good, so equal epochs never disagree.
func (d *Detector) mergeVerdict(c *class, cell ClassSummary) {
	if cell.Epoch > c.verdict.Epoch {
		d.decide(c, cell.Suspect, cell.Epoch, cell.Drop, cell.Reference)
	}
}

func (d *Detector) mergeCounts(p *peer, c *class, cell ClassSummary) {
	known := p.counts[c.key]
	if cell.Start > known.start {
		known = count{start: cell.Start}
	}
	if cell.Start < known.start {
		return
	}
	if cell.Pass < known.pass || cell.Fail < known.fail || cell.Pass+cell.Fail == known.pass+known.fail {
		return
	}
	p.counts[c.key] = count{cell.Start, cell.Pass, cell.Fail}
	d.apply(c, cell.Pass-known.pass, cell.Fail-known.fail)
}
