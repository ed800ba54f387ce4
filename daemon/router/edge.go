package router

import (
	"net/http"
	"time"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
)

// Handlers are the HTTP handlers of an edge.
type Handlers interface {
	// Frontend serves the callers' requests.
	Frontend() http.Handler
	// Readiness answers health checks.
	Readiness() http.Handler
	// Directory answers callers that look up host addresses.
	Directory() http.Handler
}

var _ relay.ConfigSource = (*Host)(nil)

// Table implements relay.ConfigSource.
func (h *Host) Table() (*route.Table, bool) { return h.state.Table() }

// Listed implements relay.ConfigSource.
func (h *Host) Listed() <-chan struct{} { return h.state.Listed() }

// Age implements relay.ConfigSource.
func (h *Host) Age() (time.Duration, bool) { return h.follower.Age() }

// Outdated implements relay.ConfigSource. The table is outdated if another host has
// a newer one, or if it was last confirmed too long ago for this host to know.
func (h *Host) Outdated() bool {
	return h.follower.Stale() || h.tableVersion() < h.peers.newestTable()
}

// tableVersion returns the version of the routing table; zero before the first one.
func (h *Host) tableVersion() int64 {
	t, ok := h.state.Table()
	if !ok {
		return 0
	}
	return t.Version()
}

// fresh reports whether the state is recent enough to reject revoked keys in time.
func (h *Host) fresh() bool {
	age, ok := h.follower.Age()
	return ok && age <= h.bounds.Load().maxStaleness()
}

// Ready reports whether the host accepts new callers.
func (h *Host) Ready() bool {
	_, ok := h.state.Table()
	return ok && h.stop.Load() == nil && (h.fresh() || !h.bounds.Load().StrictRevocation)
}

// Accepting reports whether a new request is accepted. During a stop, it must be expected
// to end before the host does.
func (h *Host) Accepting(req *relay.Request) bool {
	return h.stop.Load() == nil || h.accepts(h.relay.Prospect(req))
}

func (h *Host) accepts(p relay.Prospect) bool {
	stop := h.stop.Load()
	if stop == nil {
		return true
	}
	return !h.servers.requests.Refusing() && acceptsDuringStop(stop.clock.Since(stop.began), stop.untilCut(), p)
}

// defaultMaxBodyBytes bounds request bodies until the first configuration arrives.
const defaultMaxBodyBytes = 4 << 20

// MaxBodyBytes returns the largest accepted request body in bytes.
func (h *Host) MaxBodyBytes() int64 {
	if t, ok := h.state.Table(); ok && t.Limits().MaxBodyBytes > 0 {
		return t.Limits().MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// Buffers returns the budget for buffered requests and answers.
func (h *Host) Buffers() *limiter.ByteBudget { return h.buffers }

// minLocalHosts is the number of hosts in a caller's failure domain from which
// hosts in other failure domains are left out of its list.
const minLocalHosts = 2

// Addresses returns the addresses to which a caller in a failure domain may
// connect, and for how long it may cache them. They are the live hosts that can
// serve, or all live hosts if none can. If at least minLocalHosts of them are in
// the caller's failure domain, the others are left out.
func (h *Host) Addresses(domain string) ([]string, time.Duration) {
	live, serving := []membership.Member{}, []membership.Member{}
	for _, m := range h.peers.members.Members() {
		if m.State != membership.Alive || m.EntryAddress == "" {
			continue
		}
		live = append(live, m)
		if h.peers.canServe(m.Host) {
			serving = append(serving, m)
		}
	}
	if len(serving) == 0 {
		serving = live
	}
	var all, local []string
	for _, m := range serving {
		all = append(all, m.EntryAddress)
		if m.FailureDomain == domain {
			local = append(local, m.EntryAddress)
		}
	}
	if len(local) >= minLocalHosts {
		all = local
	}
	return all[:min(len(all), maxAddresses)], h.listTTL()
}

// maxAddresses bounds the number of addresses in one answer.
const maxAddresses = 64
