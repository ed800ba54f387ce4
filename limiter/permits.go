package limiter

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// permitBurstTime is the time for which unused permits of an endpoint are kept.
	permitBurstTime = 250 * time.Millisecond
	// permitAskTimeout bounds the wait for the host that grants the permits of an
	// endpoint.
	permitAskTimeout = 200 * time.Millisecond
	// minPermitWait is the shortest time after which a host asks again for a permit
	// that it was denied. maxPermitWait bounds it for very low limits.
	minPermitWait = 20 * time.Millisecond
	maxPermitWait = 2 * time.Second
	// takeoverTime is the time for which a host that begins to grant the permits of an
	// endpoint grants only takeoverShare of the limit. As long as the hosts disagree, its
	// predecessor or successor may grant permits too. A host that was not asked for that
	// long begins anew.
	takeoverTime  = 4 * time.Second
	takeoverShare = 0.4
	// limitTTL is how long a limit holds without an answer from the endpoint. It ends
	// earlier when an answer names none.
	limitTTL = time.Minute
	// maxLimitMarks bounds the limits in one message to another host.
	maxLimitMarks = 64
	// limitTolerance is the least difference between two times of one limit that
	// counts. The way from host to host makes a limit look later than it was named.
	limitTolerance = 100 * time.Millisecond
)

// ErrInvalidLimits reports limits of another host that cannot be decoded.
var ErrInvalidLimits = errors.New("limiter: invalid limits")

// PermitRequest asks the host that grants the permits of an endpoint for one permit. It
// names the limit that the asking host knows.
type PermitRequest struct {
	Endpoint string  `json:"endpoint"`
	Rate     float64 `json:"rate"`
	AgeMS    int64   `json:"age_ms"`
	// Cold is set if the endpoint is cold according to the asking host, and ColdRate is the
	// rate that it bears then. The granter may not have heard of it yet.
	Cold     bool    `json:"cold,omitempty"`
	ColdRate float64 `json:"cold_rate,omitempty"`
}

// PermitReply is the answer to a PermitRequest, with the limit that the granting host
// knows.
type PermitReply struct {
	Granted bool    `json:"granted"`
	WaitMS  int64   `json:"wait_ms,omitempty"` // until a permit may be free
	Rate    float64 `json:"rate"`
	AgeMS   int64   `json:"age_ms"`
	// Cold is set if the granter has applied the limit of a cold endpoint. A granter of an
	// older release does not know it.
	Cold bool `json:"cold,omitempty"`
}

// PermitPeers reaches the other hosts.
type PermitPeers interface {
	// Granter returns the host that grants the permits of an endpoint; empty for this
	// one. All hosts should agree on it. It returns false if this host reaches only a
	// minority of the hosts, because then another one may grant them.
	Granter(endpoint string) (host string, ok bool)
	// Ask asks another host for a permit.
	Ask(ctx context.Context, host string, req PermitRequest) (PermitReply, error)
	// Hosts returns the number of hosts that may be alive, this one included.
	Hosts() int
	// SharesCold reports whether this host is one of the few that may use their share of
	// the rate of a cold endpoint when they cannot ask for a permit.
	SharesCold(endpoint string) bool
	// Incarnation returns a number that changes before hosts which took this one for
	// failed take it for alive again.
	Incarnation() int64
}

// LocalPermits is the PermitPeers of a host without peers.
type LocalPermits struct{}

// Granter implements PermitPeers.
func (LocalPermits) Granter(string) (string, bool) { return "", true }

// Ask implements PermitPeers. It is never called, because the host grants all permits.
func (LocalPermits) Ask(context.Context, string, PermitRequest) (PermitReply, error) {
	return PermitReply{}, context.Canceled
}

// Hosts implements PermitPeers.
func (LocalPermits) Hosts() int { return 1 }

// SharesCold implements PermitPeers.
func (LocalPermits) SharesCold(string) bool { return true }

// Incarnation implements PermitPeers.
func (LocalPermits) Incarnation() int64 { return 0 }

// endpointLimit is the limit that an endpoint named; a rate of zero means none.
type endpointLimit struct {
	rate float64
	at   time.Time
}

// permitBucket counts the free permits of one endpoint. It starts empty, so that a host
// that takes over from another one does not grant the same permits again.
type permitBucket struct {
	tokens  float64
	updated time.Time
	// since is when this host began to grant the permits, in the incarnation that it had
	// then.
	since       time.Time
	incarnation int64
}

