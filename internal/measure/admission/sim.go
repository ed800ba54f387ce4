package admission

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/corianderlever/corianderlever/admission"
)

// Sizes of the simulated fleet. One cost unit is one second of one slot.
const (
	fleetSlots   = 70
	warmUp       = 15 * time.Second
	runTime      = 75 * time.Second
	gossipPeriod = 500 * time.Millisecond // period of signal.Exchange
	expirePeriod = 100 * time.Millisecond
	queueSeconds = 30 // maximum waiting work, in seconds of full capacity
	// Service times, in seconds, are minService plus an exponentially distributed
	// time with mean meanExtra.
	minService = 0.1
	meanExtra  = 0.4
	// Estimates differ from the actual cost by a log-normal factor with this
	// deviation.
	estimateError = 0.3
)

var epoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// ranks are the ranks of the simulated deployment. Floor is the minimum share of
// the capacity.
var ranks = []admission.Rank{
	{Name: "urgent", Priority: 0, Floor: 0.5, MaxWait: 5 * time.Second},
	{Name: "normal", Priority: 1, Floor: 0.25, MaxWait: 15 * time.Second},
	{Name: "batch", Priority: 2, Floor: 0.1, MaxWait: 60 * time.Second},
}

// deadlines limit the time from arrival to the complete answer, by rank.
var deadlines = map[string]time.Duration{"urgent": 8 * time.Second, "normal": 30 * time.Second, "batch": 120 * time.Second}

// stream is a Poisson process of requests of one team in one rank.
type stream struct {
	rank, team string
	load       float64   // offered work as a multiple of the fleet's capacity
	spread     []float64 // relative load of the hosts; nil: even
}

// policy is the admission policy under measurement: admission.Core or the
// baseline.
type policy interface {
	enqueue(now time.Time, id int, req admission.Request)
	next(now time.Time) (id int, ok bool)
	expire(now time.Time)
	done(now time.Time, id int, actual float64)
}

// job is one request with its actual service time in seconds, which the policy
// does not see before the request is done.
type job struct {
	stream   int
	host     int
	arrived  time.Duration
	finished time.Duration // zero: not finished
	service  float64
}

// outcome holds the results of one run after the warm-up.
type outcome struct {
	latencies    map[string][]float64 // by rank, in seconds; the deadline for requests not finished in time
	servedByRank map[string]float64   // work finished in time, as a share of capacity, by rank
	servedByTeam map[string]float64   // work finished in time, as a share of capacity, by team
	good         float64              // work finished in time, as a share of capacity
}

type eventKind int

const (
	arrival eventKind = iota
	completion
	expiry
	gossip
)

type event struct {
	at       time.Duration
	sequence int
	kind     eventKind
	index    int // stream or job
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

// server is a small fake server with a fixed number of slots.
type server struct{ slots, busy int }

// simulation runs one policy per host over the streams.
type simulation struct {
	streams  []stream
	random   []*rand.Rand // one per stream, so that streams are independent of each other
	hosts    []policy
	servers  [][]server
	onServer map[int]int
	jobs     []job
	events   eventHeap
	sequence int
	now      time.Duration
}

// serversPerHost is the number of fake servers among which a host's slots are split.
const serversPerHost = 2

func newSimulation(seed uint64, hosts []policy, streams []stream) *simulation {
	s := &simulation{streams: streams, hosts: hosts, onServer: map[int]int{}}
	for i := range streams {
		s.random = append(s.random, rand.New(rand.NewPCG(seed, uint64(i))))
		s.schedule(0, arrival, i)
	}
	for range hosts {
		slots := fleetSlots / len(hosts) / serversPerHost
		s.servers = append(s.servers, []server{{slots: slots}, {slots: slots}})
	}
	s.schedule(expirePeriod, expiry, 0)
	s.schedule(gossipPeriod, gossip, 0)
	return s
}

func (s *simulation) schedule(at time.Duration, kind eventKind, index int) {
	s.sequence++
	heap.Push(&s.events, event{at, s.sequence, kind, index})
}

func (s *simulation) clock() time.Time { return epoch.Add(s.now) }

// run processes all events up to runTime.
func (s *simulation) run() outcome {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		if e.at > runTime {
			break
		}
		s.now = e.at
		switch e.kind {
		case arrival:
			s.arrive(e.index)
		case completion:
			s.complete(e.index)
		case expiry:
			for h, p := range s.hosts {
				p.expire(s.clock())
				s.fill(h)
			}
			s.schedule(s.now+expirePeriod, expiry, 0)
		case gossip:
			exchange(s.clock(), s.hosts)
			s.schedule(s.now+gossipPeriod, gossip, 0)
		}
	}
	return s.outcome()
}

// arrive creates a request of stream i and schedules the next one.
func (s *simulation) arrive(i int) {
	rng, st := s.random[i], s.streams[i]
	rate := st.load * fleetSlots / (minService + meanExtra)
	s.schedule(s.now+seconds(rng.ExpFloat64()/rate), arrival, i)
	if s.now == 0 {
		return // the first event only starts the stream
	}
	service := minService + meanExtra*rng.ExpFloat64()
	estimate := service * math.Exp(estimateError*rng.NormFloat64())
	host := pickHost(rng, st.spread, len(s.hosts))
	id := len(s.jobs)
	s.jobs = append(s.jobs, job{stream: i, host: host, arrived: s.now, service: service})
	s.hosts[host].enqueue(s.clock(), id, admission.Request{
		Rank: st.rank, Team: st.team, Cost: estimate,
		Deadline: s.clock().Add(deadlines[st.rank]), ExpectedDuration: seconds(estimate),
	})
	s.fill(host)
}

// fill starts admitted requests on the least busy server of the host.
func (s *simulation) fill(host int) {
	for id, ok := s.hosts[host].next(s.clock()); ok; id, ok = s.hosts[host].next(s.clock()) {
		best := 0
		for i, sv := range s.servers[host] {
			if sv.slots-sv.busy > s.servers[host][best].slots-s.servers[host][best].busy {
				best = i
			}
		}
		sv := &s.servers[host][best]
		if sv.busy == sv.slots {
			panic("admission: a request was admitted beyond the capacity")
		}
		sv.busy++
		s.onServer[id] = best
		s.schedule(s.now+seconds(s.jobs[id].service), completion, id)
	}
}

func (s *simulation) complete(id int) {
	j := s.jobs[id]
	s.servers[j.host][s.onServer[id]].busy--
	delete(s.onServer, id)
	s.jobs[id].finished = s.now
	s.hosts[j.host].done(s.clock(), id, j.service)
	s.fill(j.host)
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// pickHost draws a host by relative load.
func pickHost(rng *rand.Rand, spread []float64, hosts int) int {
	if spread == nil || hosts == 1 {
		return rng.IntN(hosts)
	}
	sum := 0.0
	for _, v := range spread {
		sum += v
	}
	x := rng.Float64() * sum
	for i, v := range spread {
		if x -= v; x < 0 {
			return i
		}
	}
	return hosts - 1
}
