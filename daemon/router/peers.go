package router

import (
	"cmp"
	"context"
	"encoding/json"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/internal/background"
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

// methodNews asks a host for what is new in its state.
const methodNews = "feed.News"

// newsCall is the message of methodNews.
type newsCall struct {
	// After is the revision that the asking host has.
	After int64 `json:"after"`
}

// peerService provides calls between hosts and the list of hosts.
type peerService struct {
	host    *Host
	run     *background.Group
	server  *peer.Server
	client  *peer.Client
	members *membership.Membership
	ln      net.Listener

	mu    sync.Mutex
	fresh map[string]freshness
}

var _ kernel.Provisioner = (*peerService)(nil)

func (s *peerService) Name() string { return servicePeers }

// peerCallTimeout bounds a call between hosts.
const peerCallTimeout = 700 * time.Millisecond

// Provision makes server, client and membership.
func (s *peerService) Provision(*kernel.Kernel) error {
	o, set := s.host.opts, s.host.opts.Settings
	s.fresh = make(map[string]freshness)
	var err error
	s.server, err = peer.NewServer(peer.ServerOptions{Key: set.ClusterKey, Clock: o.Clock, Logger: o.Logger})
	if err != nil {
		return err
	}
	s.client, err = peer.NewClient(peer.ClientOptions{
		Key: set.ClusterKey, Self: set.Host, Clock: o.Clock, Logger: o.Logger, CallTimeout: peerCallTimeout, DialTimeout: peerCallTimeout,
	})
	if err != nil {
		return err
	}
	s.members, err = membership.New(membership.Options{
		Self: membership.Member{
			Host: set.Host, PeerAddress: set.Peer, EntryAddress: set.Frontend, FailureDomain: set.FailureDomain, Region: set.Region,
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
	s.server.Handle(methodNews, s.handleNews)
	s.server.Handle(methodStep, s.handleStep)
	s.ln, err = net.Listen("tcp", set.Peer)
	return errors.Wrap(err, "router: listen for peers")
}

// Start begins to answer peers and to send heartbeats.
func (s *peerService) Start(context.Context) error {
	s.run.Start(servicePeers, func(ctx context.Context) error { return s.server.Serve(ctx, s.ln) })
	s.run.Start("membership", s.members.Run)
	return nil
}

// Stop ends heartbeats and calls.
func (s *peerService) Stop(ctx context.Context) error {
	return errors.CombineErrors(s.run.Stop(ctx), s.client.Close())
}

// memberChanged counts the hosts.
func (s *peerService) memberChanged(membership.Member) {
	s.host.countHosts(s.members.Members())
}

// countHosts counts the hosts that serve, and those that may: a host that does
// not answer may only be cut off.
func (h *Host) countHosts(members []membership.Member) {
	live, possible := int64(0), int64(0)
	for _, m := range members {
		if m.State.Live() {
			live++
		}
		if m.State != membership.Left {
			possible++
		}
	}
	h.hosts.Store(live)
	h.possibleHosts.Store(possible)
}

// freshness is the signal that tells what a host can do.
type freshness struct {
	// Fresh is set if the host can serve requests.
	Fresh bool `json:"fresh"`
	// Store is set if the store answers the host itself.
	Store bool `json:"store"`
}

// storeContact is the time since the last answer of the store within which a
// host reaches it.
const storeContact = 2 * time.Second

func (s *peerService) ownFreshness() freshness {
	return freshness{Fresh: s.host.Ready(), Store: s.host.follower.StoreAnsweredWithin(storeContact)}
}

func (s *peerService) registerSignals() {
	signal(s, "freshness", s.ownFreshness, func(from string, v freshness) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.fresh[from] = v
	})
	signal(s, "rollouts", s.host.rollouts.Reports, func(from string, v map[string]control.Report) { s.host.rollouts.MergeReports(from, v) })
	signal(s, "trials", s.host.rollouts.CanaryTallies, func(from string, v map[string][]byte) { s.host.rollouts.MergeCanaryTallies(from, v) })
	signal(s, "sessions", s.host.rollouts.BaselineSessions, func(_ string, v map[string][]uint32) { s.host.rollouts.MergeBaselineSessions(v) })
	signal(s, "crashes", s.crashMarks, s.observeMarks)
	signal(s, "load", s.host.relay.Loads, func(from string, v relay.Loads) { s.host.relay.ObserveLoads(from, v) })
	signal(s, "rates", s.host.relay.PrefillEstimates, func(_ string, v relay.PrefillEstimates) { s.host.relay.ObservePrefillEstimates(v) })
}

func (s *peerService) crashMarks() json.RawMessage {
	marks, err := s.host.crashes.Marks()
	if err != nil {
		s.host.opts.Logger.Error("crash marks not sent", "error", err)
		return nil
	}
	return marks
}

func (s *peerService) observeMarks(from string, marks json.RawMessage) {
	if err := s.host.crashes.MergeMarks(marks); err != nil {
		s.host.opts.Logger.Warn("signal refused", "signal", "crashes", "from", from, "error", err)
	}
}

// methodStep tells a host of a step of a roll-out.
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

// announceAtOnce bounds the hosts told of a step at the same time.
const announceAtOnce = 32

// announce tells all live hosts of a step. Those that do not answer learn of it
// from the store or by heartbeats.
func (h *Host) announce(service string, step control.Step) {
	slots := make(chan struct{}, announceAtOnce)
	for _, m := range h.peers.members.Members() {
		if m.Host == h.opts.Settings.Host || !m.State.Live() {
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			err := h.peers.client.Call(context.Background(), m.PeerAddress, methodStep, stepCall{Service: service, Step: step}, nil)
			if err != nil {
				h.opts.Logger.Debug("rollout step not announced", "to", m.Host, "error", err)
			}
		}()
	}
}

// signal attaches what produce returns to heartbeats and hands what arrives to consume.
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

// isFresh reports whether a host has said that it can serve. A host that has
// not said anything yet counts, as its first heartbeat follows at once.
func (s *peerService) isFresh(host string) bool {
	if host == s.host.opts.Settings.Host {
		return s.host.Ready()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f, known := s.fresh[host]
	return f.Fresh || !known
}

// coordinates reports whether a host can coordinate: it serves and reaches the
// store.
func (s *peerService) coordinates(host string) bool {
	if host == s.host.opts.Settings.Host {
		own := s.ownFreshness()
		return own.Fresh && own.Store
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fresh[host]
	return f.Fresh && f.Store
}

func (s *peerService) handleNews(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var call newsCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "router: decode news call")
	}
	return s.host.follower.UpdateSince(call.After)
}

// readersPerDomain is the number of hosts in a failure domain that follow the
// store themselves. The others follow them, so that the calls to the store do
// not grow with the fleet.
const readersPerDomain = 2

// readsStore reports whether this host follows the store itself.
func (h *Host) readsStore() bool {
	own := h.opts.Settings
	for _, m := range readers(h.peers.members.Members()) {
		if m.Host == own.Host {
			return true
		}
	}
	return false
}

// readers returns the live hosts that follow the store: in each failure domain
// those with the fastest links, since they pass whole listings on, and then the
// first by name.
func readers(members []membership.Member) []membership.Member {
	count := make(map[string]int)
	var out []membership.Member
	for _, m := range slices.SortedFunc(slices.Values(members), func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Host, b.Host))
	}) {
		if m.State != membership.Alive || count[m.FailureDomain] >= readersPerDomain {
			continue
		}
		count[m.FailureDomain]++
		out = append(out, m)
	}
	return out
}

