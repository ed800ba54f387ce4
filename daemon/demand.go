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
	// demandHalfLife is the time in which a counted request is half forgotten.
	demandHalfLife = 5 * time.Second
	// demandFreshness is how long another host's demand counts.
	demandFreshness = 5 * time.Second
	// maxDemandCells bounds the cells in one heartbeat, about 60 bytes each.
	maxDemandCells = 32
	// usualRunTime stands for the running time of a version that has not run.
	usualRunTime = time.Second
	// runTimeWeight is the weight of one answer in the mean running time.
	runTimeWeight = 0.1
	// negligibleDemand is the rate below which demand is forgotten.
	negligibleDemand = 0.01
)

// demandCell is the work per second asked of a version by one rank. The unit
// of work is one second of one place at an engine.
type demandCell struct {
	Version string  `json:"v"`
	Rank    string  `json:"r"`
	Work    float64 `json:"w"`
}

type demandKey struct{ version, rank string }

// decayed is a count that halves every demandHalfLife.
type decayed struct {
	at    time.Time
	count float64
}

// demandCounter counts the demand at this host and keeps that of the others.
type demandCounter struct {
	clock clockwork.Clock

	mu      sync.Mutex
	arrived map[demandKey]*decayed
	runTime map[string]time.Duration
	peers   map[string]peerDemand
}

type peerDemand struct {
	at    time.Time
	cells []demandCell
}

var _ dispatch.Demand = (*demandCounter)(nil)

func newDemandCounter(clock clockwork.Clock) *demandCounter {
	return &demandCounter{
		clock: clock, arrived: make(map[demandKey]*decayed),
		runTime: make(map[string]time.Duration), peers: make(map[string]peerDemand),
	}
}

func (d *decayed) decay(now time.Time) {
	d.count *= math.Exp2(-now.Sub(d.at).Seconds() / demandHalfLife.Seconds())
	d.at = now
}

// Arrived implements dispatch.Demand.
func (c *demandCounter) Arrived(version, rank string) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	key := demandKey{version, rank}
	d := c.arrived[key]
	if d == nil {
		d = &decayed{at: now}
		c.arrived[key] = d
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

// own returns this host's demand, the largest first.
func (c *demandCounter) own() []demandCell {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []demandCell
	for key, d := range c.arrived {
		d.decay(now)
		rate := d.count * math.Ln2 / demandHalfLife.Seconds()
		if rate < negligibleDemand {
			delete(c.arrived, key)
			continue
		}
		took, ok := c.runTime[key.version]
		if !ok {
			took = usualRunTime
		}
		out = append(out, demandCell{Version: key.version, Rank: key.rank, Work: rate * took.Seconds()})
	}
	slices.SortFunc(out, func(a, b demandCell) int {
		return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Rank, b.Rank))
	})
	return out[:min(len(out), maxDemandCells)]
}

func (c *demandCounter) export() ([]demandCell, bool) {
	cells := c.own()
	return cells, len(cells) > 0
}

func (c *demandCounter) observe(from membership.Member, cells []demandCell) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[from.Host] = peerDemand{at: c.clock.Now(), cells: cells[:min(len(cells), maxDemandCells)]}
	return nil
}

// total returns the demand at all hosts.
func (c *demandCounter) total() map[demandKey]float64 {
	out := make(map[demandKey]float64)
	add := func(cells []demandCell) {
		for _, cell := range cells {
			out[demandKey{cell.Version, cell.Rank}] += max(cell.Work, 0)
		}
	}
	add(c.own())
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
