package admission

import (
	"fmt"
	"time"

	"github.com/corianderlever/corianderlever/admission"
)

// corePolicy is the shipped decision.
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
	p.forget(drops)
}

func (p *corePolicy) forget(drops []admission.Drop) {
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

func (p *corePolicy) expire(now time.Time) { p.forget(p.core.Expire(now)) }

func (p *corePolicy) done(now time.Time, id int, actual float64) {
	ticket := p.tickets[id]
	delete(p.tickets, id)
	delete(p.ids, ticket)
	p.core.Done(now, ticket, actual)
}

// exchange delivers every host's report to all others, in encoded form.
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

// fifoPolicy is the baseline: one queue in order of arrival, with the same
// bounds in number and time.
type fifoPolicy struct {
	slots, running int
	queue          []waiting
}

type waiting struct {
	id   int
	last time.Time
}

// fifoBound is the number of waiting requests of a host.
const fifoBound = 10_000

func (p *fifoPolicy) enqueue(now time.Time, id int, req admission.Request) {
	if len(p.queue) >= fifoBound {
		return
	}
	last := req.Deadline.Add(-req.ExpectedDuration)
	for _, r := range ranks {
		if bound := now.Add(r.MaxWait); r.Name == req.Rank && bound.Before(last) {
			last = bound
		}
	}
	p.queue = append(p.queue, waiting{id, last})
}

func (p *fifoPolicy) next(now time.Time) (int, bool) {
	for p.running < p.slots && len(p.queue) > 0 {
		w := p.queue[0]
		p.queue = p.queue[1:]
		if now.After(w.last) {
			continue
		}
		p.running++
		return w.id, true
	}
	return 0, false
}

func (*fifoPolicy) expire(time.Time) {}

func (p *fifoPolicy) done(time.Time, int, float64) { p.running-- }
