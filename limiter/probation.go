package limiter

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// probationTime ends a grant whose host never reported back, for example
// because it was killed. It exceeds the longest answer.
const probationTime = 2 * time.Minute

type grant struct {
	hash     Hash
	endpoint string
	expires  time.Time
}

// Probation grants suspects their runs: at most one suspect on an endpoint and
// one run of a hash at a time, over all hosts. One host answers for all (the
// first live member by rendezvous order); the others ask it by a peer call.
// Suspects are rare, so one host suffices.
type Probation struct {
	clock clockwork.Clock
	guard *CrashGuard

	mu     sync.Mutex
	grants []grant
}

// NewProbation returns a coordinator that consults the guard of its own host.
func NewProbation(clock clockwork.Clock, guard *CrashGuard) *Probation {
	return &Probation{clock: clock, guard: guard}
}

// TryStart grants the run, or reports false if the hash is refused by now or
// the hash or the endpoint is taken; the caller then asks Admit again later.
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
	p.grants = append(p.grants, grant{hash: hash, endpoint: endpoint, expires: now.Add(probationTime)})
	return true
}

// Finish ends a run. A crash is recorded before the hash is free again, so no
// other host can be granted a third run; crashed must be true if the endpoint
// crashed, and the host of the run also reports it to its own guard.
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
