package allowance

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/corianderlever/corianderlever/allowance"
)

// Sizes and periods of the simulated fleet.
const (
	hostCount     = 7
	runTime       = 2 * time.Hour
	drainTime     = 45 * time.Minute       // the longest deadline of 40 min and a margin
	reportPeriod  = 500 * time.Millisecond // period of signal.Exchange
	grantPeriod   = 5 * time.Second        // period of allowance.Grant
	electionTime  = 5 * time.Second        // from an allocator's crash to the next election
	leaseTime     = 10 * time.Second       // an allocator stops this long after the store becomes unavailable
	restartTime   = 30 * time.Second
	messageLoss   = 0.05
	estimateError = 0.2 // deviation of the log-normal error of estimates
	peakPrice     = 10.0
)

// start is 30 minutes before a new month, so that each run crosses a month
// boundary.
var start = time.Date(2026, 2, 28, 23, 30, 0, 0, time.UTC)

// kind is one kind of request.
type kind struct {
	rank             string
	perMinute        float64 // mean cost units per minute of the fleet
	shortest, spread time.Duration
	expected         time.Duration
	worth            float64 // per cost unit, relative to peakPrice
	flood            float64 // factor on the arrival rate during the flood; zero: none
}

// meanCost is the mean cost of a request in cost units.
const meanCost = 10.0

// faults holds the times of the faults since the start of a run. Equal start and
// end times mean that the fault does not occur.
type faults struct {
	allocatorCrashes   []time.Duration
	hostCrashes        []time.Duration
	storeDown, storeUp time.Duration
	flood, floodEnd    time.Duration
}

type eventKind int

const (
	arrival eventKind = iota
	deferralEnd
	settle
	report
	grant
	allocatorCrash
	election
	hostCrash
	restart
)

type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	index    int // kind of request, request, or host
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// request is one request with its actual cost, which the controller does not see
// before the request is settled.
type request struct {
	allowance.Request
	arrived         time.Duration
	actual          float64
	host            int
	commitment      allowance.Commitment
	hostIncarnation int64 // incarnation of the host that committed
	started         time.Duration
	state           allowance.Action
}

type host struct {
	controller  *allowance.Controller
	skew        time.Duration
	incarnation int64
	alive       bool
	load        float64
	// hostAllocator grants the host's own unused units to other hosts while there
	// is no allocator.
	hostAllocator *allowance.Allocator
}

// fleet simulates the hosts, the allocator and the faults.
type fleet struct {
	kinds         []kind
	faults        faults
	terms         allowance.Terms
	random        []*rand.Rand // one per kind, so that arrivals do not depend on decisions
	network       *rand.Rand
	hosts         []*host
	allocator     *allowance.Allocator
	allocatorHost int // host that runs the allocator
	fence         int64
	requests      []*request
	events        eventHeap
	sequence      int
	now           time.Duration
	billed        map[allowance.Minute]float64 // actual consumption
	justified     map[allowance.Minute]float64 // the part justified by a logged overrun
}

func newFleet(seed uint64, kinds []kind, f faults, terms allowance.Terms) *fleet {
	s := &fleet{
		kinds: kinds, faults: f, terms: terms, network: rand.New(rand.NewPCG(seed, 1000)),
		billed: map[allowance.Minute]float64{}, justified: map[allowance.Minute]float64{},
	}
	for i := range hostCount {
		// Host clocks differ from the supplier's by up to MaxClockSkew (1 s) in
		// either direction, and the loads of the hosts differ by a factor of up to 3.
		skew := time.Duration(float64(allowance.MaxClockSkew) * (2*float64(i)/(hostCount-1) - 1))
		s.hosts = append(s.hosts, &host{skew: skew, load: 1 + 2*float64(i)/(hostCount-1)})
		// The hosts started two minutes ago, so they have shares from the beginning.
		s.startHost(i, -2*time.Minute)
		s.schedule(time.Duration(i)*reportPeriod/hostCount, report, i)
	}
	for i := range kinds {
		s.random = append(s.random, rand.New(rand.NewPCG(seed, uint64(i))))
		s.schedule(s.nextInterarrival(i), arrival, i)
	}
	s.schedule(0, election, 0)
	s.schedule(0, grant, 0)
	for _, at := range f.allocatorCrashes {
		s.schedule(at, allocatorCrash, 0)
	}
	for i, at := range f.hostCrashes {
		s.schedule(at, hostCrash, (2*i+1)%hostCount)
	}
	return s
}