// grant takes a permit that this host grants. It grants fewer and no bursts in the first
// time.
func (b *permitBucket) grant(rate float64, incarnation int64, now time.Time) time.Duration {
	return b.grantUpTo(burst(rate), rate, incarnation, now)
}

// grantUpTo is grant with a limit on the permits that are kept.
func (b *permitBucket) grantUpTo(most, rate float64, incarnation int64, now time.Time) time.Duration {
	if b.since.IsZero() || incarnation != b.incarnation || now.Sub(b.updated) > takeoverTime {
		b.since, b.incarnation = now, incarnation
	}
	if now.Sub(b.since) < takeoverTime {
		return b.takeUpTo(1, takeoverShare*rate, now)
	}
	return b.takeUpTo(most, rate, now)
}

// burst returns the permits that are kept at a rate.
func burst(rate float64) float64 { return 1 + rate*permitBurstTime.Seconds() }

// take takes a permit at a rate. It returns the time until the next one if none is free.
func (b *permitBucket) take(rate float64, now time.Time) time.Duration {
	return b.takeUpTo(burst(rate), rate, now)
}

func (b *permitBucket) takeUpTo(most, rate float64, now time.Time) time.Duration {
	b.tokens = min(most, b.tokens+rate*max(0, now.Sub(b.updated).Seconds()))
	b.updated = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	wait := time.Duration((1 - b.tokens) / rate * float64(time.Second))
	return min(max(wait, minPermitWait), maxPermitWait)
}

// Permits shares the rate limits that endpoints name in their answers. An endpoint's
// limit holds for all hosts together, so one host grants its permits, one for each
// request, and the others ask it. A host that cannot ask takes its equal share.
type Permits struct {
	clock  clockwork.Clock
	logger *slog.Logger
	peers  PermitPeers

	mu     sync.Mutex
	limits map[string]endpointLimit
	// granted counts the permits that this host grants; shares counts those that it
	// takes without asking.
	granted, shares map[string]*permitBucket
	// deniedUntil is when this host asks again for a permit.
	deniedUntil map[string]time.Time
	cold        coldPermits
}

// NewPermits returns permits that know of no limit.
func NewPermits(clock clockwork.Clock, logger *slog.Logger, peers PermitPeers) *Permits {
	return &Permits{
		clock: clock, logger: logger, peers: peers, limits: make(map[string]endpointLimit),
		granted: make(map[string]*permitBucket), shares: make(map[string]*permitBucket), deniedUntil: make(map[string]time.Time),
		cold: newColdPermits(clock.Now()),
	}
}

// Observe records the limit that an endpoint named in the answer to a request that was
// sent at a time, in requests a second; zero if it named none. An answer without a limit
// ends one only if its request was sent after the limit had been named.
func (p *Permits) Observe(endpoint string, sent time.Time, rate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.limits[endpoint]
	if rate <= 0 && (!ok || !sent.After(known.at)) {
		return
	}
	p.set(endpoint, endpointLimit{rate: max(0, rate), at: p.clock.Now()})
}

// set replaces the limit of an endpoint. The caller holds the lock.
func (p *Permits) set(endpoint string, limit endpointLimit) {
	previous := p.limits[endpoint].rate
	p.limits[endpoint] = limit
	if limit.rate == previous {
		return
	}
	delete(p.deniedUntil, endpoint)
	p.logger.Info("endpoint limit changed", "endpoint", endpoint, "rate", limit.rate, "previous", previous)
}

// learn takes over the limit that another host knows, if it was named later.
func (p *Permits) learn(endpoint string, rate float64, ageMS int64) {
	at := p.clock.Now().Add(-time.Duration(max(0, ageMS)) * time.Millisecond)
	known, ok := p.limits[endpoint]
	if !ok && rate <= 0 || at.Sub(known.at) < limitTolerance {
		return
	}
	p.set(endpoint, endpointLimit{rate: max(0, rate), at: at})
}

// current returns the limit of an endpoint; false if it has none.
func (p *Permits) current(endpoint string) (endpointLimit, bool) {
	limit, ok := p.limits[endpoint]
	return limit, ok && limit.rate > 0 && p.clock.Since(limit.at) < limitTTL
}

// Forget drops the limit of an endpoint that is gone.
func (p *Permits) Forget(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.limits, endpoint)
	delete(p.granted, endpoint)
	delete(p.shares, endpoint)
	delete(p.deniedUntil, endpoint)
	p.cold.forget(endpoint)
}

