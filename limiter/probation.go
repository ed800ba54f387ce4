package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// grantTTL ends a grant if its host never reports the end of the run, for
// example because the host was killed. It exceeds the duration of the longest
// response.
const grantTTL = 2 * time.Minute

type grant struct {
	hash     Hash
	endpoint string
	expires  time.Time
}

// Probation grants runs to suspects: across all hosts, at most one suspect per
// endpoint and one run per hash at a time. One host, the first live member in
// rendezvous order, decides for all, and the other hosts send it their requests.
// One host suffices because suspects are rare.
type Probation struct {
	clock clockwork.Clock
	guard *CrashGuard

	mu     sync.Mutex
	grants []grant
}

// NewProbation returns a Probation without grants that consults the guard of its
// own host.
func NewProbation(clock clockwork.Clock, guard *CrashGuard) *Probation {
	return &Probation{clock: clock, guard: guard}
}

// TryStart grants a run of the hash on the endpoint. It returns false if the hash
// must wait or is rejected, or if the hash or the endpoint already has a grant.
// The caller then calls Admit again later.
func (p *Probation) TryStart(hash Hash, endpoint string) bool {
	switch p.guard.Admit(hash).Admission {
	case AdmitReject, AdmitWait:
		return false
	case AdmitNormal, AdmitProbation:
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	kept := p.grants[:0]
	for _, g := range p.grants {
		if now.Before(g.expires) {
			kept = append(kept, g)
		}
	}
	p.grants = kept
	for _, g := range p.grants {
		if g.hash == hash || g.endpoint == endpoint {
			return false
		}
	}
	p.grants = append(p.grants, grant{hash: hash, endpoint: endpoint, expires: now.Add(grantTTL)})
	return true
}

// Finish ends a run. crashed must be true if the endpoint crashed. The crash is
// recorded before the grant ends, so that no host can be granted a third run of
// the hash. The host of the run also records the crash in its own guard.
func (p *Probation) Finish(hash Hash, endpoint string, crashed bool) {
	if crashed {
		p.guard.RecordCrash(endpoint, []Hash{hash})
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.grants[:0]
	for _, g := range p.grants {
		if g.hash != hash || g.endpoint != endpoint {
			kept = append(kept, g)
		}
	}
	p.grants = kept
}
