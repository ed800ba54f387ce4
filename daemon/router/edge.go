package router

import (
	"net/http"
	"time"

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
	// Directory answers callers that ask where to connect.
	Directory() http.Handler
}

var _ relay.ConfigSource = (*Host)(nil)

// Table implements relay.ConfigSource.
func (h *Host) Table() (*route.Table, bool) { return h.state.Table() }

// Age implements relay.ConfigSource.
func (h *Host) Age() (time.Duration, bool) { return h.follower.Age() }

// fresh reports whether the state is recent enough to serve requests with keys.
func (h *Host) fresh() bool {
	age, ok := h.follower.Age()
	return ok && age <= h.bounds.Load().maxStaleness()
}

// Ready reports whether the host takes new callers.
func (h *Host) Ready() bool {
	_, ok := h.state.Table()
	return ok && !h.stopping.Load() && h.fresh()
}

// Draining reports whether connections of callers are to end.
func (h *Host) Draining() bool { return h.stopping.Load() }

// Accepting reports whether a new request is taken.
func (h *Host) Accepting() bool { return h.admit.Load() }

// defaultMaxBodyBytes bounds bodies before the first configuration.
const defaultMaxBodyBytes = 4 << 20

// MaxBodyBytes bounds the body of a request.
func (h *Host) MaxBodyBytes() int64 {
	if t, ok := h.state.Table(); ok && t.Limits().MaxBodyBytes > 0 {
		return t.Limits().MaxBodyBytes
	}
	return defaultMaxBodyBytes
}

// minNear is the number of hosts in a caller's failure domain from which the
// others are left out of its list.
const minNear = 2

// Addresses returns where a caller in a failure domain may connect, and for how
// long it may keep the answer: the live hosts that can serve, the near ones
// alone if there are several.
func (h *Host) Addresses(domain string) ([]string, time.Duration) {
	live, fresh := []membership.Member{}, []membership.Member{}
	for _, m := range h.peers.members.Members() {
		if m.State != membership.Alive || m.EntryAddress == "" {
			continue
		}
		live = append(live, m)
		if h.peers.isFresh(m.Host) {
			fresh = append(fresh, m)
		}
	}
	if len(fresh) == 0 {
		fresh = live
	}
	var all, near []string
	for _, m := range fresh {
		all = append(all, m.EntryAddress)
		if m.FailureDomain == domain {
			near = append(near, m.EntryAddress)
		}
	}
	if len(near) >= minNear {
		all = near
	}
	return all[:min(len(all), maxAddresses)], h.listTTL()
}

// maxAddresses bounds the list of one answer.
const maxAddresses = 64
