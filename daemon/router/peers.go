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

// methodUpdate fetches the changes to another host's state. Its message is a
// feed.Query.
const methodUpdate = "feed.News"

// peerService provides calls between hosts and the cluster membership.
type peerService struct {
	host   *Host
	run    *background.Group
	server *peer.Server
	client *peer.Client
	// bulkClient transfers large updates, on connections of its own, so that they do
	// not delay other calls.
	bulkClient *peer.Client
	members    *membership.Membership
	ln         net.Listener

	mu    sync.Mutex
	fresh map[string]freshness
}

var _ kernel.Provisioner = (*peerService)(nil)

func (s *peerService) Name() string { return servicePeers }

// peerCallTimeout bounds a call between hosts.
const peerCallTimeout = 700 * time.Millisecond

// bulkCallTimeout bounds the transfer of a large update.
const bulkCallTimeout = 1500 * time.Millisecond

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
	}
	if s.client, err = peer.NewClient(clientOptions); err != nil {
		return err
	}
	clientOptions.CallTimeout = bulkCallTimeout
	if s.bulkClient, err = peer.NewClient(clientOptions); err != nil {
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
	s.server.Handle(methodUpdate, s.handleUpdate)
	s.server.Handle(methodStep, s.handleStep)
	s.ln, err = net.Listen("tcp", set.Peer)
	return errors.Wrap(err, "router: listen for peers")
}

// Start starts answering peers and sending heartbeats.
func (s *peerService) Start(context.Context) error {
	s.run.Start(servicePeers, func(ctx context.Context) error { return s.server.Serve(ctx, s.ln) })
	s.run.Start("membership", s.members.Run)
	return nil
}

// Stop stops heartbeats and closes connections to peers.
func (s *peerService) Stop(ctx context.Context) error {
	return errors.CombineErrors(s.run.Stop(ctx), errors.CombineErrors(s.client.Close(), s.bulkClient.Close()))
}

func (s *peerService) memberChanged(membership.Member) {
	s.host.countHosts(s.members.Members())
}

// countHosts counts the live hosts, and the hosts that may be alive. A host that
// does not answer may only be partitioned from this one.
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

func (s *peerService) mergeCrashMarks(from string, marks json.RawMessage) {
	if err := s.host.crashes.MergeMarks(marks); err != nil {
		s.host.opts.Logger.Warn("signal refused", "signal", "crashes", "from", from, "error", err)
	}
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

// maxConcurrentAnnouncements bounds the calls in flight that announce a step.
const maxConcurrentAnnouncements = 32

// announceStep announces a step to all live hosts. Hosts that do not answer learn
// of it from the store or from heartbeats.
func (h *Host) announceStep(service string, step control.Step) {
	slots := make(chan struct{}, maxConcurrentAnnouncements)
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

func (s *peerService) handleUpdate(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var q feed.Query
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "router: decode update query")
	}
	return s.host.follower.Answer(q)
}

// storeReadersPerDomain is the number of hosts per failure domain that follow the
// store directly. The other hosts follow these, so that the number of calls to the
// store does not grow with the number of hosts.
const storeReadersPerDomain = 2

// readsStore reports whether this host follows the store directly.
func (h *Host) readsStore() bool {
	settings := h.opts.Settings
	for _, m := range storeReaders(h.peers.members.Members()) {
		if m.Host == settings.Host {
			return true
		}
	}
	return false
}

// storeReaders returns the live hosts that follow the store directly. In each
// failure domain these are the hosts with the fastest links, because they forward
// full listings; ties are broken by name.
func storeReaders(members []membership.Member) []membership.Member {
	count := make(map[string]int)
	var out []membership.Member
	for _, m := range slices.SortedFunc(slices.Values(members), func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Host, b.Host))
	}) {
		if m.State != membership.Alive || count[m.FailureDomain] >= storeReadersPerDomain {
			continue
		}
		count[m.FailureDomain]++
		out = append(out, m)
	}
	return out
}

const (
	// maxPeerQueries bounds the hosts queried for one update.
	maxPeerQueries = 3
	// maxHedgedBytes bounds the data in an answer of each of these hosts. The
	// smallest links transfer that much within a few milliseconds.
	maxHedgedBytes = 8 << 10
)

// fetchFromPeers fetches the update after a revision from hosts that follow the
// store directly, hosts in the same failure domain first.
func (h *Host) fetchFromPeers(ctx context.Context, after int64) (feed.Update, error) {
	q := feed.PeerQuery{Clock: h.opts.Clock, Call: func(ctx context.Context, host string) (n feed.Update, err error) {
		err = h.peers.client.Call(ctx, host, methodUpdate, feed.Query{After: after, Compress: true, MaxBytes: maxHedgedBytes}, &n)
		return n, err
	}}
	for _, m := range h.localFirst(storeReaders(h.peers.members.Members())) {
		if len(q.Hosts) < maxPeerQueries && m.Host != h.opts.Settings.Host && h.peers.canServe(m.Host) {
			q.Hosts = append(q.Hosts, m.PeerAddress)
		}
	}
	return q.Fetch(ctx)
}

// fetchBulk fetches a large update from the host that has announced it.
func (h *Host) fetchBulk(ctx context.Context, host string, after int64) (u feed.Update, err error) {
	err = h.peers.bulkClient.Call(ctx, host, methodUpdate, feed.Query{After: after, Compress: true}, &u)
	return u, err
}

// localFirst returns the hosts in random order, alternating between hosts in the
// same failure domain and others and starting with the former, so that the loss of
// a failure domain costs one query.
func (h *Host) localFirst(hosts []membership.Member) []membership.Member {
	h.rngMu.Lock()
	h.opts.Rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	h.rngMu.Unlock()
	var local, remote, out []membership.Member
	for _, m := range hosts {
		if m.FailureDomain == h.opts.Settings.FailureDomain {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	for i := range max(len(local), len(remote)) {
		if i < len(local) {
			out = append(out, local[i])
		}
		if i < len(remote) {
			out = append(out, remote[i])
		}
	}
	return out
}
