package limiter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/internal/measure/vtime"
	limits "github.com/corianderlever/corianderlever/limiter"
)

const (
	clusterHosts        = 7
	clusterEndpoints    = 12
	endpointSlots       = 8
	meanService         = time.Second
	restartTime         = 4 * time.Second
	gossipPeriod        = 500 * time.Millisecond
	gossipFanout        = 3
	gossipDelayMax      = 50 * time.Millisecond
	callerDeadline      = 20 * time.Second
	baselineTimeout     = 30 * time.Second
	poisonResubmissions = 10
	popularHashes       = 40
	popularShare        = 0.3
	probationPoll       = 100 * time.Millisecond
)

// options select the faults and the method of one run.
type options struct {
	limited     bool // true: the shipped limits; false: the baseline
	rate        float64
	poisonEvery time.Duration // period of poison requests
	silentEvery time.Duration // period of silent connections; zero: never
	length      time.Duration
}

// request is one call by a caller. resubmissions counts how often the caller
// sent it again; attempts counts the attempts since the last submission.
type request struct {
	hash          limits.Hash
	poison        bool
	arrived       time.Time
	attempts      int
	resubmissions int
}

// attempt is one attempt of a request on an endpoint.
type attempt struct {
	req       *request
	host      *host
	endpoint  *endpoint
	probation bool
	started   bool
	silent    bool
	ended     bool
}

type endpoint struct {
	id      string
	down    bool
	running []*attempt
	waiting []*attempt
}

type host struct {
	guard  *limits.CrashGuard
	budget *limits.RetryBudget
	eject  *limits.Ejector
}

// cluster simulates hosts and endpoints with the faults of options.
type cluster struct {
	options
	sim             *vtime.Sim
	random          *rand.Rand
	hosts           []*host
	endpoints       []*endpoint
	probation       *limits.Probation
	baselineCrashes map[limits.Hash]int // crashes counted per hash by the baseline
	actualCrashes   map[limits.Hash]int // crashes that each hash actually caused
	nextHash        limits.Hash
	offered         int
	finished        int // harmless requests finished within the deadline
	rejected        int // harmless requests rejected
}

func newCluster(seed uint64, o options) *cluster {
	c := &cluster{
		options:         o,
		sim:             vtime.New(),
		random:          rand.New(rand.NewPCG(seed, 3)),
		baselineCrashes: make(map[limits.Hash]int),
		actualCrashes:   make(map[limits.Hash]int),
		nextHash:        popularHashes,
	}
	ids := make([]string, clusterEndpoints)
	for i := range ids {
		ids[i] = "endpoint-" + strconv.Itoa(i)
		c.endpoints = append(c.endpoints, &endpoint{id: ids[i]})
	}
	for range clusterHosts {
		h := &host{
			guard:  limits.NewCrashGuard(c.sim.Clock, limits.PropagationTime(clusterHosts, gossipPeriod)),
			budget: limits.NewRetryBudget(c.sim.Clock),
			eject:  limits.NewEjector(c.sim.Clock),
		}
		h.eject.SetEndpoints(ids)
		c.hosts = append(c.hosts, h)
	}
	c.probation = limits.NewProbation(c.sim.Clock, c.hosts[0].guard)
	return c
}

func (c *cluster) run() {
	c.arrive()
	c.sim.Every(gossipPeriod, c.gossip)
	c.sim.Every(c.poisonEvery, func() {
		c.nextHash++
		c.submit(&request{hash: c.nextHash, poison: true})
	})
	if c.silentEvery > 0 {
		c.sim.Every(c.silentEvery, c.silence)
	}
	c.sim.Run(c.length)
}

