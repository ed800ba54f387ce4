package router

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/internal/broadcast"
	"github.com/corianderlever/corianderlever/internal/crashreports"
	"github.com/corianderlever/corianderlever/internal/permitpeers"
	"github.com/corianderlever/corianderlever/internal/retryloans"
	"github.com/corianderlever/corianderlever/internal/runlease"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/relay"
)

// Names of the services of a host.
const (
	servicePeers   = "peers"
	serviceControl = "control"
	serviceServers = "servers"
)

// peerService provides calls between hosts and the cluster membership.
type peerService struct {
	host   *Host
	run    *background.Group
	server *peer.Server
	client *peer.Client
	// feedClient transfers updates of the state, on connections of its own, so that
	// they do not delay other calls.
	feedClient *peer.Client
	members    *membership.Membership
	ln         net.Listener
	// calls reaches all other hosts, reports exchanges crash reports with them.
	calls   *broadcast.Caller
	reports *crashreports.Exchange

	mu    sync.Mutex
	fresh map[string]freshness
}

var _ kernel.Provisioner = (*peerService)(nil)

func (s *peerService) Name() string { return servicePeers }

// peerCallTimeout bounds a call between hosts.
const peerCallTimeout = 700 * time.Millisecond

// feedCallTimeout bounds the wait for a change and the transfer of an update.
const feedCallTimeout = peerWait + 800*time.Millisecond

// Provision creates the server, the client and the membership.
func (s *peerService) Provision(*kernel.Kernel) error {
	o, set := s.host.opts, s.host.opts.Settings
	s.fresh = make(map[string]freshness)
	var err error
	s.server, err = peer.NewServer(peer.ServerOptions{Key: set.ClusterKey, Clock: o.Clock, Logger: o.Logger})
	if err != nil {
		return err
	}
	clientOptions := peer.ClientOptions{
		Key: set.ClusterKey, Self: set.Host, Clock: o.Clock, Logger: o.Logger, CallTimeout: peerCallTimeout, DialTimeout: peerCallTimeout,
		Dial: s.dial(),
	}
	if s.client, err = peer.NewClient(clientOptions); err != nil {
		return err
	}
	clientOptions.CallTimeout = feedCallTimeout
	if s.feedClient, err = peer.NewClient(clientOptions); err != nil {
		return err
	}
	s.members, err = membership.New(membership.Options{
		Self: membership.Member{
			Host: set.Host, PeerAddress: set.Peer, EntryAddress: set.Frontend, ForwardAddress: set.Forward, FailureDomain: set.FailureDomain, Region: set.Region,
			LinkMbps: set.LinkMbps,
		},
		Seeds: set.Seeds, Caller: s.client, Registrar: s.server, Clock: o.Clock, Rand: s.host.newRand(), Logger: o.Logger,
		EntryTTL: listTTL,
	})
	if err != nil {
		return err
	}
	s.members.OnChange(s.memberChanged)
	s.registerSignals()
	s.server.Handle(methodUpdate, s.handleUpdate)
	s.server.Handle(methodAnnounce, s.handleAnnounce)
	s.server.Handle(methodLoads, s.handleLoads)
	s.server.Handle(methodStep, s.handleStep)
	s.server.Handle(methodSessions, s.handleSessions)
	s.calls = broadcast.New(broadcast.Options{Self: set.Host, Members: s.members.Members, Call: s.client.Call, Rand: s.host.newRand(), Logger: o.Logger})
	s.reports = s.newCrashReports()
	s.reports.Register(s.server)
	s.server.Handle(permitpeers.Method, permitpeers.Handler(s.host.permits))
	s.server.Handle(retryloans.Method, retryloans.Handler(s.host.relay.LendRetries))
	s.server.Handle(runlease.MethodRenew, s.host.forwarding.grantor.HandleRenew)
	s.server.Handle(runlease.MethodRevoke, s.host.forwarding.holder.HandleRevoke)
	s.ln, err = net.Listen("tcp", set.Peer)
	return errors.Wrap(err, "router: listen for peers")
}

// Start starts answering peers and sending heartbeats.
func (s *peerService) Start(context.Context) error {
	s.run.Start(servicePeers, func(ctx context.Context) error { return s.server.Serve(ctx, s.ln) })
	s.run.Start("membership", s.members.Run)
	s.run.Start("crash reports", s.reports.Run)
	s.run.Start("run leases", s.host.forwarding.holder.Run)
	return nil
}

// Stop stops heartbeats and closes connections to peers.
func (s *peerService) Stop(ctx context.Context) error {
	return errors.CombineErrors(s.run.Stop(ctx), errors.CombineErrors(s.client.Close(), s.feedClient.Close()))
}

// dial returns what opens connections to other hosts; nil for the default.
func (s *peerService) dial() func(ctx context.Context, addr string) (net.Conn, error) {
	dialHost := s.host.opts.DialHost
	if dialHost == nil {
		return nil
	}
	return func(ctx context.Context, addr string) (net.Conn, error) { return dialHost(ctx, "tcp", addr) }
}

func (s *peerService) memberChanged(membership.Member) { s.host.countHosts(s.members.Count()) }

// countHosts takes over the numbers of live hosts and of hosts that may be alive.
func (h *Host) countHosts(c membership.Counts) {
	h.hosts.Store(int64(c.Live))
	h.possibleHosts.Store(int64(c.Possible))
}

