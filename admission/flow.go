package admission

import (
	"container/heap"
	"time"
)

// waiter is one request, waiting or running.
type waiter struct {
	ticket     Ticket
	request    Request
	flow       *flow
	enqueued   time.Time
	lastStart  time.Time // zero: no bound
	lastCause  error     // why the request is dropped after lastStart
	prev, next *waiter
	expiry     int // index in the expiry heap, -1 when absent
}

// expired reports whether the request can no longer start in time.
func (w *waiter) expired(now time.Time) bool {
	return !w.lastStart.IsZero() && now.After(w.lastStart)
}

// team is what all flows of one team share.
type team struct {
	name   string
	weight float64
	work   float64
	count  int
}

// flow is the queue of one team within one rank.
type flow struct {
	team       *team
	rank       *rankState
	head, tail *waiter
	count      int
	work       float64
	virtual    float64 // service received here and at peers, divided by weight
	served     float64 // cumulative cost admitted here, as reported to peers
	index      int     // index in the rank's heap, -1 when idle
}

// push appends w.
func (f *flow) push(w *waiter) {
	w.prev = f.tail
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	f.count++
	f.work += w.request.Cost
	f.team.count++
	f.team.work += w.request.Cost
}

// remove unlinks w.
func (f *flow) remove(w *waiter) {
	if w.prev == nil {
		f.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		f.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.prev, w.next = nil, nil
	f.count--
	f.work -= w.request.Cost
	f.team.count--
	f.team.work -= w.request.Cost
	// Sums of floats drift; an empty queue holds exactly no work.
	if f.count == 0 {
		f.work = 0
	}
	if f.team.count == 0 {
		f.team.work = 0
	}
}

// charge adds cost to the service the flow has received.
func (f *flow) charge(cost float64) {
	f.virtual += cost / f.team.weight
	if f.index >= 0 {
		heap.Fix(&f.rank.active, f.index)
	}
}

// flowHeap orders the flows with waiting requests by the service received.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return h[i].head.ticket < h[j].head.ticket
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}

// expiryHeap orders waiting requests by the last moment they may start.
type expiryHeap []*waiter

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].lastStart.Before(h[j].lastStart) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiry, h[j].expiry = i, j
}
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.expiry = len(*h)
	*h = append(*h, w)
}
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.expiry = -1
	return w
}

// rankState is one rank with its flows.
type rankState struct {
	Rank
	flows    map[string]*flow
	active   flowHeap
	virtual  float64 // virtual time: service of the flow admitted last
	inFlight int
	waiting  int
	work     float64
	admitted uint64
	dropped  uint64
	// peerDemand is the number of slots fresh peers could use for the rank.
	peerDemand float64
}

// insert makes w wait in f. A flow that was idle starts at the virtual time,
// so an unused share is neither saved up nor owed.
func (r *rankState) insert(f *flow, w *waiter) {
	f.push(w)
	r.waiting++
	r.work += w.request.Cost
	if f.index < 0 {
		f.virtual = max(f.virtual, r.virtual)
		heap.Push(&r.active, f)
	}
}

// remove takes w out of its flow.
func (r *rankState) remove(w *waiter) {
	f := w.flow
	f.remove(w)
	r.waiting--
	r.work -= w.request.Cost
	if r.waiting == 0 {
		r.work = 0
	}
	if f.count == 0 {
		heap.Remove(&r.active, f.index)
		return
	}
	heap.Fix(&r.active, f.index)
}
