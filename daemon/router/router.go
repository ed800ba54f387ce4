// Package router assembles the services of a host that relays opaque requests. A
// host stores nothing itself: all persistent state is in the key-value service.
package router

import (
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
	"github.com/corianderlever/corianderlever/internal/crashreports"
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
	// Frontend, Readiness and Directory are the listen addresses (IP:port) for
	// requests, for health checks, and for callers that look up host addresses.
	// An empty address is not served.
	Frontend, Readiness, Directory string
	// Peer is the listen address for calls between hosts.
	Peer string
	// Forward is the listen address for requests that other hosts forward; empty if the
	// host takes none.
	Forward string
	// Metrics is the listen address of the metrics endpoint; empty disables it.
	Metrics string
	// LinkMbps is the bandwidth of the host's network link in Mbit/s, zero if unknown.
	LinkMbps int
	// MemoryBytes is the memory limit of the host, zero if unknown.
	MemoryBytes int64
	// Seeds are the peer addresses of some other hosts, used to join the cluster.
	Seeds []string
	// ClusterKey authenticates hosts to each other.
	ClusterKey []byte
	Bounds     Bounds
	// LearnPace and AdmissionGate switch on the decisions of the same names in relay.Options.
	LearnPace, AdmissionGate bool
}

// Bounds are the limits that the deployment requires the system to keep.
type Bounds struct {
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration
	// RevocationTime is the time after which a revoked key is rejected everywhere.
	RevocationTime time.Duration
	// ChangeTime is the time from the acknowledgement of a change until all hosts act on it.
	ChangeTime time.Duration
	// StrictRevocation makes RevocationTime hold also for hosts that cannot learn of
	// the revocation: they reject all keys. Otherwise they accept the last known keys.
	StrictRevocation bool
	// RetryRatio, RetryWindow and ExtraRetries are the retry budget of a
	// service over all hosts: RetryRatio retries per request in each RetryWindow,
	// plus ExtraRetries.
	RetryRatio   float64
	RetryWindow  time.Duration
	ExtraRetries float64
	// Exposure bounds the requests that a bad version may receive.
	Exposure rollout.StageConfig
	// MaxListTTL is the longest time for which callers may cache a list of addresses.
	MaxListTTL time.Duration
}

// maxStaleness is the age of the state up to which a revoked key is rejected in time.
func (b *Bounds) maxStaleness() time.Duration { return b.RevocationTime - stalenessMargin }

// maxKeyAge is the age of the state above which requests with keys are rejected; zero
// for no limit.
func (b *Bounds) maxKeyAge() time.Duration {
	if !b.StrictRevocation {
		return 0
	}
	return b.maxStaleness()
}

// Options configure a Host.
type Options struct {
	Settings Settings
	Store    kv.Feed
	Records  control.Codec
	Headers  relay.Codec
	// NewEdge returns the edge that serves the deployment's protocol.
	NewEdge func(h *Host, r *relay.Relay) Handlers
	// DialEndpoint opens connections to endpoints; it defaults to TCP.
	DialEndpoint upstream.DialFunc
	// DialHost opens connections to other hosts; it defaults to TCP with probes.
	DialHost upstream.DialFunc
	// Clock, Rand, Logger and Registry are optional.
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

	started  time.Time
	registry *fleet.Registry
	rollouts *control.Rollouts
	state    *control.State
	follower *feed.Follower
	relay    *relay.Relay
	crashes  *limiter.CrashGuard
	parts    *limiter.PartGuard
	permits  *limiter.Permits
	// crashRecord keeps what parts has rejected in the store.
	crashRecord *crashreports.Recorder
	// maxCallerConns is the number of connections above which unused ones are closed.
	maxCallerConns int
	buffers        *limiter.ByteBudget
	loads          *loadHub
	forwarding     *forwarding
	edge           Handlers
	peers          *peerService
	servers        *serverService

	// stop is the graceful shutdown of the host; nil before the stop signal.
	stop atomic.Pointer[shutdown]
	// hosts is the number of live hosts; possibleHosts also counts hosts that
	// failed recently.
	hosts, possibleHosts atomic.Int64
}

const (
	// expiryGrace is how long entries that vanished in an outage of the store are
	// still used. Endpoints register again about 2 s after the store is back.
	expiryGrace = 2200 * time.Millisecond
	// settleTime is the time after an outage in which entries may vanish only
	// because their leases expired during the outage.
	settleTime = time.Second
	// feedTimeout is the time allowed for an answer of the store beyond the time for which
	// it may hold the call.
	feedTimeout = time.Second
	// peerWait is the longest time for which a followed host holds a call. peerPause bounds
	// the calls while much changes.
	peerWait          = 700 * time.Millisecond
	peerPause         = 100 * time.Millisecond
	peerFetchInterval = 300 * time.Millisecond
	// stalenessMargin is the part of the revocation time that is reserved for
	// forwarding a request to its endpoint.
	stalenessMargin = 700 * time.Millisecond
)

