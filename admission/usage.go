package admission

import (
	"cmp"
	"encoding/json"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Bounds of the usage reports that hosts exchange.
const (
	// MaxUsageBytes bounds an encoded report.
	MaxUsageBytes = 64 << 10
	// maxUsageTeams bounds the teams of one rank in a report. The teams that
	// received the most service are included, because they matter most for fairness.
	maxUsageTeams = 128
	// maxUsageRanks bounds the ranks in a report.
	maxUsageRanks = 16
	// maxPeers bounds the number of peers in memory. It exceeds the fleet of 870
	// hosts.
	maxPeers = 1024
	// PeerReportTTL is the time for which a report is valid. It tolerates several
	// lost heartbeats, sent every 500 ms, and equals the time after which an
	// unresponsive member is removed.
	PeerReportTTL = 3 * time.Second
	// maxLagReports bounds how far service at peers can put a team behind other
	// teams, in multiples of the service in one report. Without this bound, a team
	// that used idle capacity elsewhere for a long time would be starved here.
	maxLagReports = 4
)

// TeamUsage is the service that one team received on one host in one rank.
type TeamUsage struct {
	// Team is the name of the team.
	Team string `json:"t"`
	// Served is the cumulative admitted cost since the host started.
	Served float64 `json:"s"`
}

// RankUsage is the usage of one rank on one host.
type RankUsage struct {
	// Rank is the name of the rank.
	Rank string `json:"r"`
	// InFlight and Waiting count requests.
	InFlight int `json:"f"`
	Waiting  int `json:"w"`
	// Teams are ordered by Served, highest first.
	Teams []TeamUsage `json:"u,omitempty"`
}

// Usage is the report that a host broadcasts to its peers. Its sums are
// cumulative, so reports may be lost, duplicated or reordered.
type Usage struct {
	// Host is the name of the reporting host.
	Host string `json:"h"`
	// Incarnation distinguishes restarts of the host.
	Incarnation int64 `json:"i"`
	// Sequence orders the reports of one incarnation.
	Sequence uint64 `json:"q"`
	// Capacity is the number of slots of the host.
	Capacity float64 `json:"c"`
	// Ranks holds the usage of each rank.
	Ranks []RankUsage `json:"k"`
}

// EncodeUsage returns u as JSON of at most MaxUsageBytes.
func EncodeUsage(u Usage) ([]byte, error) {
	data, err := json.Marshal(u)
	if err != nil {
		return nil, errors.Wrapf(ErrInvalid, "usage report: %v", err)
	}
	if len(data) > MaxUsageBytes {
		return nil, errors.Wrapf(ErrInvalid, "usage report of %d bytes is too large", len(data))
	}
	return data, nil
}

// DecodeUsage decodes and validates a report.
func DecodeUsage(data []byte) (Usage, error) {
	var u Usage
	if len(data) > MaxUsageBytes {
		return u, errors.Wrapf(ErrInvalid, "usage report of %d bytes is too large", len(data))
	}
	if err := json.Unmarshal(data, &u); err != nil {
		return u, errors.Wrapf(ErrInvalid, "usage report: %v", err)
	}
	return u, u.check()
}

func (u Usage) check() error {
	valid := func(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }
	if u.Host == "" || !valid(u.Capacity) || len(u.Ranks) > maxUsageRanks {
		return errors.Wrapf(ErrInvalid, "usage report of host %q: empty name, invalid capacity or too many ranks", u.Host)
	}
	for _, r := range u.Ranks {
		if r.InFlight < 0 || r.Waiting < 0 || len(r.Teams) > maxUsageTeams {
			return errors.Wrapf(ErrInvalid, "usage report: rank %q: negative count or too many teams", r.Rank)
		}
		for _, t := range r.Teams {
			if !valid(t.Served) {
				return errors.Wrapf(ErrInvalid, "usage report: team %q: cost is negative or not finite", t.Team)
			}
		}
	}
	return nil
}

// Usage returns a report of this host without Host, Incarnation and Sequence,
// which the caller sets.
func (c *Core) Usage() Usage {
	u := Usage{Capacity: c.capacity}
	for _, r := range c.ranks[:min(len(c.ranks), maxUsageRanks)] {
		rankUsage := RankUsage{Rank: r.Name, InFlight: r.inFlight, Waiting: r.waiting}
		for name, f := range r.flows {
			if f.servedCost > 0 {
				rankUsage.Teams = append(rankUsage.Teams, TeamUsage{Team: name, Served: f.servedCost})
			}
		}
		slices.SortFunc(rankUsage.Teams, func(a, b TeamUsage) int {
			return cmp.Or(cmp.Compare(b.Served, a.Served), cmp.Compare(a.Team, b.Team))
		})
		rankUsage.Teams = rankUsage.Teams[:min(len(rankUsage.Teams), maxUsageTeams)]
		u.Ranks = append(u.Ranks, rankUsage)
	}
	return u
}

// peer holds the latest report of another host.
type peer struct {
	usage      Usage
	served     map[flowKey]float64 // cumulative cost by rank and team in that report
	receivedAt time.Time
}

type flowKey struct{ rank, team string }

// ObservePeerUsage applies the usage report of a peer: service there is charged
// to the team here, and the floors of ranks are split among hosts by demand.
func (c *Core) ObservePeerUsage(now time.Time, u Usage) error {
	if err := u.check(); err != nil {
		return err
	}
	p := c.peers[u.Host]
	if p != nil && !newer(u, p.usage) {
		return nil
	}
	if p == nil && len(c.peers) >= maxPeers {
		c.removeStalePeers(now)
		if len(c.peers) >= maxPeers {
			return errors.Wrapf(ErrInvalid, "usage reports of more than %d peers", maxPeers)
		}
	}
	if p == nil || p.usage.Incarnation != u.Incarnation {
		p = &peer{}
		c.peers[u.Host] = p
	}
	c.chargePeer(p, u)
	p.usage, p.receivedAt = u, now
	c.aggregatePeers(now)
	return nil
}

// newer reports whether a was sent after b.
func newer(a, b Usage) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Sequence > b.Sequence
}

