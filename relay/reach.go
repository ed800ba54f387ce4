package relay

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/upstream"
)

const (
	// checkDialTimeout bounds a connection attempt that checks a path.
	checkDialTimeout = 300 * time.Millisecond
	// witnessesAtOnce is the number of endpoints that are tried at once.
	witnessesAtOnce = 2
	// checkInterval is the time for which the result of a check is used.
	checkInterval = 100 * time.Millisecond
	// lostCheckInterval is the time between two checks of a service that is lost.
	lostCheckInterval = 500 * time.Millisecond
	// minPatience is the time after which an unanswered attempt raises the question
	// whether its endpoint can be reached; minEnginePatience is that of model engines.
	minPatience       = 300 * time.Millisecond
	minEnginePatience = time.Second
	// silentCheckInterval is the time between two checks of an endpoint that is silent, and
	// silentChecks their number. An endpoint that has crashed is back, or no longer
	// registered, after some seconds.
	silentCheckInterval = time.Second
	silentChecks        = 10
	// silentTime is the time without a byte from any endpoint of a lost service after which
	// its attempts are given up.
	silentTime = time.Second
)

// paths checks whether this host reaches the endpoints of one service. It opens
// connections of its own only after an attempt has failed or stays unanswered.
type paths struct {
	pool  *pool
	reach *limiter.Reach

	mu sync.Mutex
	// checks holds the last check for the endpoints of each failure domain.
	checks map[string]*pathCheck
	// attempts are the attempts in flight.
	attempts map[*slot]struct{}
	// answered is when an endpoint last sent something.
	answered time.Time
	// watching is set while watchLost runs.
	watching bool
}

// pathCheck connects to a few endpoints to see whether this host reaches any.
type pathCheck struct {
	began time.Time
	done  chan struct{}
	// opened reports, after done, whether an endpoint of the failure domain accepted a
	// connection, or one of another domain if there was none to try.
	opened bool
}

func newPaths(p *pool) *paths {
	return &paths{
		pool: p, reach: limiter.NewReach(p.relay.Clock), checks: make(map[string]*pathCheck), attempts: make(map[*slot]struct{}),
	}
}

// track keeps an attempt in flight. The returned function ends that.
func (ps *paths) track(sl *slot) (untrack func()) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.attempts[sl] = struct{}{}
	return func() {
		ps.mu.Lock()
		defer ps.mu.Unlock()
		delete(ps.attempts, sl)
	}
}

// received records that the endpoint of an attempt has sent something.
func (ps *paths) received(sl *slot) {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.answered, sl.received = now, now
}

// answeredWithin reports whether an endpoint has sent something within the given time.
func (ps *paths) answeredWithin(d time.Duration) bool {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return !ps.answered.IsZero() && now.Sub(ps.answered) < d
}

// opened records that an endpoint accepted a connection.
func (ps *paths) opened(id string) {
	if !ps.reach.Opened(id) {
		return
	}
	ps.pool.relay.Logger.Info("service reachable again", "service", ps.pool.service, "endpoint", id)
}

// failed records that an endpoint accepted no connection.
func (ps *paths) failed(id string, err error) {
	if !ps.reach.Failed(id) {
		return
	}
	r := ps.pool.relay
	r.metrics.lost.WithLabelValues(ps.pool.service).Set(1)
	r.Logger.Warn("service not reachable from this host", "service", ps.pool.service, "endpoint", id, "error", err)
	r.checkOtherServices(ps.pool)
	go ps.watchLost()
}

// checkOtherServices checks the paths to the services other than a lost one, which may
// have been lost for the same reason.
func (r *Relay) checkOtherServices(lost *pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		if p != lost && !p.paths.answeredWithin(checkInterval) {
			go p.paths.dialAny()
		}
	}
}

// watchLost checks the paths to a lost service until some endpoint accepts connections. It
// ends the attempts that have become silent.
func (ps *paths) watchLost() {
	if !ps.beginWatch() {
		return
	}
	for !ps.endWatch() {
		ps.cancelSilent()
		ps.dialAny()
		ps.pool.relay.Clock.Sleep(lostCheckInterval)
	}
	ps.pool.relay.metrics.lost.WithLabelValues(ps.pool.service).Set(0)
}

// beginWatch reports whether no other watch of the service is running.
func (ps *paths) beginWatch() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	first := !ps.watching
	ps.watching = true
	return first
}

// endWatch ends the watch if the service is reachable.
func (ps *paths) endWatch() bool {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.watching = ps.reach.Lost()
	return !ps.watching
}

// cancelSilent ends the attempts that another endpoint may go on with, if the links of this
// host seem to be silent: no endpoint has sent anything for silentTime, and theirs do not
// answer to connection attempts. An endpoint that accepts one may only be busy, and one that
// refuses it may serve on: it may be leaving, or have all the connections that it takes.
func (ps *paths) cancelSilent() {
	if ps.answeredWithin(silentTime) {
		return
	}
	silent := ps.silentAttempts()
	var endpoints []fleet.Endpoint
	for _, attempts := range silent {
		endpoints = append(endpoints, attempts[0].endpoint)
	}
	for i, err := range ps.dialAll(endpoints) {
		if !upstream.Unanswered(err) {
			continue
		}
		for _, sl := range silent[endpoints[i].ID] {
			ps.pool.relay.Logger.Warn("silent attempt ended", "request", sl.request, "endpoint", sl.endpoint.ID,
				"silent_ms", ps.silence(sl).Milliseconds(), "error", err)
			sl.cancel()
		}
	}
}

// silence returns the time for which nothing has arrived on an attempt.
func (ps *paths) silence(sl *slot) time.Duration {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	return now.Sub(sl.received)
}

