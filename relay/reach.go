package relay

import (
	"context"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
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
	// silentTime is the time without a byte from any endpoint after which open connections are
	// not preferred to another host.
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
	// answered is when an endpoint last sent something, heard when each one with attempts in
	// flight did. running counts these attempts.
	answered time.Time
	heard    map[string]time.Time
	running  map[string]int
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
		pool: p, reach: limiter.NewReach(p.relay.Clock), checks: make(map[string]*pathCheck),
		heard: make(map[string]time.Time), running: make(map[string]int),
	}
}

// track counts an attempt in flight at an endpoint. The returned function ends that.
func (ps *paths) track(id string) (untrack func()) {
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.running[id]++
	return func() {
		ps.mu.Lock()
		defer ps.mu.Unlock()
		if ps.running[id]--; ps.running[id] == 0 {
			delete(ps.running, id)
			delete(ps.heard, id)
		}
	}
}

// received records that an endpoint with an attempt in flight has sent something.
func (ps *paths) received(id string) {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	defer ps.mu.Unlock()
	ps.answered, ps.heard[id] = now, now
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

// watchLost checks the paths to a lost service until some endpoint accepts connections. The
// attempts in flight go on: an endpoint that refuses new connections, or pauses, may serve on,
// and the probes on their own connections find out whether those are lost.
func (ps *paths) watchLost() {
	if !ps.beginWatch() {
		return
	}
	for !ps.endWatch() {
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