// New assembles a host without starting it.
func New(opts Options) (*Host, error) {
	defaults.Fill(&opts.Clock, &opts.Rand, &opts.Logger, &opts.Registry)
	h := &Host{opts: opts, started: opts.Clock.Now(), kernel: kernel.New(), registry: fleet.NewRegistry(expiryGrace)}
	h.SetBounds(opts.Settings.Bounds)
	h.rollouts = control.NewRollouts(opts.Settings.Host, h.registry, func() rollout.StageConfig { return h.bounds.Load().Exposure },
		func() int { return int(h.hosts.Load()) }, opts.Clock, opts.Logger)
	h.rollouts.OnBaselineSession = h.announceSession
	h.state = control.NewState(opts.Records, h.registry, h.rollouts, opts.Clock, opts.Logger)
	h.follower = feed.New(feed.Options{
		Source: opts.Store, Sink: h.state, Timing: h.feedTiming, CallTimeout: feedTimeout, SettleTime: settleTime,
		Clock: opts.Clock, Boottime: boottime.Now, Rand: h.newRand(), Logger: opts.Logger,
		Direct: h.readsStore, QueryPeers: h.queryPeers, FetchFrom: h.fetchFrom, PeerWait: peerWait, PeerPause: peerPause,
		PeerFetchInterval: peerFetchInterval, ProbeInterval: h.probeInterval, ProbeRank: h.probeRank, Announce: h.announceState,
	})
	h.state.Silence = h.follower.Silence
	h.buffers = limiter.NewHostByteBudget(opts.Settings.MemoryBytes)
	h.maxCallerConns = callerConns(opts.Settings.MemoryBytes, descriptorLimit())
	h.crashes = limiter.NewCrashGuard(opts.Clock, limiter.PropagationTime(minHosts, membership.DefaultInterval))
	h.parts = limiter.NewPartGuard(opts.Clock, opts.Logger, true)
	h.parts.Tries = func() bool { return h.peers.reports.Tries() }
	h.crashRecord = &crashreports.Recorder{Guard: h.parts, Write: h.writeCrashRecord, Writes: h.isCoordinator, Clock: opts.Clock, Logger: opts.Logger}
	h.state.OnCrashRecord = h.crashRecord.Apply
	h.state.OnNoCrashRecord = h.crashRecord.Missing
	h.permits = limiter.NewPermits(opts.Clock, opts.Logger, h.permitPeers())
	h.forwarding = newForwarding(h)
	h.relay = relay.New(relay.Options{
		Forwarder: h.forwarding, Lenders: h.lenders(), Self: opts.Settings.Host, HostNames: h.hostNames,
		Config: h, Fleet: h.registry, Versions: h.rollouts, Codec: opts.Headers,
		Client: upstream.NewClient(endpointOptions(opts)), Settings: h.relaySettings,
		LearnPace: opts.Settings.LearnPace, AdmissionGate: opts.Settings.AdmissionGate,
		Crashes: h.crashes, Parts: h.parts, Permits: h.permits, Buffers: h.buffers, FailureDomain: opts.Settings.FailureDomain, Clock: opts.Clock, Rand: h.newRand, Logger: opts.Logger, Registry: opts.Registry,
	})
	h.loads = newLoadHub(opts.Clock, h.relay.OwnLoads)
	h.edge = opts.NewEdge(h, h.relay)
	h.peers = &peerService{host: h, run: background.NewGroup(opts.Logger)}
	h.servers = newServerService(h)
	err := h.kernel.Register(h.peers, &controlService{host: h, run: background.NewGroup(opts.Logger)}, h.servers)
	return h, errors.Wrap(err, "router: register services")
}

// endpointOptions returns the options of the connections to endpoints.
func endpointOptions(opts Options) upstream.Options {
	out := upstream.DefaultOptions()
	out.Dial = opts.DialEndpoint
	return out
}

// newRand returns a new independent source of random numbers.
func (h *Host) newRand() *rand.Rand {
	h.rngMu.Lock()
	defer h.rngMu.Unlock()
	return rand.New(rand.NewPCG(h.opts.Rand.Uint64(), h.opts.Rand.Uint64()))
}

// SetBounds replaces the bounds after a change of the settings. A graceful shutdown that has
// begun takes over a shorter grace period only: its end may come sooner, never later.
func (h *Host) SetBounds(b Bounds) {
	h.bounds.Store(&b)
	if s := h.stop.Load(); s != nil {
		s.shorten(b.GracePeriod)
	}
}

// minHosts is the minimum number of hosts among which shared budgets are divided.
// A host that sees no other hosts may be partitioned from them while they still use
// their parts.
const minHosts = 6

// budgetShare is the usable part of the retry budget. The rest absorbs requests
// that a host counts late.
const budgetShare = 0.9

// relaySettings returns the bounds for the relay, with this host's part of the retry
// budget.
func (h *Host) relaySettings() relay.Settings {
	b := h.bounds.Load()
	hosts := max(minHosts, int(h.possibleHosts.Load()))
	return relay.Settings{
		MaxKeyAge: b.maxKeyAge(),
		Retry: limiter.WindowConfig{
			Window: b.RetryWindow, RetryRatio: budgetShare * b.RetryRatio, ExtraRetries: budgetShare * b.ExtraRetries / float64(hosts),
		},
		Hosts: int(h.hosts.Load()),
	}
}

// hostNames returns the hosts that may be alive, this one included.
func (h *Host) hostNames() []string {
	names := []string{h.opts.Settings.Host}
	for _, m := range h.peers.members.Members() {
		if m.State != membership.Left && m.Host != h.opts.Settings.Host {
			names = append(names, m.Host)
		}
	}
	return names
}

// isCoordinator reports whether this host coordinates the roll-outs. The coordinator
// is the first live member by name that can serve and reaches the store.
func (h *Host) isCoordinator() bool {
	if h.stop.Load() != nil {
		return false
	}
	for _, m := range h.peers.members.Members() {
		if m.State == membership.Alive && h.peers.canCoordinate(m.Host) {
			return m.Host == h.opts.Settings.Host
		}
	}
	return false
}
