// Package router puts the services of a host together that relays opaque
// requests. It keeps nothing: all that lasts is in the key-value service.
package router

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/internal/defaults"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/upstream"
)

// Settings are the settings of one host.
type Settings struct {
	// Host is the unique name of the host.
	Host          string
	FailureDomain string
	Region        string
	// Frontend, Readiness and Directory are the addresses (IP:port) for requests,
	// for health checks and for callers that ask where to connect. An empty
	// address is not served.
	Frontend, Readiness, Directory string
	// Peer is the address for calls between hosts.
	Peer string
	// Metrics is the address of the metrics; empty means none.
	Metrics string
	// LinkMbps is the speed of the host's link in Mbit/s, zero if unknown.
	LinkMbps int
	// Seeds are peer addresses of some other hosts.
	Seeds []string
	// ClusterKey authenticates hosts to each other.
	ClusterKey []byte
	Bounds     Bounds
}

// Bounds are the figures that the deployment holds the system to.
type Bounds struct {
	// GracePeriod is the time from the signal to stop to the end of the process.
	GracePeriod time.Duration
	// RevocationTime is the time after which a key that was taken away serves nothing.
	RevocationTime time.Duration
	// RetryRatio, RetryWindow and ExtraRetries are the budget of repeats of a
	// service over all hosts.
	RetryRatio   float64
	RetryWindow  time.Duration
	ExtraRetries float64
	// Exposure bounds the requests that a bad version gets.
	Exposure rollout.StageConfig
	// MaxListTTL is the longest time for which callers keep a list of addresses.
	MaxListTTL time.Duration
}

// maxStaleness is the age of the state above which keys are refused.
func (b *Bounds) maxStaleness() time.Duration { return b.RevocationTime - stalenessMargin }

// Options configure a Host.
type Options struct {
	Settings Settings
	Store    kv.Feed
	Records  control.Codec
	Headers  relay.Codec
	// NewEdge returns the edge that serves the deployment's protocol.
	NewEdge func(h *Host, r *relay.Relay) Handlers
	// Clock, Rand, Logger and Registry have defaults.
	Clock    clockwork.Clock
	Rand     *rand.Rand
	Logger   *slog.Logger
	Registry *prometheus.Registry
}

// Host is one host that relays requests.
type Host struct {
	opts   Options
	kernel *kernel.Kernel
	bounds atomic.Pointer[Bounds]
	rngMu  sync.Mutex

	registry *fleet.Registry
	rollouts *control.Rollouts
	state    *control.State
	follower *feed.Follower
	relay    *relay.Relay
	crashes  *limiter.CrashGuard
	edge     Handlers
	peers    *peerService
	servers  *serverService

	stopping atomic.Bool
	admit    atomic.Bool
	// hosts is the number of live hosts; possibleHosts includes those that failed
	// of late.
	hosts, possibleHosts atomic.Int64
}

const (
	// lapseGrace is how long entries that vanished in an outage are still used;
	// endpoints write again about two seconds after the service is back.
	lapseGrace = 2200 * time.Millisecond
	// lapseWindow is the time after an outage in which entries may vanish that
	// lapsed in it.
	lapseWindow = time.Second
	// feedWait and feedPause give news within half a second at about two calls a
	// second.
	feedWait    = 500 * time.Millisecond
	feedPause   = 500 * time.Millisecond
	feedTimeout = time.Second
	// askAge is the age of the state from which a host asks whoever may answer. A
	// host that follows another one usually knows its state within 1.7 s.
	askAge      = 2 * time.Second
	askInterval = 300 * time.Millisecond
	// stalenessMargin is the part of the time for a revocation that is left for
	// the way of a request to its endpoint.
	stalenessMargin = 700 * time.Millisecond
)

