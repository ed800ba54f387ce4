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
	drainTime     = 45 * time.Minute       // the longest deadline and a reserve
	reportPeriod  = 500 * time.Millisecond // period of signal.Exchange
	grantPeriod   = 5 * time.Second        // period of allowance.Grant
	electionTime  = 5 * time.Second        // from an allocator's death to the next
	leaseTime     = 10 * time.Second       // an allocator stops this long after the store is lost
	restartTime   = 30 * time.Second
	messageLoss   = 0.05
	estimateError = 0.2 // deviation of the log-normal error of estimates
	peakPrice     = 10.0
)

// start is shortly before a new month, so that each run crosses its beginning.
var start = time.Date(2026, 2, 28, 23, 30, 0, 0, time.UTC)

// kind is one kind of request.
type kind struct {
	rank             string
	perMinute        float64 // mean cost units per minute of the fleet
	shortest, spread time.Duration
	expected         time.Duration
	worth            float64 // per cost unit, relative to the price of the peak
	flood            float64 // factor within the flood
}

const meanCost = 10.0

// faults are the times of the faults within a run; zero means never.
type faults struct {
	allocatorDeaths    []time.Duration
	hostDeaths         []time.Duration
	storeDown, storeUp time.Duration
	flood, floodEnd    time.Duration
}

type eventKind int

const (
	arrival eventKind = iota
	comeBack
	settle
	report
	grant
	allocatorDeath
	election
	hostDeath
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

// request is one request with its hidden actual cost.
type request struct {
	allowance.Request
	arrived    time.Duration
	actual     float64
	host       int
	commitment allowance.Commitment
	incarnate  int64 // incarnation of the host that committed
	started    time.Duration
	state      allowance.Action
}

type host struct {
	controller  *allowance.Controller
	skew        time.Duration
	incarnation int64
	alive       bool
	load        float64
	// lender gives the host's own unused units to others without an allocator.
	lender *allowance.Allocator
}

// fleet simulates hosts, the allocator and the faults.
type fleet struct {
	kinds     []kind
	faults    faults
	terms     allowance.Terms
	random    []*rand.Rand // one per kind, so that decisions do not change arrivals
	network   *rand.Rand
	hosts     []*host
	allocator *allowance.Allocator
	holder    int // host of the allocator
	fence     int64
	requests  []*request
	events    eventHeap
	sequence  int
	now       time.Duration
	billed    map[allowance.Minute]float64 // true consumption
	reasoned  map[allowance.Minute]float64 // the part with a logged reason
}

func newFleet(seed uint64, kinds []kind, f faults, terms allowance.Terms) *fleet {
	s := &fleet{
		kinds: kinds, faults: f, terms: terms, network: rand.New(rand.NewPCG(seed, 1000)),
		billed: map[allowance.Minute]float64{}, reasoned: map[allowance.Minute]float64{},
	}
	for i := range hostCount {
		// Clocks differ from the supplier's by up to a second either way, and the
		// hosts' loads by a factor of up to 3.
		skew := time.Duration(float64(allowance.MaxClockSkew) * (2*float64(i)/(hostCount-1) - 1))
		s.hosts = append(s.hosts, &host{skew: skew, load: 1 + 2*float64(i)/(hostCount-1)})
		// The fleet has run for a while, so the hosts have shares at once.
		s.boot(i, -2*time.Minute)
		s.schedule(time.Duration(i)*reportPeriod/hostCount, report, i)
	}
	for i := range kinds {
		s.random = append(s.random, rand.New(rand.NewPCG(seed, uint64(i))))
		s.schedule(s.gap(i), arrival, i)
	}
	s.schedule(0, election, 0)
	s.schedule(0, grant, 0)
	for _, at := range f.allocatorDeaths {
		s.schedule(at, allocatorDeath, 0)
	}
	for i, at := range f.hostDeaths {
		s.schedule(at, hostDeath, (2*i+1)%hostCount)
	}
	return s
}

func (s *fleet) schedule(at time.Duration, kind eventKind, index int) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, kind, index})
}

// local returns the time that a host's clock shows.
func (s *fleet) local(h int) time.Time { return start.Add(s.now + s.hosts[h].skew) }

// lenderFence returns the number under which a host lends its own units.
func (s *fleet) lenderFence(h int) int64 {
	return allowance.HostFence(fmt.Sprintf("host-%d", h), s.hosts[h].incarnation)
}

func (s *fleet) boot(h int, at time.Duration) {
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
	state.lender = allowance.NewAllocator(s.lenderFence(h))
}

// storeLost reports whether the store is unavailable.
func (s *fleet) storeLost() bool { return s.now >= s.faults.storeDown && s.now < s.faults.storeUp }

