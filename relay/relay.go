// Package relay serves opaque requests. It finds the route, chooses an endpoint
// and forwards request and answer unchanged. It retries failed requests and resumes
// broken streams where the route allows it. A Codec defines the header names.
package relay

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/internal/logbatch"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

// ConfigSource supplies the configuration in force.
type ConfigSource interface {
	// Table returns the newest routing table; false before the first one.
	Table() (*route.Table, bool)
	// Age returns how long ago the table was last confirmed to be current; false
	// if it never was.
	Age() (time.Duration, bool)
	// Outdated reports whether a newer table may be in force on other hosts.
	Outdated() bool
	// Listed returns a channel that is closed once a configuration has been applied for the
	// first time, together with the endpoints that were listed with it.
	Listed() <-chan struct{}
}

// Versions chooses the version of a service that serves a request.
type Versions interface {
	// Pick returns the version for the session that hashes to point in [0, 1), or
	// an empty string if any version may serve it.
	Pick(service string, point float64) string
	// Successor returns the version that serves in place of another one, whose roll-out has
	// ended against it; false while the other one serves.
	Successor(service, version string) (string, bool)
	// Admit counts an attempt that is about to be sent to a version for the session at
	// point, if it may be sent there.
	Admit(service, version string, point float64) rollout.Admission
	// Unsent takes back that an attempt was admitted that has not reached its endpoint.
	Unsent(service, version string)
	// Observe records the outcome of an attempt at a version.
	Observe(service, version string, o rollout.Observation)
}

// Settings are the limits of the deployment. They may change at any time.
type Settings struct {
	// MaxKeyAge is the age of the configuration above which requests with a key are
	// rejected, because the key may have been revoked; zero for no limit.
	MaxKeyAge time.Duration
	// Retry is this host's share of the retry budget of one service.
	Retry limiter.WindowConfig
	// Hosts is the number of hosts that serve callers, this one included.
	Hosts int
}

// Options configure a Relay. All fields but Forwarder and Lenders are required.
type Options struct {
	Config   ConfigSource
	Fleet    *fleet.Registry
	Versions Versions
	Codec    Codec
	Client   *upstream.Client
	// Forwarder reaches other hosts, which serve requests while this one does not reach
	// the endpoints; nil if there are none.
	Forwarder Forwarder
	// Lenders lend retries for streams in progress; nil if there are none.
	Lenders Lenders
	// Crashes recognises requests that crash the endpoints they run on.
	Crashes *limiter.CrashGuard
	// Parts recognises parts of prompts that crash endpoints.
	Parts *limiter.PartGuard
	// Permits shares the rate limits that endpoints name.
	Permits *limiter.Permits
	// Buffers bounds the bytes of answers that are buffered for all requests.
	Buffers  *limiter.ByteBudget
	Settings func() Settings
	// LearnPace makes the choice of an endpoint follow the measured pace of each one.
	LearnPace bool
	// AdmissionGate makes a gate reject requests under overload by rank, team and time left.
	// Without it, requests are rejected only if no engine can begin them in time.
	AdmissionGate bool
	// Self is the name of this host, and HostNames returns the hosts that may be alive.
	Self          string
	HostNames     func() []string
	FailureDomain string
	Clock         clockwork.Clock
	Rand          func() *rand.Rand
	Logger        *slog.Logger
	Registry      prometheus.Registerer
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	Options
	metrics   *metrics
	holds     endpointHolds
	durations routeDurations
	changes   changeLog
	startup   startupWaiters

	mu    sync.Mutex
	pools map[string]*pool

	rngMu sync.Mutex
	rng   *rand.Rand
}

// New returns a relay.
func New(opts Options) *Relay {
	r := &Relay{Options: opts, metrics: newMetrics(opts.Registry), pools: make(map[string]*pool), rng: opts.Rand()}
	r.changes.log = logbatch.New(opts.Clock, opts.Logger, "endpoint")
	opts.Fleet.OnChange(r.endpointChanged)
	return r
}

// endpointChanged handles a change in the registry. It closes the connections to an
// endpoint that is gone and discards the cache estimate of a restarted one.
func (r *Relay) endpointChanged(c fleet.Change) {
	e := c.Endpoint
	switch {
	case c.Removed:
		r.Client.CloseIdle(e.Address)
		r.Permits.Forget(e.ID)
		r.holds.forget(e.ID)
	case c.Restarted():
		r.Client.CloseIdle(e.Address)
		r.pool(e.Service).forgetCache(e.ID)
		r.Permits.Forget(e.ID)
	}
	r.changes.add(c)
}

// FlushLog logs the changes of endpoints that wait to be logged together.
func (r *Relay) FlushLog() { r.changes.log.Flush() }

// random returns a random number.
func (r *Relay) random() uint64 {
	r.rngMu.Lock()
	defer r.rngMu.Unlock()
	return r.rng.Uint64()
}

// pool returns the pool of a service and creates it if necessary.
func (r *Relay) pool(service string) *pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[service]
	if p == nil {
		p = newPool(r, service)
		r.pools[service] = p
	}
	return p
}

// Serve answers one request. ctx must end when the caller disconnects. It panics with
// http.ErrAbortHandler if it must abort the connection of an incomplete answer.
func (r *Relay) Serve(ctx context.Context, w http.ResponseWriter, req *Request) {
	j := &job{relay: r, req: req, w: w, arrived: r.Clock.Now(), lastEvent: req.LastEvent}
	errResp := j.run(ctx)
	j.finish(ctx, errResp)
}

// LostServices returns the services whose endpoints this host cannot connect to.
func (r *Relay) LostServices() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := []string{}
	for name, p := range r.pools {
		if p.paths.reach.Lost() {
			lost = append(lost, name)
		}
	}
	slices.Sort(lost)
	return lost
}

// Loads returns the load that this host puts on the engines of each service.
func (r *Relay) Loads() Loads {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := make(map[string]map[string]balance.EngineLoad)
	for name, p := range r.pools {
		if l := p.engines.LocalLoads(); len(l) > 0 {
			loads[name] = l
		}
	}
	out := make(Loads)
	for name, l := range loads {
		out[name] = balance.EncodeLoads(l, maxDigestBytes/len(loads))
	}
	return out
}

// ObserveLoads merges the load that another host puts on the engines.
func (r *Relay) ObserveLoads(host string, loads Loads) {
	for service, digest := range loads {
		if err := r.pool(service).engines.ObserveDigest(host, digest, r.Settings().Hosts); err != nil {
			r.Logger.Warn("cannot decode load digest of a host", "from", host, "service", service, "error", err)
		}
	}
}

// PrefillEstimates returns this host's estimates of the prefill rates, by service and
// model.
func (r *Relay) PrefillEstimates() PrefillEstimates {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(PrefillEstimates)
	for name, p := range r.pools {
		if byModel := p.engines.PrefillEstimates(); len(byModel) > 0 {
			out[name] = byModel
		}
	}
	return out
}

// ObservePrefillEstimates merges the estimates of another host.
func (r *Relay) ObservePrefillEstimates(estimates PrefillEstimates) {
	for service, byModel := range estimates {
		r.pool(service).engines.ObservePrefillEstimates(byModel)
	}
}