// freshness is the signal by which a host reports whether its state is recent and
// whether it reaches the store.
type freshness struct {
	// Fresh is set if the host can serve requests and its state is recent.
	Fresh bool `json:"fresh"`
	// Store is set if the store answers calls of the host itself.
	Store bool `json:"store"`
	// Table is the version of the host's routing table.
	Table int64 `json:"table,omitempty"`
}

// storeContactTimeout is the time after the last answer of the store for which a
// host counts as connected to it.
const storeContactTimeout = 2 * time.Second

func (s *peerService) localFreshness() freshness {
	h := s.host
	return freshness{
		Fresh: h.Ready() && h.fresh(), Store: h.follower.StoreAnsweredWithin(storeContactTimeout), Table: h.tableVersion(),
	}
}

// newestTable returns the highest version of a routing table that another host has
// reported.
func (s *peerService) newestTable() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	newest := int64(0)
	for _, f := range s.fresh {
		newest = max(newest, f.Table)
	}
	return newest
}

func (s *peerService) registerSignals() {
	signal(s, "freshness", s.localFreshness, func(from string, v freshness) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fresh[from] = v
	})
	signal(s, "rollouts", s.host.rollouts.Reports, func(from string, v map[string]control.Report) { s.host.rollouts.MergeReports(from, v) })
	signal(s, "trials", s.host.rollouts.CanaryTallies, func(from string, v map[string][]byte) { s.host.rollouts.MergeCanaryTallies(from, v) })
	signal(s, "sessions", s.host.rollouts.BaselineSessions, func(_ string, v map[string][]uint32) { s.host.rollouts.MergeBaselineSessions(v) })
	signal(s, "crashes", s.crashMarks, s.mergeCrashMarks)
	signal(s, "parts", s.partMarks, func(from string, v json.RawMessage) { s.mergePartMarks(from, v) })
	signal(s, "limits", s.limitMarks, s.mergeLimitMarks)
	signal(s, "lost", s.host.relay.LostServices, func(from string, v []string) { s.host.forwarding.hosts.ObserveLost(from, v) })
	signal(s, "load", s.host.relay.Loads, func(from string, v relay.Loads) { s.host.relay.ObserveLoads(from, v) })
	signal(s, "paces", s.localPaces, func(from string, v relay.Paces) { s.host.relay.ObservePaces(from, v) })
	signal(s, "rates", s.host.relay.PrefillEstimates, func(_ string, v relay.PrefillEstimates) { s.host.relay.ObservePrefillEstimates(v) })
}

// methodStep announces a step of a roll-out to a host.
const methodStep = "rollout.Step"

// stepCall is the message of methodStep.
type stepCall struct {
	Service string       `json:"service"`
	Step    control.Step `json:"step"`
}

func (s *peerService) handleStep(_ context.Context, from string, params json.RawMessage) (any, error) {
	var call stepCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "router: decode step")
	}
	s.host.rollouts.MergeStep(call.Service, call.Step, from)
	return struct{}{}, nil
}

// announceStep announces a step to all live hosts. Hosts that do not answer learn
// of it from the store or from heartbeats.
func (h *Host) announceStep(service string, step control.Step) {
	h.peers.calls.All(methodStep, stepCall{Service: service, Step: step})
}

// methodSessions tells a host of sessions that begin on the baseline of a roll-out, by service.
const methodSessions = "rollout.Sessions"

func (s *peerService) handleSessions(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var sessions map[string][]uint32
	if err := json.Unmarshal(params, &sessions); err != nil {
		return nil, errors.Wrap(err, "router: decode sessions")
	}
	s.host.rollouts.MergeBaselineSessions(sessions)
	return struct{}{}, nil
}

// announceSession tells all live hosts of a session that begins on the baseline. Hosts that do
// not answer learn of it from heartbeats.
func (h *Host) announceSession(service string, key uint32) {
	go h.peers.calls.All(methodSessions, map[string][]uint32{service: {key}})
}

// signal adds the result of produce to outgoing heartbeats under name, and passes the
// values received from other hosts to consume.
func signal[T any](s *peerService, name string, produce func() T, consume func(from string, v T)) {
	log := s.host.opts.Logger
	s.members.RegisterSignal(name, func() json.RawMessage {
		data, err := json.Marshal(produce())
		if err != nil {
			log.Error("signal not sent", "signal", name, "error", err)
			return nil
		}
		return data
	}, func(from membership.Member, data json.RawMessage) {
		var v T
		if err := json.Unmarshal(data, &v); err != nil {
			log.Warn("signal refused", "signal", name, "from", from.Host, "error", err)
			return
		}
		consume(from.Host, v)
	})
}

// canServe reports whether a host can serve with a recent state according to its last
// heartbeat. A host without a heartbeat yet counts as serving, because its first one follows at once.
func (s *peerService) canServe(host string) bool {
	if host == s.host.opts.Settings.Host {
		return s.localFreshness().Fresh
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f, known := s.fresh[host]
	return f.Fresh || !known
}

// canCoordinate reports whether a host can coordinate roll-outs: it can serve and
// reaches the store.
func (s *peerService) canCoordinate(host string) bool {
	if host == s.host.opts.Settings.Host {
		local := s.localFreshness()
		return local.Fresh && local.Store
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fresh[host]
	return f.Fresh && f.Store
}