// silentAttempts returns, by endpoint, the attempts that may be ended and on which nothing
// has arrived for silentTime.
func (ps *paths) silentAttempts() map[string][]*slot {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	out := make(map[string][]*slot)
	for sl := range ps.attempts {
		if sl.cancel != nil && now.Sub(sl.received) >= silentTime {
			out[sl.endpoint.ID] = append(out[sl.endpoint.ID], sl)
		}
	}
	return out
}

// verdict is the result of an investigation.
type verdict int

const (
	// endpointAccepts means that only a connection was lost.
	endpointAccepts verdict = iota
	// endpointDown means that the endpoint refuses connections and others accept them.
	endpointDown
	// endpointSilent means that the endpoint does not answer to a connection attempt and
	// others accept them. It has crashed with its machine, or only this host has lost the
	// path to it.
	endpointSilent
	// linksDown means that this host cannot connect to others either.
	linksDown
)

// investigate finds out after a failure at an endpoint whether the endpoint or the links of
// this host are at fault.
func (ps *paths) investigate(e fleet.Endpoint) verdict {
	err := ps.dial(e)
	if err == nil {
		return endpointAccepts
	}
	others, refused := ps.othersAccept(e), upstream.Refused(err)
	switch {
	case others && refused:
		return endpointDown
	case others:
		return endpointSilent
	case refused && len(ps.reach.Witnesses(e.ID, 1, 0)) == 0:
		return endpointDown // there is no other endpoint to compare with
	}
	return linksDown
}

// crashed reports whether an endpoint has crashed according to an investigation. If the
// endpoint was silent, it waits until the endpoint refuses connections, has started anew or
// is gone. One that accepts connections again, or stays silent, has not crashed as far as
// this host knows, and one that was stopped has not.
func (ps *paths) crashed(e fleet.Endpoint, found verdict) bool {
	for range silentChecks {
		if found != endpointSilent {
			break
		}
		ps.pool.relay.Clock.Sleep(silentCheckInterval)
		now, ok := ps.pool.relay.Fleet.Endpoint(e.ID)
		if !ok || now.Started != e.Started {
			return true
		}
		found = ps.investigate(e)
	}
	return found == endpointDown && !ps.stops(e)
}

// stops reports whether an endpoint refuses connections because it was stopped: a roll-out has
// ended against its version.
func (ps *paths) stops(e fleet.Endpoint) bool {
	_, replaced := ps.pool.relay.Versions.Successor(ps.pool.service, e.Version)
	return replaced
}

// othersAccept reports whether endpoints other than one that has failed accept connections
// from this host. Calls within checkInterval share the result.
func (ps *paths) othersAccept(failed fleet.Endpoint) bool {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	c := ps.checks[failed.FailureDomain]
	if c != nil && now.Sub(c.began) < checkInterval {
		ps.mu.Unlock()
		<-c.done
		return c.opened
	}
	c = &pathCheck{began: now, done: make(chan struct{})}
	ps.checks[failed.FailureDomain] = c
	ps.mu.Unlock()
	defer close(c.done)
	near, far := ps.witnesses(failed)
	errs := ps.dialAll(append(near, far...))
	if len(near) > 0 {
		errs = errs[:len(near)]
	}
	c.opened = slices.Contains(errs, nil)
	return c.opened
}

// witnesses returns endpoints to compare with one that has failed: one of its failure
// domain, and one of another.
func (ps *paths) witnesses(failed fleet.Endpoint) (near, far []fleet.Endpoint) {
	for _, id := range ps.reach.Witnesses(failed.ID, math.MaxInt, ps.pool.relay.random()) {
		e, ok := ps.pool.relay.Fleet.Endpoint(id)
		switch {
		case !ok:
		case e.FailureDomain == failed.FailureDomain && len(near) == 0:
			near = append(near, e)
		case e.FailureDomain != failed.FailureDomain && len(far) == 0:
			far = append(far, e)
		}
	}
	return near, far
}

// dialAny connects to some endpoints, first to those without a known failure.
func (ps *paths) dialAny() {
	var list []fleet.Endpoint
	for _, id := range ps.reach.Witnesses("", witnessesAtOnce, ps.pool.relay.random()) {
		if e, ok := ps.pool.relay.Fleet.Endpoint(id); ok {
			list = append(list, e)
		}
	}
	ps.dialAll(list)
}

// dialAll connects to endpoints and returns the error of each, nil for those that accepted
// the connection.
func (ps *paths) dialAll(list []fleet.Endpoint) []error {
	errs := make([]error, len(list))
	var wg sync.WaitGroup
	for i, e := range list {
		wg.Go(func() { errs[i] = ps.dial(e) })
	}
	wg.Wait()
	return errs
}

// dial connects to an endpoint and records the result.
func (ps *paths) dial(e fleet.Endpoint) error {
	ctx, cancel := context.WithTimeout(context.Background(), checkDialTimeout)
	defer cancel()
	err := ps.pool.relay.Client.Dial(ctx, e.Address)
	if err != nil {
		ps.failed(e.ID, err)
		return err
	}
	ps.opened(e.ID)
	return nil
}

// watchSilence investigates the endpoint of an attempt if neither it nor another one sends
// anything for some time. The returned function ends the watch.
func (ps *paths) watchSilence(sl *slot) (stop func() bool) {
	patience := minPatience
	if sl.inFlight != nil {
		patience = max(minEnginePatience, 2*sl.choice.TimeToFirstEvent)
	}
	return ps.pool.relay.Clock.AfterFunc(patience, func() {
		if !ps.reach.Lost() && !ps.answeredWithin(patience) {
			ps.investigate(sl.endpoint)
		}
	}).Stop
}
