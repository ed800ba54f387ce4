package daemon

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/membership"
)

const (
	// demandHalfLife is the half-life of the weight of a counted request.
	demandHalfLife = 5 * time.Second
	// demandFreshness is how long the demand reported by another host counts.
	demandFreshness = 5 * time.Second
	// maxDemandCells bounds the cells per heartbeat. A cell takes about 60 bytes.
	maxDemandCells = 32
	// defaultRunTime is the assumed run time of a version that has not run yet.
	defaultRunTime = time.Second
	// runTimeWeight is the weight of one answer in the moving average of the run
	// time.
	runTimeWeight = 0.1
	// negligibleDemand is the rate, in requests per second, below which a count is
	// dropped.
	negligibleDemand = 0.01
)

// demandCell is the work per second that requests of one rank demand from a
// version. The unit of work is one second of one slot at an engine.
type demandCell struct {
	Version string  `json:"v"`
	Rank    string  `json:"r"`
	Work    float64 `json:"w"`
}

type demandKey struct{ version, rank string }

// decayingCount is a count that halves every demandHalfLife.
type decayingCount struct {
	at    time.Time
	count float64
}

// demandCounter counts the demand at this host and stores the demand reported by
// the other hosts.
type demandCounter struct {
	clock clockwork.Clock

	mu       sync.Mutex
	arrivals map[demandKey]*decayingCount
	runTime  map[string]time.Duration
	peers    map[string]peerDemand
}

type peerDemand struct {
	at    time.Time
	cells []demandCell
}

var _ dispatch.Demand = (*demandCounter)(nil)

func newDemandCounter(clock clockwork.Clock) *demandCounter {
	return &demandCounter{
		clock: clock, arrivals: make(map[demandKey]*decayingCount),
		runTime: make(map[string]time.Duration), peers: make(map[string]peerDemand),
	}
}

func (d *decayingCount) decay(now time.Time) {
	d.count *= math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	d.at = now
}

// Arrived implements dispatch.Demand.
func (c *demandCounter) Arrived(version, rank string) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := demandKey{version, rank}
	d := c.arrivals[key]
	if d == nil {
		d = &decayingCount{at: now}
		c.arrivals[key] = d
	}
	d.decay(now)
	d.count++
}

// Ran implements dispatch.Demand.
func (c *demandCounter) Ran(version string, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mean, ok := c.runTime[version]
	if !ok {
		mean = took
	}
	c.runTime[version] = mean + time.Duration(runTimeWeight*float64(took-mean))
}

// localDemand returns this host's demand, the largest first.
func (c *demandCounter) localDemand() []demandCell {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []demandCell
	for key, d := range c.arrivals {
		d.decay(now)
		rate := d.count * math.Ln2 / demandHalfLife.Seconds()
		if rate < negligibleDemand {
			delete(c.arrivals, key)
			continue
		}
		took, ok := c.runTime[key.version]
		if !ok {
			took = defaultRunTime
		}
		out = append(out, demandCell{Version: key.version, Rank: key.rank, Work: rate * took.Seconds()})
	}
	slices.SortFunc(out, func(a, b demandCell) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Rank, b.Rank))
	})
	return out[:min(len(out), maxDemandCells)]
}

// export returns the cells for the next heartbeat, and false if there are none.
func (c *demandCounter) export() ([]demandCell, bool) {
	cells := c.localDemand()
	return cells, len(cells) > 0
}

// observe stores the demand reported by another host.
func (c *demandCounter) observe(from membership.Member, cells []demandCell) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[from.Host] = peerDemand{at: c.clock.Now(), cells: cells[:min(len(cells), maxDemandCells)]}
	return nil
}

// total returns the demand at all hosts, in work per second.
func (c *demandCounter) total() map[demandKey]float64 {
	out := make(map[demandKey]float64)
	add := func(cells []demandCell) {
		for _, cell := range cells {
			out[demandKey{cell.Version, cell.Rank}] += max(cell.Work, 0)
		}
	}
	add(c.localDemand())
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, p := range c.peers {
		if now.Sub(p.at) > demandFreshness {
			delete(c.peers, host)
			continue
		}
		add(p.cells)
	}
	return out
}