// chargePeer charges the service since the previous report of the peer. The first
// report of an incarnation charges nothing and only sets the starting point.
func (c *Core) chargePeer(p *peer, u Usage) {
	served := map[flowKey]float64{}
	for _, rankUsage := range u.Ranks {
		r := c.byName[rankUsage.Rank]
		if r == nil {
			continue
		}
		for _, t := range rankUsage.Teams {
			state := c.teams[t.Team]
			if state == nil {
				continue
			}
			key := flowKey{rankUsage.Rank, t.Team}
			served[key] = t.Served
			previous, known := p.served[key]
			if !known && p.served == nil {
				continue
			}
			r.teamFlow(state).chargeRemote(t.Served - previous)
		}
	}
	p.served = served
}

// chargeRemote charges service received at a peer, bounded by maxLagReports.
func (f *flow) chargeRemote(cost float64) {
	if cost <= 0 {
		return
	}
	if f.heapIndex < 0 {
		f.normalizedService = max(f.normalizedService, f.rank.virtualTime)
	}
	limit := f.rank.virtualTime + maxLagReports*cost/f.team.weight
	room := (limit - f.normalizedService) * f.team.weight
	if room > 0 {
		f.charge(min(cost, room))
	}
}

// refreshPeers removes stale reports.
func (c *Core) refreshPeers(now time.Time) {
	if len(c.peers) > 0 && now.After(c.peersValidUntil) {
		c.removeStalePeers(now)
		c.aggregatePeers(now)
	}
}

func (c *Core) removeStalePeers(now time.Time) {
	for host, p := range c.peers {
		if now.Sub(p.receivedAt) > PeerReportTTL {
			delete(c.peers, host)
		}
	}
}

// aggregatePeers adds up the capacity and the demand of peers with valid reports.
func (c *Core) aggregatePeers(now time.Time) {
	c.peerCapacity = 0
	c.peersValidUntil = now.Add(PeerReportTTL)
	for _, r := range c.ranks {
		r.peerDemand = 0
	}
	for _, p := range c.peers {
		until := p.receivedAt.Add(PeerReportTTL)
		if now.After(until) {
			continue
		}
		if until.Before(c.peersValidUntil) {
			c.peersValidUntil = until
		}
		c.peerCapacity += p.usage.Capacity
		for _, rankUsage := range p.usage.Ranks {
			if r := c.byName[rankUsage.Rank]; r != nil {
				r.peerDemand += demand(rankUsage.InFlight, rankUsage.Waiting, p.usage.Capacity)
			}
		}
	}
}

// demand returns the number of slots that a rank could use on a host.
func demand(inFlight, waiting int, capacity float64) float64 {
	return min(float64(inFlight+waiting), capacity)
}

// floorSlots returns the minimum number of slots of a rank on this host: its
// floor times the fleet's capacity, split among the hosts by demand.
func (c *Core) floorSlots(r *rankState) float64 {
	localDemand := demand(r.inFlight, r.waiting, c.capacity)
	if c.peerCapacity == 0 || localDemand == 0 {
		return r.Floor * c.capacity
	}
	return r.Floor * (c.capacity + c.peerCapacity) * localDemand / (localDemand + r.peerDemand)
}

// floorScale returns the factor, at most 1, by which the floors are scaled down
// so that together they do not exceed the capacity of this host.
func (c *Core) floorScale() float64 {
	sum := 0.0
	for _, r := range c.ranks {
		if r.waiting+r.inFlight > 0 {
			sum += c.floorSlots(r)
		}
	}
	if sum <= c.capacity || sum == 0 {
		return 1
	}
	return c.capacity / sum
}