// New puts a host together without starting it.
func New(opts Options) (*Host, error) {
	defaults.Fill(&opts.Clock, &opts.Rand, &opts.Logger, &opts.Registry)
	h := &Host{opts: opts, kernel: kernel.New(), registry: fleet.NewRegistry(lapseGrace)}
	h.admit.Store(true)
	h.SetBounds(opts.Settings.Bounds)
	h.rollouts = control.NewRollouts(opts.Settings.Host, h.registry, func() rollout.StageConfig { return h.bounds.Load().Exposure },
		func() int { return int(h.hosts.Load()) }, opts.Clock, opts.Logger)
	h.state = control.NewState(opts.Records, h.registry, h.rollouts, opts.Clock, opts.Logger)
	h.follower = feed.New(feed.Options{
		Source: opts.Store, Sink: h.state, Wait: feedWait, Pause: feedPause, CallTimeout: feedTimeout, SettleTime: lapseWindow,
		Clock: opts.Clock, Boottime: boottime.Now, Rand: h.newRand(), Logger: opts.Logger,
		Direct: h.readsStore, FetchFromPeer: h.askPeers, PeerFetchAge: askAge, PeerFetchInterval: askInterval,
	})
	h.crashes = limiter.NewCrashGuard(opts.Clock, limiter.PropagationTime(minHosts, membership.DefaultInterval))
	h.relay = relay.New(relay.Options{
		Config: h, Fleet: h.registry, Versions: h.rollouts, Codec: opts.Headers,
		Client: upstream.NewClient(upstream.DefaultOptions()), Settings: h.relaySettings,
		Crashes: h.crashes, FailureDomain: opts.Settings.FailureDomain, Clock: opts.Clock, Rand: h.newRand, Logger: opts.Logger, Registry: opts.Registry,
	})
	h.edge = opts.NewEdge(h, h.relay)
	h.peers = &peerService{host: h, run: background.NewGroup(opts.Logger)}
	h.servers = &serverService{host: h, run: background.NewGroup(opts.Logger)}
	err := h.kernel.Register(h.peers, &controlService{host: h, run: background.NewGroup(opts.Logger)}, h.servers)
	return h, errors.Wrap(err, "router: register services")
}

// newRand returns a source of random numbers of its own.
func (h *Host) newRand() *rand.Rand {
	h.rngMu.Lock()
	defer h.rngMu.Unlock()
	return rand.New(rand.NewPCG(h.opts.Rand.Uint64(), h.opts.Rand.Uint64()))
}

// SetBounds replaces the bounds, such as after a change of the settings.
func (h *Host) SetBounds(b Bounds) { h.bounds.Store(&b) }

// minHosts is the number of hosts among which the shared budgets are divided
// at least: a host that knows of no others may be cut off from them.
const minHosts = 6

// budgetPart leaves room for the requests that a host counts late.
const budgetPart = 0.9

func (h *Host) relaySettings() relay.Settings {
	b := h.bounds.Load()
	hosts := max(minHosts, int(h.possibleHosts.Load()))
	return relay.Settings{
		MaxStaleness: b.maxStaleness(),
		Retry: limiter.WindowConfig{
			Window: b.RetryWindow, RetryRatio: budgetPart * b.RetryRatio, ExtraRetries: budgetPart * b.ExtraRetries / float64(hosts),
		},
		Hosts: int(h.hosts.Load()),
	}
}

// Run starts the host, waits for ctx to end, and stops it.
func (h *Host) Run(ctx context.Context) error {
	log := h.opts.Logger
	if err := h.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "router: start")
	}
	log.Info("started", "host", h.opts.Settings.Host, "domain", h.opts.Settings.FailureDomain, "frontend", h.opts.Settings.Frontend)
	<-ctx.Done()
	log.Info("stopping", "running", h.servers.running.Load())
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), h.bounds.Load().GracePeriod)
	defer cancel()
	h.drain(stopCtx)
	err := h.kernel.Stop(stopCtx)
	log.Info("stopped", "error", err)
	return err
}

const (
	// listTTL is how long callers keep a list of addresses.
	listTTL = time.Second
	// listKept is how much longer than told some callers keep it.
	listKept = 3
	// spreadTime is the time in which the other hosts learn that one is stopping.
	spreadTime = 300 * time.Millisecond
	// stopMargin is left of the grace time when the last requests are cut.
	stopMargin = 600 * time.Millisecond
)

// drain leaves the list of hosts, serves until the lists given out have
// expired, and waits for the requests under way.
func (h *Host) drain(ctx context.Context) {
	grace := h.bounds.Load().GracePeriod
	began := h.opts.Clock.Now()
	h.stopping.Store(true)
	h.peers.members.Leave()
	h.wait(ctx, spreadTime+listKept*h.listTTL())
	h.admit.Store(false)
	for h.servers.running.Load() > 0 && h.opts.Clock.Since(began) < grace-stopMargin && ctx.Err() == nil {
		h.wait(ctx, drainPoll)
	}
	if n := h.servers.running.Load(); n > 0 {
		h.opts.Logger.Warn("requests cut at the end of the grace time", "running", n)
	}
}

// drainPoll is the time between two looks at the requests under way.
const drainPoll = 50 * time.Millisecond

func (h *Host) wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.opts.Clock.After(d):
	}
}

func (h *Host) listTTL() time.Duration {
	if life := h.bounds.Load().MaxListTTL; life > 0 {
		return min(listTTL, life)
	}
	return listTTL
}

// leads reports whether this host coordinates the roll-outs: the first live
// member by name that can serve and reaches the store.
func (h *Host) leads() bool {
	if h.stopping.Load() {
		return false
	}
	for _, m := range h.peers.members.Members() {
		if m.State == membership.Alive && h.peers.coordinates(m.Host) {
			return m.Host == h.opts.Settings.Host
		}
	}
	return false
}