// Denials returns the endpoints of which no permit is to be had, with the time until one
// may be.
func (p *Permits) Denials() map[string]time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.deniedUntil) == 0 {
		return nil
	}
	out := make(map[string]time.Duration)
	now := p.clock.Now()
	for endpoint, until := range p.deniedUntil {
		_, limited := p.current(endpoint)
		_, cold := p.cold.current(endpoint, now)
		if !limited && !cold || !now.Before(until) {
			delete(p.deniedUntil, endpoint)
			continue
		}
		out[endpoint] = until.Sub(now)
	}
	return out
}

// Acquire gets the permit to send one request to an endpoint now. It returns zero with
// the permit, and the time until one may be free without it.
func (p *Permits) Acquire(ctx context.Context, endpoint string) time.Duration {
	p.mu.Lock()
	limit, limited := p.current(endpoint)
	age := p.clock.Since(limit.at)
	coldRate, cold := p.cold.current(endpoint, p.clock.Now())
	p.mu.Unlock()
	if !limited && !cold {
		return 0
	}
	req := PermitRequest{Endpoint: endpoint, Rate: limit.rate, AgeMS: age.Milliseconds(), Cold: cold, ColdRate: coldRate}
	if !limited {
		req.Rate, req.AgeMS = 0, limitTTL.Milliseconds() // says nothing of a limit that the granter knows
	}
	wait := p.ask(ctx, req)
	if wait > 0 {
		p.mu.Lock()
		p.deniedUntil[endpoint] = p.clock.Now().Add(wait)
		p.mu.Unlock()
	}
	return wait
}

// ask gets a permit from the host that grants it.
func (p *Permits) ask(ctx context.Context, req PermitRequest) time.Duration {
	host, ok := p.peers.Granter(req.Endpoint)
	switch {
	case !ok:
		return p.takeShare(req)
	case host == "":
		return replyWait(p.Grant(req))
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout(req))
	defer cancel()
	reply, err := p.peers.Ask(ctx, host, req)
	if err != nil {
		p.logger.Debug("permit not asked for", "endpoint", req.Endpoint, "to", host, "error", err)
		return p.takeShare(req)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(req.Endpoint, reply.Rate, reply.AgeMS)
	delete(p.shares, req.Endpoint)
	if wait := replyWait(reply); wait > 0 {
		return wait
	}
	if req.Cold && !reply.Cold {
		return p.takeColdShare(req)
	}
	return 0
}

func replyWait(reply PermitReply) time.Duration {
	if reply.Granted {
		return 0
	}
	return max(minPermitWait, time.Duration(reply.WaitMS)*time.Millisecond)
}

// takeShare takes a permit from this host's equal share of a limit. The other hosts
// that cannot ask take theirs, and a host that grants permits does not, so that all
// together stay near the limit.
func (p *Permits) takeShare(req PermitRequest) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if req.Cold {
		if wait := p.takeColdShare(req); wait > 0 || req.Rate <= 0 {
			return wait
		}
	}
	return p.bucket(p.shares, req.Endpoint).take(req.Rate/float64(max(1, p.peers.Hosts())), p.clock.Now())
}

// bucket returns the bucket of an endpoint in one of the maps. The caller holds the
// lock.
func (p *Permits) bucket(buckets map[string]*permitBucket, endpoint string) *permitBucket {
	b := buckets[endpoint]
	if b == nil {
		b = &permitBucket{updated: p.clock.Now()}
		buckets[endpoint] = b
	}
	return b
}

// Grant answers a host that asks for a permit.
func (p *Permits) Grant(req PermitRequest) PermitReply {
	incarnation := p.peers.Incarnation()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.learn(req.Endpoint, req.Rate, req.AgeMS)
	limit, limited := p.current(req.Endpoint)
	reply := PermitReply{Granted: true, Rate: limit.rate, AgeMS: p.clock.Since(limit.at).Milliseconds()}
	wait, cold := p.grantCold(req, incarnation)
	if reply.Cold = cold; wait > 0 {
		reply.Granted, reply.WaitMS = false, wait.Milliseconds()
		return reply
	}
	if !limited {
		return reply
	}
	if wait := p.bucket(p.granted, req.Endpoint).grant(limit.rate, incarnation, p.clock.Now()); wait > 0 {
		reply.Granted, reply.WaitMS = false, wait.Milliseconds()
	}
	return reply
}