func (s *fleet) schedule(at time.Duration, kind eventKind, index int) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, kind, index})
}

// hostTime returns the time that the clock of host h shows.
func (s *fleet) hostTime(h int) time.Time { return start.Add(s.now + s.hosts[h].skew) }

// hostFence returns the fencing token under which host h grants its own units.
func (s *fleet) hostFence(h int) int64 {
	return allowance.HostFence(fmt.Sprintf("host-%d", h), s.hosts[h].incarnation)
}

// startHost starts host h with a new incarnation at the given time of the run.
func (s *fleet) startHost(h int, at time.Duration) {
	state := s.hosts[h]
	state.incarnation++
	state.alive = true
	c, err := allowance.NewController(start.Add(at+state.skew), allowance.Config{
		Host: fmt.Sprintf("host-%d", h), Incarnation: state.incarnation, Terms: s.terms, Members: hostCount,
	}, rand.New(rand.NewPCG(uint64(state.incarnation), uint64(h))))
	if err != nil {
		panic(err)
	}
	state.controller = c
	state.hostAllocator = allowance.NewAllocator(s.hostFence(h))
}

// storeUnavailable reports whether the store is unavailable.
func (s *fleet) storeUnavailable() bool {
	return s.now >= s.faults.storeDown && s.now < s.faults.storeUp
}

// nextInterarrival draws the time to the next arrival of kind i. The load
// follows a sine whose period is the length of the run.
func (s *fleet) nextInterarrival(i int) time.Duration {
	k := s.kinds[i]
	factor := 1 + 0.5*math.Sin(2*math.Pi*float64(s.now)/float64(runTime))
	if k.flood > 0 && s.now >= s.faults.flood && s.now < s.faults.floodEnd {
		factor *= k.flood
	}
	perMinute := k.perMinute / meanCost * factor
	return time.Duration(s.random[i].ExpFloat64() / perMinute * float64(time.Minute))
}

func (s *fleet) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at >= runTime && e.kind != deferralEnd && e.kind != settle && e.kind != report && e.kind != grant {
			continue
		}
		// Requests deferred at the end of the run are still decided and settled.
		if e.at >= runTime+drainTime {
			return
		}
		s.now = e.at
		s.handle(e)
	}
}

func (s *fleet) handle(e event) {
	switch e.kind {
	case arrival:
		s.arrive(e.index)
	case deferralEnd:
		s.decide(e.index)
	case settle:
		r := s.requests[e.index]
		if h := s.hosts[r.host]; h.alive && h.incarnation == r.hostIncarnation {
			h.controller.Settle(s.hostTime(r.host), r.commitment, r.actual)
		}
	case report:
		s.report(e.index)
		s.schedule(s.now+reportPeriod, report, e.index)
	case grant:
		s.grant()
		s.schedule(s.now+grantPeriod, grant, 0)
	case allocatorCrash:
		s.allocator = nil
		s.schedule(s.now+electionTime, election, 0)
	case election:
		s.elect()
	case hostCrash:
		s.hosts[e.index].alive = false
		s.schedule(s.now+restartTime, restart, e.index)
	case restart:
		s.startHost(e.index, s.now)
	}
}

// elect starts a new allocator on a live host, or tries again later if the store
// is unavailable.
func (s *fleet) elect() {
	if s.storeUnavailable() {
		s.schedule(s.now+electionTime, election, 0)
		return
	}
	s.fence++
	s.allocatorHost = s.nextLiveHost(int(s.fence) % hostCount)
	s.allocator = allowance.NewAllocator(s.fence)
}

// nextLiveHost returns the first live host at or after h, wrapping around.
func (s *fleet) nextLiveHost(h int) int {
	for !s.hosts[h].alive {
		h = (h + 1) % hostCount
	}
	return h
}

func (s *fleet) messageLost() bool { return s.network.Float64() < messageLoss }

