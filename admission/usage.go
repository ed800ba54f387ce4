package admission

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of what hosts tell each other.
const (
	// MaxUsageBytes bounds an encoded report.
	MaxUsageBytes = 64 << 10
	// maxUsageTeams bounds the teams of one rank in a report. Teams with the
	// most service come first: they are the ones that others must know.
	maxUsageTeams = 128
	// maxUsageRanks bounds the ranks in a report.
	maxUsageRanks = 16
	// maxPeers bounds the peers remembered; it exceeds the fleet of 870 hosts.
	maxPeers = 1024
	// PeerReportTTL is how long a report counts. It outlasts several lost
	// heartbeats of 500 ms and equals the time after which a member is removed.
	PeerReportTTL = 3 * time.Second
	// maxLeadReports bounds how far service at peers may put a team behind
	// others, in multiples of the service of one report. Without the bound a
	// team that used idle capacity elsewhere for long would be starved here.
	maxLeadReports = 4
)

// TeamUsage is the service one team received at one host in one rank.
type TeamUsage struct {
	// Team is the name of the team.
	Team string `json:"t"`
	// Served is the cumulative cost admitted since the host started.
	Served float64 `json:"s"`
}

// RankUsage is the use of one rank at one host.
type RankUsage struct {
	// Rank is the name of the rank.
	Rank string `json:"r"`
	// InFlight and Waiting count requests.
	InFlight int `json:"f"`
	Waiting  int `json:"w"`
	// Teams are ordered by Served, the highest first.
	Teams []TeamUsage `json:"u,omitempty"`
}

