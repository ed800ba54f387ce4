// Package permitpeers lets the hosts of both daemons ask each other for permits.
package permitpeers

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
)

// Method asks a host for the permit to send a request to an endpoint with a rate limit.
const Method = "limiter.Permit"

// Peers implements limiter.PermitPeers for the members of a cluster.
type Peers struct {
	// Self is the name of this host.
	Self string
	// Members returns all known members.
	Members func() []membership.Member
	// Call calls a method of the host at an address.
	Call func(ctx context.Context, address, method string, params, result any) error
	// MinHosts is the least number of hosts among which a limit is shared.
	MinHosts int
}

var _ limiter.PermitPeers = (*Peers)(nil)

// Granter implements limiter.PermitPeers.
func (p *Peers) Granter(endpoint string) (string, bool) {
	members := p.Members()
	if !isMajority(members) {
		return "", false
	}
	m, ok := membership.Responsible(endpoint, members)
	if m.Host == p.Self {
		return "", true
	}
	return m.Host, ok
}

// isMajority reports whether more than half of the members that have not left are alive.
func isMajority(members []membership.Member) bool {
	alive, all := 0, 0
	for _, m := range members {
		switch m.State {
		case membership.Alive:
			alive++
			all++
		case membership.Suspect, membership.Failed:
			all++
		}
	}
	return 2*alive > all
}

// Ask implements limiter.PermitPeers.
func (p *Peers) Ask(ctx context.Context, host string, req limiter.PermitRequest) (limiter.PermitReply, error) {
	var reply limiter.PermitReply
	for _, m := range p.Members() {
		if m.Host == host {
			err := p.Call(ctx, m.PeerAddress, Method, req, &reply)
			return reply, errors.Wrap(err, "permitpeers: ask for a permit")
		}
	}
	return reply, errors.Newf("permitpeers: host %q is gone", host)
}

// Hosts implements limiter.PermitPeers. Hosts that do not answer may still be alive.
func (p *Peers) Hosts() int {
	hosts := 0
	for _, m := range p.Members() {
		if m.State != membership.Left {
			hosts++
		}
	}
	return max(hosts, p.MinHosts)
}

// coldShareHosts is the number of hosts that may use their share of the rate of a cold
// endpoint. Beside a granter and its successor, which may send 1.4 times the rate and two
// more in one second, the endpoint bears a few more requests.
const coldShareHosts = 3

// SharesCold implements limiter.PermitPeers: the hosts are the first in rendezvous order,
// alive or not, so that hosts which are cut off agree on them.
func (p *Peers) SharesCold(endpoint string) bool {
	return membership.Rank(endpoint, p.Self, p.Members()) < coldShareHosts
}

// Incarnation implements limiter.PermitPeers: a host that others suspect refutes it with a
// new incarnation, and only that makes them take it for alive.
func (p *Peers) Incarnation() int64 {
	for _, m := range p.Members() {
		if m.Host == p.Self {
			return m.Incarnation
		}
	}
	return 0
}

// Handler returns the handler of Method at a host.
func Handler(permits *limiter.Permits) func(context.Context, string, json.RawMessage) (any, error) {
	return func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req limiter.PermitRequest
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "permitpeers: decode request")
		}
		return permits.Grant(req), nil
	}
}