// maxPeersAsked bounds the hosts asked in one round.
const maxPeersAsked = 3

// askPeers asks hosts that follow the store for news, near ones first.
func (h *Host) askPeers(ctx context.Context, after int64) (feed.Update, error) {
	q := feed.PeerQuery{Clock: h.opts.Clock, Call: func(ctx context.Context, host string) (n feed.Update, err error) {
		err = h.peers.client.Call(ctx, host, methodNews, newsCall{After: after}, &n)
		return n, err
	}}
	most := maxPeersAsked
	if after == 0 {
		most = 1 // the answer is a whole listing
	}
	for _, m := range h.nearFirst(readers(h.peers.members.Members())) {
		if len(q.Hosts) < most && m.Host != h.opts.Settings.Host && h.peers.isFresh(m.Host) {
			q.Hosts = append(q.Hosts, m.PeerAddress)
		}
	}
	return q.Fetch(ctx)
}

// nearFirst returns the hosts at random, a near one first and then alternating
// with others, so that the loss of a failure domain costs one question.
func (h *Host) nearFirst(hosts []membership.Member) []membership.Member {
	h.rngMu.Lock()
	h.opts.Rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	h.rngMu.Unlock()
	var near, far, out []membership.Member
	for _, m := range hosts {
		if m.FailureDomain == h.opts.Settings.FailureDomain {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	for i := range max(len(near), len(far)) {
		if i < len(near) {
			out = append(out, near[i])
		}
		if i < len(far) {
			out = append(out, far[i])
		}
	}
	return out
}
