package limiter

import (
	"time"
)

const (
	// coldAskTimeout bounds the wait for the granter of a cold endpoint. It is shorter than
	// permitAskTimeout because a warm endpoint usually serves the request instead.
	coldAskTimeout = 100 * time.Millisecond
	// coldStartWait is the time after the start in which a host neither grants permits of
	// cold endpoints nor uses shares. Hosts that start together do not know each other yet,
	// and each would take itself for the granter.
	coldStartWait = 2 * time.Second
	// minColdShareWait is the least time between two requests that a host sends to a cold
	// endpoint without a permit, so that it sends at most one in any second.
	minColdShareWait = 1200 * time.Millisecond
)

// coldLimit is the limit of a cold endpoint and its end by this host's clock.
type coldLimit struct {
	rate  float64
	until time.Time
}

// coldPermits holds the limits of cold endpoints. They are strict: they hold in every
// second, also while hosts are cut off and while two hosts grant. Buckets therefore keep no
// permit beyond the next one.
type coldPermits struct {
	started time.Time
	limits  map[string]coldLimit
	// granted counts the permits that this host grants, shares those that it takes without
	// asking.
	granted, shares map[string]*permitBucket
}

func newColdPermits(now time.Time) coldPermits {
	return coldPermits{
		started: now, limits: make(map[string]coldLimit),
		granted: make(map[string]*permitBucket), shares: make(map[string]*permitBucket),
	}
}

// current returns the rate of an endpoint; false if it is not cold.
func (c *coldPermits) current(endpoint string, now time.Time) (float64, bool) {
	limit, ok := c.limits[endpoint]
	if !ok {
		return 0, false
	}
	if !now.Before(limit.until) {
		delete(c.limits, endpoint)
		return 0, false
	}
	return limit.rate, true
}

func (c *coldPermits) forget(endpoint string) {
	delete(c.limits, endpoint)
	delete(c.granted, endpoint)
	delete(c.shares, endpoint)
}

// SetCold makes an endpoint one with a shared limit, in requests a second, until a time by
// this host's clock. A rate of zero ends the limit.
func (p *Permits) SetCold(endpoint string, rate float64, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if rate <= 0 || !p.clock.Now().Before(until) {
		delete(p.cold.limits, endpoint)
		return
	}
	p.cold.limits[endpoint] = coldLimit{rate: rate, until: until}
}

// Cold reports whether an endpoint has the limit of a cold one.
func (p *Permits) Cold(endpoint string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, cold := p.cold.current(endpoint, p.clock.Now())
	return cold
}

func askTimeout(req PermitRequest) time.Duration {
	if req.Cold {
		return coldAskTimeout
	}
	return permitAskTimeout
}

// grantCold grants a permit of a cold endpoint. It returns the time until one may be free,
// and false if neither this host nor the asking one takes the endpoint for cold. The caller
// holds the lock.
func (p *Permits) grantCold(req PermitRequest, incarnation int64) (wait time.Duration, cold bool) {
	now := p.clock.Now()
	rate, cold := p.cold.current(req.Endpoint, now)
	if req.Cold && req.ColdRate > 0 && (!cold || req.ColdRate < rate) {
		rate, cold = req.ColdRate, true
	}
	if !cold {
		return 0, false
	}
	if wait := p.coldStart(now); wait > 0 {
		return wait, true
	}
	b := p.bucket(p.cold.granted, req.Endpoint)
	return b.grantUpTo(1, rate, incarnation, now), true
}

// takeColdShare takes a permit from this host's share of the rate of a cold endpoint, if it
// is one of the hosts that may use theirs. Unused shares of all hosts would add up to a
// burst. The caller holds the lock.
func (p *Permits) takeColdShare(req PermitRequest) time.Duration {
	now := p.clock.Now()
	if wait := p.coldStart(now); wait > 0 {
		return wait
	}
	if !p.peers.SharesCold(req.Endpoint) {
		return maxPermitWait
	}
	rate := min(req.ColdRate/float64(max(1, p.peers.Hosts())), 1/minColdShareWait.Seconds())
	return p.bucket(p.cold.shares, req.Endpoint).takeUpTo(1, rate, now)
}

// coldStart returns how long this host still waits after its start. A host without peers
// does not.
func (p *Permits) coldStart(now time.Time) time.Duration {
	if p.peers.Hosts() <= 1 {
		return 0
	}
	return max(0, coldStartWait-now.Sub(p.cold.started))
}
