package admission

import (
	"fmt"
	"time"

	"github.com/corianderlever/corianderlever/admission"
)

// corePolicy is the shipped admission queue of one host. ids maps tickets to
// requests, and tickets maps running requests to tickets.
type corePolicy struct {
	name     string
	core     *admission.Core
	sequence uint64
	ids      map[admission.Ticket]int
	tickets  map[int]admission.Ticket
}

func newCorePolicy(host, slots int, teams []admission.Team) *corePolicy {
	c := admission.NewCore(admission.Limits{MaxWaitingCost: queueSeconds * float64(slots), MaxWaiting: 10_000})
	if _, err := c.ApplyConfig(ranks, teams); err != nil {
		panic(err)
	}
	c.SetCapacity(float64(slots))
	return &corePolicy{
		name: fmt.Sprintf("host-%d", host), core: c,
		ids: map[admission.Ticket]int{}, tickets: map[int]admission.Ticket{},
	}
}

func (p *corePolicy) enqueue(now time.Time, id int, req admission.Request) {
	ticket, drops, err := p.core.Enqueue(now, req)
	if err != nil {
		return
	}
	p.ids[ticket] = id
	p.forgetDropped(drops)
}

// forgetDropped removes the tickets of dropped requests.
func (p *corePolicy) forgetDropped(drops []admission.Drop) {
	for _, d := range drops {
		delete(p.ids, d.Ticket)
	}
}

func (p *corePolicy) next(now time.Time) (int, bool) {
	a, ok := p.core.AdmitNext(now)
	if !ok {
		return 0, false
	}
	id := p.ids[a.Ticket]
	p.tickets[id] = a.Ticket
	return id, true
}

func (p *corePolicy) expire(now time.Time) { p.forgetDropped(p.core.Expire(now)) }

func (p *corePolicy) done(now time.Time, id int, actual float64) {
	ticket := p.tickets[id]
	delete(p.tickets, id)
	delete(p.ids, ticket)
	p.core.Done(now, ticket, actual)
}

// exchange delivers the usage report of every host to all other hosts. Reports
// pass through the encoding used on the wire.
func exchange(now time.Time, hosts []policy) {
	for from, h := range hosts {
		p, ok := h.(*corePolicy)
		if !ok || len(hosts) == 1 {
			return
		}
		p.sequence++
		u := p.core.Usage()
		u.Host, u.Incarnation, u.Sequence = p.name, 1, p.sequence
		data, err := admission.EncodeUsage(u)
		if err != nil {
			panic(err)
		}
		got, err := admission.DecodeUsage(data)
		if err != nil {
			panic(err)
		}
		for to, other := range hosts {
			if to == from {
				continue
			}
			if err := other.(*corePolicy).core.ObservePeerUsage(now, got); err != nil {
				panic(err)
			}
		}
	}
}

// fifoPolicy is the baseline: one queue per host in order of arrival, with the
// same bounds on the number of waiting requests and on the waiting time.
type fifoPolicy struct {
	slots, running int
	queue          []queuedRequest
}

// queuedRequest is a waiting request. It is dropped if it has not started by
// latestStart.
type queuedRequest struct {
	id          int
	latestStart time.Time
}

// fifoMaxWaiting is the maximum number of waiting requests of a host.
const fifoMaxWaiting = 10_000

func (p *fifoPolicy) enqueue(now time.Time, id int, req admission.Request) {
	if len(p.queue) >= fifoMaxWaiting {
		return
	}
	latestStart := req.Deadline.Add(-req.ExpectedDuration)
	for _, r := range ranks {
		if bound := now.Add(r.MaxWait); r.Name == req.Rank && bound.Before(latestStart) {
			latestStart = bound
		}
	}
	p.queue = append(p.queue, queuedRequest{id, latestStart})
}

func (p *fifoPolicy) next(now time.Time) (int, bool) {
	for p.running < p.slots && len(p.queue) > 0 {
		w := p.queue[0]
		p.queue = p.queue[1:]
		if now.After(w.latestStart) {
			continue
		}
		p.running++
		return w.id, true
	}
	return 0, false
}

func (*fifoPolicy) expire(time.Time) {}

func (p *fifoPolicy) done(time.Time, int, float64) { p.running-- }
