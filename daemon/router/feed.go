package router

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
)

const (
	// methodUpdate fetches the changes to another host's state.
	methodUpdate = "feed.News"
	// methodAnnounce tells a host that the caller has a current state.
	methodAnnounce = "feed.Current"
)

// announceCall is the message of methodAnnounce.
type announceCall struct {
	// Address is the peer address of the host with the state.
	Address string `json:"address"`
}

func (s *peerService) handleUpdate(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var q updateQuery
	if err := json.Unmarshal(params, &q); err != nil {
		return nil, errors.Wrap(err, "router: decode update query")
	}
	if err := s.host.loads.observeFollower(from, q.Loads); err != nil {
		// The state matters more than the load, so the query is answered all the same.
		s.host.opts.Logger.Warn("load of a follower rejected", "from", from, "error", err)
	}
	u, err := s.host.follower.Answer(ctx, q.Query)
	reply := updateReply{Update: u}
	if q.Loads != nil {
		reply.Loads = s.host.loads.total()
		if !q.Paces {
			reply.Loads = withoutPaces(reply.Loads)
		}
	}
	return reply, err
}

func (s *peerService) handleAnnounce(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var call announceCall
	if err := json.Unmarshal(params, &call); err != nil {
		return nil, errors.Wrap(err, "router: decode announcement")
	}
	go s.host.follower.Announced(context.Background(), call.Address)
	return struct{}{}, nil
}

// announceState tells the other hosts that this host has a current state, which they
// may lack after a start or an outage.
func (h *Host) announceState() {
	go h.peers.calls.All(methodAnnounce, announceCall{Address: h.opts.Settings.Peer})
}

const (
	// minStoreReaders is the number of hosts that follow the store directly in a small
	// fleet. The other hosts follow these, so that the calls to the store do not grow
	// with the number of hosts.
	minStoreReaders = 3
	// hostsPerStoreReader bounds the hosts that follow one store reader.
	hostsPerStoreReader = 100
	// startGrace is the time after the start in which hosts learn of each other. In that
	// time only the seeds call the store, so that a start of all hosts does not load it.
	startGrace = 300 * time.Millisecond
	// probesPerSecond is the rate at which all hosts that do not follow the store call
	// it while no host has a current state.
	probesPerSecond = 4
)

// readsStore reports whether this host follows the store directly.
func (h *Host) readsStore() bool {
	settings := h.opts.Settings
	if h.opts.Clock.Since(h.started) < startGrace && len(settings.Seeds) > 0 {
		return slices.Contains(settings.Seeds, settings.Peer)
	}
	readers, _ := storeReaders(h.peers.members.Members())
	return slices.ContainsFunc(readers, h.isSelf)
}

func (h *Host) isSelf(m membership.Member) bool { return m.Host == h.opts.Settings.Host }

// storeReaders returns the live hosts that follow the store directly, and the others in the
// order in which they would take their place. Readers are in different failure domains as far
// as possible and have the fastest links there, because they forward full listings; ties are
// broken by name.
func storeReaders(members []membership.Member) (readers, others []membership.Member) {
	candidates := membership.SpreadOverDomains(members)
	wanted := max(minStoreReaders, (len(candidates)+hostsPerStoreReader-1)/hostsPerStoreReader)
	wanted = min(wanted, len(candidates))
	return candidates[:wanted], candidates[wanted:]
}

// probeRank returns how many live hosts are to call the store before this one when the readers
// have no current state.
func (h *Host) probeRank() int {
	_, others := storeReaders(h.peers.members.Members())
	rank := slices.IndexFunc(others, h.isSelf)
	if rank < 0 {
		return len(others) // this host is about to leave
	}
	return rank
}

// feedTiming returns the timing with which a change reaches all hosts in time.
func (h *Host) feedTiming() feed.Timing { return feed.NewTiming(h.bounds.Load().ChangeTime) }

// probeInterval returns the mean time between two calls to the store by this host while
// no host has a current state.
func (h *Host) probeInterval() time.Duration {
	return time.Duration(max(1, h.hosts.Load())) * time.Second / probesPerSecond
}

const (
	// maxReaderQueries bounds the hosts that follow the store among those queried for one
	// update, and maxPeerQueries all of them.
	maxReaderQueries, maxPeerQueries = minStoreReaders, minStoreReaders + 1
	// maxHedgedBytes bounds the data in an answer of each of these hosts. The
	// smallest links transfer that much from each of them within the hedging delay.
	maxHedgedBytes = 24 << 10
)

// queryPeers gets the update after a revision from one of several hosts, without the
// data if that is large.
func (h *Host) queryPeers(ctx context.Context, after int64) (feed.Update, error) {
	q := feed.PeerQuery{Hosts: h.feedHosts(), Timing: h.feedTiming(), Clock: h.opts.Clock, Call: func(ctx context.Context, host string) (u feed.Update, err error) {
		err = h.peers.client.Call(ctx, host, methodUpdate, updateQuery{Query: feed.Query{After: after, Pack: true, MaxBytes: maxHedgedBytes}}, &u)
		var remote *peer.RemoteError
		if errors.As(err, &remote) {
			err = errors.Mark(err, feed.ErrNoState)
		}
		return u, err
	}}
	return q.Fetch(ctx)
}

// feedHosts returns the hosts to query for an update: those that follow the store, hosts
// in the same failure domain first; the last one is any host, which may have a newer
// state than these. A host that knows no others yet queries its seeds.
func (h *Host) feedHosts() []string {
	self := h.opts.Settings.Peer
	members := h.peers.members.Members()
	var out []string
	add := func(address string, limit int) {
		if len(out) < limit && address != self && !slices.Contains(out, address) {
			out = append(out, address)
		}
	}
	readers, _ := storeReaders(members)
	for _, m := range h.localFirst(readers) {
		add(m.PeerAddress, maxReaderQueries)
	}
	for _, m := range h.localFirst(members) {
		if m.State.Live() {
			add(m.PeerAddress, maxPeerQueries)
		}
	}
	for _, address := range h.opts.Settings.Seeds {
		add(address, maxPeerQueries)
	}
	return out
}

// fetchFrom fetches the complete update after a revision from one host.
func (h *Host) fetchFrom(ctx context.Context, host string, after int64, wait time.Duration) (feed.Update, error) {
	q := updateQuery{Query: feed.Query{After: after, Pack: true, WaitMS: wait.Milliseconds()}}
	if wait > 0 && h.sumsLoads() {
		q.Loads = h.loads.report()
		q.Paces = h.opts.Settings.LearnPace && q.Loads != nil && h.loads.asksPaces()
	}
	var reply updateReply
	if err := h.peers.feedClient.Call(ctx, host, methodUpdate, q, &reply); err != nil {
		return feed.Update{}, err
	}
	h.relay.ObserveLoadSums(reply.Loads, q.Loads)
	return reply.Update, nil
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