// arrive submits harmless requests. It stops callerDeadline and restartTime
// before the end of the run, so that every request can end.
func (c *cluster) arrive() {
	if c.sim.Elapsed() > c.length-callerDeadline-restartTime {
		return
	}
	hash := limits.Hash(c.random.IntN(popularHashes))
	if c.random.Float64() >= popularShare {
		c.nextHash++
		hash = c.nextHash
	}
	c.offered++
	c.submit(&request{hash: hash})
	c.sim.After(interval(c.random, c.rate), c.arrive)
}

func (c *cluster) submit(r *request) {
	r.arrived = c.sim.Now()
	r.attempts = 0
	h := c.hosts[c.random.IntN(len(c.hosts))]
	h.budget.RecordRequest()
	c.admit(h, r)
}

// gossip sends the crash marks of each host to gossipFanout random hosts.
func (c *cluster) gossip() {
	for _, from := range c.hosts {
		data, err := from.guard.Marks()
		if err != nil {
			panic(err)
		}
		for _, i := range c.random.Perm(len(c.hosts))[:gossipFanout] {
			to := c.hosts[i]
			c.sim.After(time.Duration(c.random.Int64N(int64(gossipDelayMax))), func() {
				if err := to.guard.MergeMarks(data); err != nil {
					panic(err)
				}
			})
		}
	}
}

// admit asks the crash guard, or the baseline's crash count, whether the request
// may run, and starts an attempt if so.
func (c *cluster) admit(h *host, r *request) {
	if !c.limited {
		if c.baselineCrashes[r.hash] >= 2 {
			c.reject(h, r)
			return
		}
		c.start(h, r, c.choose(h, ""), false)
		return
	}
	verdict := h.guard.Admit(r.hash)
	switch verdict.Admission {
	case limits.AdmitReject:
		c.reject(h, r)
	case limits.AdmitWait:
		c.sim.After(verdict.Until.Sub(c.sim.Now()), func() { c.admit(h, r) })
	case limits.AdmitNormal:
		c.start(h, r, c.choose(h, ""), false)
	case limits.AdmitProbation:
		e := c.choose(h, verdict.AvoidEndpoint)
		if !c.probation.TryStart(r.hash, e.id) {
			c.sim.After(probationPoll, func() { c.admit(h, r) })
			return
		}
		c.start(h, r, e, true)
	}
}

// choose returns the endpoint with the shorter queue of two random ones that
// are up and not ejected. The shipped load balancing has its own measurement in
// internal/measure/balance.
func (c *cluster) choose(h *host, avoid string) *endpoint {
	var usable []*endpoint
	for _, e := range c.endpoints {
		if !e.down && e.id != avoid && (!c.limited || h.eject.Allowed(e.id)) {
			usable = append(usable, e)
		}
	}
	if len(usable) == 0 {
		usable = c.endpoints
	}
	a := usable[c.random.IntN(len(usable))]
	b := usable[c.random.IntN(len(usable))]
	if len(b.running)+len(b.waiting) < len(a.running)+len(a.waiting) {
		return b
	}
	return a
}

// start queues an attempt on the endpoint, or fails it at once if the endpoint
// is down.
func (c *cluster) start(h *host, r *request, e *endpoint, probation bool) {
	r.attempts++
	a := &attempt{req: r, host: h, endpoint: e, probation: probation}
	if e.down {
		c.sim.After(time.Millisecond, func() { c.failed(a) })
		return
	}
	e.waiting = append(e.waiting, a)
	c.fill(e)
}

// fill starts waiting attempts in the endpoint's free slots.
func (c *cluster) fill(e *endpoint) {
	for len(e.running) < endpointSlots && len(e.waiting) > 0 && !e.down {
		a := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.running = append(e.running, a)
		a.started = true
		if a.req.poison {
			c.sim.After(time.Duration(100+c.random.IntN(400))*time.Millisecond, func() { c.crash(a) })
			continue
		}
		service := time.Duration((0.5 + c.random.Float64()) * float64(meanService))
		c.sim.After(service, func() { c.done(a) })
	}
}

func remove(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(o *attempt) bool { return o == a })
}