// gap draws the time to the next arrival of a kind. The load follows a cycle
// of the length of the run.
func (s *fleet) gap(i int) time.Duration {
	k := s.kinds[i]
	cycle := 1 + 0.5*math.Sin(2*math.Pi*float64(s.now)/float64(runTime))
	if k.flood > 0 && s.now >= s.faults.flood && s.now < s.faults.floodEnd {
		cycle *= k.flood
	}
	perMinute := k.perMinute / meanCost * cycle
	return time.Duration(s.random[i].ExpFloat64() / perMinute * float64(time.Minute))
}

func (s *fleet) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at >= runTime && e.kind != comeBack && e.kind != settle && e.kind != report && e.kind != grant {
			continue
		}
		// Work deferred at the end of the run still has to run.
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
	case comeBack:
		s.decide(e.index)
	case settle:
		r := s.requests[e.index]
		if h := s.hosts[r.host]; h.alive && h.incarnation == r.incarnate {
			h.controller.Settle(s.local(r.host), r.commitment, r.actual)
		}
	case report:
		s.report(e.index)
		s.schedule(s.now+reportPeriod, report, e.index)
	case grant:
		s.grant()
		s.schedule(s.now+grantPeriod, grant, 0)
	case allocatorDeath:
		s.allocator = nil
		s.schedule(s.now+electionTime, election, 0)
	case election:
		s.elect()
	case hostDeath:
		s.hosts[e.index].alive = false
		s.schedule(s.now+restartTime, restart, e.index)
	case restart:
		s.boot(e.index, s.now)
	}
}

func (s *fleet) elect() {
	if s.storeLost() {
		s.schedule(s.now+electionTime, election, 0)
		return
	}
	s.fence++
	s.holder = s.liveFrom(int(s.fence) % hostCount)
	s.allocator = allowance.NewAllocator(s.fence)
}

// liveFrom returns the first live host from h on.
func (s *fleet) liveFrom(h int) int {
	for !s.hosts[h].alive {
		h = (h + 1) % hostCount
	}
	return h
}

func (s *fleet) lost() bool { return s.network.Float64() < messageLoss }

func (s *fleet) report(h int) {
	if !s.hosts[h].alive {
		return
	}
	fence := s.lenderFence(h)
	if s.allocator != nil {
		fence = s.fence
	}
	r := s.hosts[h].controller.Report(s.local(h), fence)
	if s.allocator != nil && !s.lost() {
		check(s.allocator.Observe(r))
	}
	for i, other := range s.hosts {
		if i == h {
			check(other.lender.Observe(r))
			continue
		}
		if other.alive && !s.lost() {
			check(other.controller.ObservePeer(s.local(i), r))
			check(other.lender.Observe(r))
		}
	}
}

// grant lets the allocator, or each host for its own units, give units away.
func (s *fleet) grant() {
	if s.allocator != nil && s.storeLost() && s.now >= s.faults.storeDown+leaseTime {
		s.allocator = nil
		s.schedule(s.now+electionTime, election, 0)
	}
	if s.allocator != nil {
		s.deliver(s.allocator.Allocate(allowance.MinuteOf(s.local(s.holder)), s.live))
		return
	}
	for i, h := range s.hosts {
		if h.alive {
			s.deliver(h.lender.Allocate(allowance.MinuteOf(s.local(i)), s.live))
		}
	}
}

func (s *fleet) live(name string) bool {
	for i, h := range s.hosts {
		if name == fmt.Sprintf("host-%d", i) {
			return h.alive
		}
	}
	return false
}

func (s *fleet) deliver(grants []allowance.Grant) {
	for _, g := range grants {
		for i, h := range s.hosts {
			if h.alive && !s.lost() {
				h.controller.ApplyGrant(s.local(i), g)
			}
		}
	}
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// arrive creates a request of a kind, decides about it and schedules the next.
func (s *fleet) arrive(i int) {
	s.create(i)
	s.schedule(s.now+s.gap(i), arrival, i)
	s.decide(len(s.requests) - 1)
}

// create draws a request of a kind that arrives now.
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

// decide asks the host of a request. A caller whose host died asks another.
func (s *fleet) decide(id int) {
	r := s.requests[id]
	if h := s.hosts[r.host]; !h.alive || r.Deferred && h.incarnation != r.incarnate {
		r.host = s.liveFrom(r.host)
		r.Deferred = false
	}
	h := s.hosts[r.host]
	d := h.controller.Decide(s.local(r.host), r.Request)
	r.state, r.incarnate = d.Action, h.incarnation
	switch d.Action {
	case allowance.Defer:
		r.Deferred = true
		s.schedule(d.Until.Sub(start)-h.skew, comeBack, id)
	case allowance.Admit:
		r.commitment, r.started = d.Commitment, s.now
		minute := allowance.MinuteOf(start.Add(s.now))
		s.billed[minute] += r.actual
		if d.Overrun != nil {
			s.reasoned[minute] += d.Overrun.Units
		}
		s.schedule(s.now+r.ExpectedDuration, settle, id)
	}
}