// report sends the report of host h to the allocator and to the other hosts.
func (s *fleet) report(h int) {
	if !s.hosts[h].alive {
		return
	}
	fence := s.hostFence(h)
	if s.allocator != nil {
		fence = s.fence
	}
	r := s.hosts[h].controller.Report(s.hostTime(h), fence)
	if s.allocator != nil && !s.messageLost() {
		mustSucceed(s.allocator.Observe(r))
	}
	for i, other := range s.hosts {
		if i == h {
			mustSucceed(other.hostAllocator.Observe(r))
			continue
		}
		if other.alive && !s.messageLost() {
			mustSucceed(other.controller.ObservePeer(s.hostTime(i), r))
			mustSucceed(other.hostAllocator.Observe(r))
		}
	}
}

// grant distributes unused units. The allocator does so for all hosts; without
// an allocator each host grants its own units.
func (s *fleet) grant() {
	if s.allocator != nil && s.storeUnavailable() && s.now >= s.faults.storeDown+leaseTime {
		s.allocator = nil
		s.schedule(s.now+electionTime, election, 0)
	}
	if s.allocator != nil {
		s.deliver(s.allocator.Allocate(allowance.MinuteOf(s.hostTime(s.allocatorHost)), s.live))
		return
	}
	for i, h := range s.hosts {
		if h.alive {
			s.deliver(h.hostAllocator.Allocate(allowance.MinuteOf(s.hostTime(i)), s.live))
		}
	}
}

// live reports whether the host with the given name is running.
func (s *fleet) live(name string) bool {
	for i, h := range s.hosts {
		if name == fmt.Sprintf("host-%d", i) {
			return h.alive
		}
	}
	return false
}

// deliver broadcasts grants to the live hosts. Messages may be lost.
func (s *fleet) deliver(grants []allowance.Grant) {
	for _, g := range grants {
		for i, h := range s.hosts {
			if h.alive && !s.messageLost() {
				h.controller.ApplyGrant(s.hostTime(i), g)
			}
		}
	}
}

func mustSucceed(err error) {
	if err != nil {
		panic(err)
	}
}

// arrive creates a request of kind i, schedules the next arrival and decides
// about the request.
func (s *fleet) arrive(i int) {
	s.create(i)
	s.schedule(s.now+s.nextInterarrival(i), arrival, i)
	s.decide(len(s.requests) - 1)
}

// create draws a request of kind i that arrives now.
func (s *fleet) create(i int) {
	k, rng := s.kinds[i], s.random[i]
	actual := meanCost * (0.2 + 0.8*rng.ExpFloat64())
	estimate := actual * math.Exp(estimateError*rng.NormFloat64()-estimateError*estimateError/2)
	deadline := k.shortest + time.Duration(rng.Float64()*float64(k.spread))
	r := &request{arrived: s.now, actual: actual, host: s.pickHost(rng), state: allowance.Defer}
	r.Request = allowance.Request{
		Rank: k.rank, Team: "team", Worth: k.worth * peakPrice * estimate, Cost: estimate,
		Deadline: start.Add(s.now + deadline), ExpectedDuration: k.expected,
	}
	s.requests = append(s.requests, r)
}

// pickHost draws a host by relative load.
func (s *fleet) pickHost(rng *rand.Rand) int {
	sum := 0.0
	for _, h := range s.hosts {
		sum += h.load
	}
	x := rng.Float64() * sum
	for i, h := range s.hosts {
		if x -= h.load; x < 0 {
			return i
		}
	}
	return hostCount - 1
}

// decide asks the request's host for a decision and carries it out. If the host
// has crashed, the caller asks the next live host.
func (s *fleet) decide(id int) {
	r := s.requests[id]
	if h := s.hosts[r.host]; !h.alive || r.Deferred && h.incarnation != r.hostIncarnation {
		r.host = s.nextLiveHost(r.host)
		r.Deferred = false
	}
	h := s.hosts[r.host]
	d := h.controller.Decide(s.hostTime(r.host), r.Request)
	r.state, r.hostIncarnation = d.Action, h.incarnation
	switch d.Action {
	case allowance.Defer:
		r.Deferred = true
		s.schedule(d.Until.Sub(start)-h.skew, deferralEnd, id)
	case allowance.Admit:
		r.commitment, r.started = d.Commitment, s.now
		minute := allowance.MinuteOf(start.Add(s.now))
		s.billed[minute] += r.actual
		if d.Overrun != nil {
			s.justified[minute] += d.Overrun.Units
		}
		s.schedule(s.now+r.ExpectedDuration, settle, id)
	}
}
