package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/relay"
)

const (
	// maxGossipHosts is the number of hosts up to which heartbeats give each host a
	// picture of the load on the engines. In a larger fleet the store readers sum it up
	// for the hosts that follow them.
	maxGossipHosts = 50
	// loadInterval is the time between two reports of load to a store reader, and
	// between two exchanges among store readers.
	loadInterval = 500 * time.Millisecond
	// sumLifetime is the time for which a store reader answers with the same sum.
	sumLifetime = 200 * time.Millisecond
	// maxSumBytes bounds the sum of one service in an answer. It has room for about
	// 400 engines.
	maxSumBytes = 4 << 10
)

// updateQuery is the message of methodUpdate.
type updateQuery struct {
	feed.Query
	// Loads is the load of the querying host, which asks for that of the fleet.
	Loads relay.LoadSums `json:"loads,omitempty"`
	// Paces asks for the paces of the engines, too.
	Paces bool `json:"paces,omitempty"`
}

// updateReply is the answer to an updateQuery.
type updateReply struct {
	feed.Update
	Loads relay.LoadSums `json:"loads,omitempty"`
}

// methodLoads reports the load of a store reader and its followers to another reader.
const methodLoads = "load.Sums"

// loadHub sums up the load on the engines for the hosts that follow this one.
type loadHub struct {
	clock clockwork.Clock
	own   func() relay.LoadSums

	mu sync.Mutex
	// followers and readers hold loads by service.
	followers, readers map[string]*balance.LoadTable
	sums               relay.LoadSums
	summedAt           time.Time
	// reportedAt is when this host last reported its load to a store reader, and
	// pacesAskedAt when it last asked for the paces.
	reportedAt, pacesAskedAt time.Time
}

// selfSource is the name under which a host's own load stands in its table.
const selfSource = ""

func newLoadHub(clock clockwork.Clock, own func() relay.LoadSums) *loadHub {
	return &loadHub{
		clock: clock, own: own, followers: make(map[string]*balance.LoadTable), readers: make(map[string]*balance.LoadTable),
	}
}

// table returns the table of a service in one of the two sets. The caller holds the lock.
func (l *loadHub) table(set map[string]*balance.LoadTable, service string) *balance.LoadTable {
	t := set[service]
	if t == nil {
		t = balance.NewLoadTable(l.clock)
		set[service] = t
	}
	return t
}

// observeFollower records the load of a host that follows this one, or of this host.
func (l *loadHub) observeFollower(host string, loads relay.LoadSums) error {
	return l.observe(l.followers, host, loads)
}

// observeReader records the load of another store reader and the hosts that follow it.
func (l *loadHub) observeReader(host string, loads relay.LoadSums) error {
	return l.observe(l.readers, host, loads)
}

func (l *loadHub) observe(set map[string]*balance.LoadTable, source string, loads relay.LoadSums) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, sum := range loads {
		if err := l.table(set, service).Observe(source, sum); err != nil {
			return errors.Wrapf(err, "router: load of %s", source)
		}
	}
	return nil
}

// partial returns the load of this host and its followers.
func (l *loadHub) partial() (relay.LoadSums, error) {
	if err := l.observeFollower(selfSource, l.own()); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(relay.LoadSums)
	for service := range l.followers {
		out[service] = balance.SumLoads(maxSumBytes, l.table(l.followers, service))
	}
	return out, nil
}

// total returns the load of the fleet.
func (l *loadHub) total() relay.LoadSums {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sums != nil && l.clock.Since(l.summedAt) < sumLifetime {
		return l.sums
	}
	l.sums, l.summedAt = make(relay.LoadSums), l.clock.Now()
	for service := range l.followers {
		l.sums[service] = balance.SumLoads(maxSumBytes, l.table(l.followers, service), l.table(l.readers, service))
	}
	return l.sums
}

// report returns the load of this host if it is time to report it, and nil otherwise.
func (l *loadHub) report() relay.LoadSums {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock.Since(l.reportedAt) < loadInterval {
		return nil
	}
	l.reportedAt = l.clock.Now()
	return l.own()
}

// pacesInterval is the time between two answers with the paces of the engines. They would
// double the size of the answers if all had them.
const pacesInterval = time.Second

// asksPaces reports whether it is time to ask a store reader for the paces.
func (l *loadHub) asksPaces() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.clock.Since(l.pacesAskedAt) < pacesInterval {
		return false
	}
	l.pacesAskedAt = l.clock.Now()
	return true
}

// withoutPaces returns the sums without the paces.
func withoutPaces(sums relay.LoadSums) relay.LoadSums {
	out := make(relay.LoadSums, len(sums))
	for service, sum := range sums {
		sum.Paces = nil
		out[service] = sum
	}
	return out
}

// localPaces returns the paces for heartbeats, unless store readers sum them up.
func (s *peerService) localPaces() relay.Paces {
	if s.host.sumsLoads() {
		return nil
	}
	return s.host.relay.Paces()
}

// sumsLoads reports whether the fleet is so large that store readers sum up the load.
func (h *Host) sumsLoads() bool { return h.hosts.Load() > maxGossipHosts }

// exchangeLoads exchanges loads with the other store readers while this host is one of
// them.
func (h *Host) exchangeLoads(ctx context.Context) error {
	return background.Every(ctx, h.opts.Clock, loadInterval, func() {
		if h.sumsLoads() && h.readsStore() {
			h.reportToReaders(ctx)
		}
	})
}

// reportToReaders reports the load of this host and its followers to the other store
// readers, and applies the sum that they have reported to this one.
func (h *Host) reportToReaders(ctx context.Context) {
	partial, err := h.loads.partial()
	if err != nil {
		h.opts.Logger.Warn("load not summed up", "error", err)
		return
	}
	h.relay.ObserveLoadSums(h.loads.total(), h.relay.OwnLoads())
	readers, _ := storeReaders(h.peers.members.Members())
	for _, m := range readers {
		if h.isSelf(m) {
			continue
		}
		go func() {
			if err := h.peers.client.Call(ctx, m.PeerAddress, methodLoads, partial, nil); err != nil {
				h.opts.Logger.Debug("load not reported", "to", m.Host, "error", err)
			}
		}()
	}
}

func (s *peerService) handleLoads(_ context.Context, from string, params json.RawMessage) (any, error) {
	var loads relay.LoadSums
	if err := json.Unmarshal(params, &loads); err != nil {
		return nil, errors.Wrap(err, "router: decode loads")
	}
	return struct{}{}, s.host.loads.observeReader(from, loads)
}