// Usage is what one host tells the others. Its sums are cumulative, so reports
// may be lost, repeated or overtake each other.
type Usage struct {
	// Host is the name of the reporting host.
	Host string `json:"h"`
	// Incarnation tells restarts of the host apart.
	Incarnation int64 `json:"i"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `json:"q"`
	// Capacity is the number of slots of the host.
	Capacity float64 `json:"c"`
	// Ranks are the uses of the ranks.
	Ranks []RankUsage `json:"k"`
}

// EncodeUsage returns u as JSON of at most MaxUsageBytes.
func EncodeUsage(u Usage) ([]byte, error) {
	data, err := json.Marshal(u)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "usage: %v", err)
	}
	if len(data) > MaxUsageBytes {
		return nil, errors.Wrapf(ErrInvalid, "usage of %d bytes", len(data))
	}
	return data, nil
}

// DecodeUsage reads and checks a report.
func DecodeUsage(data []byte) (Usage, error) {
	var u Usage
	if len(data) > MaxUsageBytes {
		return u, errors.Wrapf(ErrInvalid, "usage of %d bytes", len(data))
	}
	if err := json.Unmarshal(data, &u); err != nil {
		return u, errors.Wrapf(ErrInvalid, "usage: %v", err)
	}
	return u, u.check()
}

func (u Usage) check() error {
	valid := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	if u.Host == "" || !valid(u.Capacity) || len(u.Ranks) > maxUsageRanks {
		return errors.Wrapf(ErrInvalid, "usage of host %q", u.Host)
	}
	for _, r := range u.Ranks {
		if r.InFlight < 0 || r.Waiting < 0 || len(r.Teams) > maxUsageTeams {
			return errors.Wrapf(ErrInvalid, "usage of rank %q", r.Rank)
		}
		for _, t := range r.Teams {
			if !valid(t.Served) {
				return errors.Wrapf(ErrInvalid, "usage of team %q", t.Team)
			}
		}
	}
	return nil
}

// Usage reports the use of this host; the caller sets Host, Incarnation and Sequence.
func (c *Core) Usage() Usage {
	u := Usage{Capacity: c.capacity}
	for _, r := range c.ranks[:min(len(c.ranks), maxUsageRanks)] {
		use := RankUsage{Rank: r.Name, InFlight: r.inFlight, Waiting: r.waiting}
		for name, f := range r.flows {
			if f.served > 0 {
				use.Teams = append(use.Teams, TeamUsage{Team: name, Served: f.served})
			}
		}
		slices.SortFunc(use.Teams, func(a, b TeamUsage) int {
			return cmp.Or(cmp.Compare(b.Served, a.Served), cmp.Compare(a.Team, b.Team))
		})
		use.Teams = use.Teams[:min(len(use.Teams), maxUsageTeams)]
		u.Ranks = append(u.Ranks, use)
	}
	return u
}

// peer is the last report of another host.
type peer struct {
	usage  Usage
	served map[flowKey]float64
	seen   time.Time
}

type flowKey struct{ rank, team string }

// ObservePeerUsage takes the report of another host into account: service
// there counts against the team here, and the floors of ranks are split among
// hosts by demand.
func (c *Core) ObservePeerUsage(now time.Time, u Usage) error {
	if err := u.check(); err != nil {
		return err
	}
	p := c.peers[u.Host]
	if p != nil && !newer(u, p.usage) {
		return nil
	}
	if p == nil && len(c.peers) >= maxPeers {
		c.forgetPeers(now)
		if len(c.peers) >= maxPeers {
			return errors.Wrapf(ErrInvalid, "more than %d peers", maxPeers)
		}
	}
	if p == nil || p.usage.Incarnation != u.Incarnation {
		p = &peer{}
		c.peers[u.Host] = p
	}
	c.chargePeer(p, u)
	p.usage, p.seen = u, now
	c.sumPeers(now)
	return nil
}

// newer reports whether a follows b.
func newer(a, b Usage) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// chargePeer charges the service since the previous report. The first report
// of an incarnation only sets the starting point.
func (c *Core) chargePeer(p *peer, u Usage) {
	served := map[flowKey]float64{}
	for _, use := range u.Ranks {
		r := c.byName[use.Rank]
		if r == nil {
			continue
		}
		for _, t := range use.Teams {
			state := c.teams[t.Team]
			if state == nil {
				continue
			}
			key := flowKey{use.Rank, t.Team}
			served[key] = t.Served
			before, known := p.served[key]
			if !known && p.served == nil {
				continue
			}
			r.flowOf(state).chargeRemote(t.Served - before)
		}
	}
	p.served = served
}

// chargeRemote adds service received at a peer.
func (f *flow) chargeRemote(cost float64) {
	if cost <= 0 {
		return
	}
	if f.index < 0 {
		f.virtual = max(f.virtual, f.rank.virtual)
	}
	limit := f.rank.virtual + maxLeadReports*cost/f.team.weight
	room := (limit - f.virtual) * f.team.weight
	if room > 0 {
		f.charge(min(cost, room))
	}
}

// refreshPeers leaves out reports that have become stale.
func (c *Core) refreshPeers(now time.Time) {
	if len(c.peers) > 0 && now.After(c.peersUntil) {
		c.forgetPeers(now)
		c.sumPeers(now)
	}
}

func (c *Core) forgetPeers(now time.Time) {
	for host, p := range c.peers {
		if now.Sub(p.seen) > PeerReportTTL {
			delete(c.peers, host)
		}
	}
}

// sumPeers adds up the capacity and the demand of fresh peers.
func (c *Core) sumPeers(now time.Time) {
	c.peerSlots = 0
	c.peersUntil = now.Add(PeerReportTTL)
	for _, r := range c.ranks {
		r.peerDemand = 0
	}
	for _, p := range c.peers {
		until := p.seen.Add(PeerReportTTL)
		if now.After(until) {
			continue
		}
		if until.Before(c.peersUntil) {
			c.peersUntil = until
		}
		c.peerSlots += p.usage.Capacity
		for _, use := range p.usage.Ranks {
			if r := c.byName[use.Rank]; r != nil {
				r.peerDemand += demand(use.InFlight, use.Waiting, p.usage.Capacity)
			}
		}
	}
}

// demand is the number of slots a rank could use at a host.
func demand(inFlight, waiting int, capacity float64) float64 {
	return min(float64(inFlight+waiting), capacity)
}

// floor returns the slots that the rank keeps on this host: its floor of the
// fleet's capacity, split among the hosts by demand.
func (c *Core) floor(r *rankState) float64 {
	own := demand(r.inFlight, r.waiting, c.capacity)
	if c.peerSlots == 0 || own == 0 {
		return r.Floor * c.capacity
	}
	return r.Floor * (c.capacity + c.peerSlots) * own / (own + r.peerDemand)
}

// floorScale shrinks the floors when together they exceed this host.
func (c *Core) floorScale() float64 {
	sum := 0.0
	for _, r := range c.ranks {
		if r.waiting+r.inFlight > 0 {
			sum += c.floor(r)
		}
	}
	if sum <= c.capacity || sum == 0 {
		return 1
	}
	return c.capacity / sum
}
