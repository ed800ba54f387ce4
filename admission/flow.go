package admission

import (
	"container/heap"
	"time"
)

// waiter is a request that waits or, after admission, runs.
type waiter struct {
	ticket      Ticket
	request     Request
	flow        *flow
	enqueued    time.Time
	latestStart time.Time // zero if unbounded
	expiryCause error     // cause with which the request is dropped after latestStart
	prev, next  *waiter
	expiryIndex int // index in Core.expiry, -1 if absent
}

// expired reports whether the request can no longer start in time.
func (w *waiter) expired(now time.Time) bool {
	return !w.latestStart.IsZero() && now.After(w.latestStart)
}

// team is the state shared by all flows of one team.
type team struct {
	name        string
	weight      float64
	waitingCost float64
	waiting     int
}

// flow is the FIFO queue of one team within one rank.
type flow struct {
	team              *team
	rank              *rankState
	head, tail        *waiter
	waiting           int
	waitingCost       float64
	normalizedService float64 // cost admitted here and at peers, divided by weight
	servedCost        float64 // cumulative cost admitted here, as reported to peers
	heapIndex         int     // index in rank.active, -1 if nothing waits
}

// push appends w to the flow.
func (f *flow) push(w *waiter) {
	w.prev = f.tail
	if f.tail == nil {
		f.head = w
	} else {
		f.tail.next = w
	}
	f.tail = w
	f.waiting++
	f.waitingCost += w.request.Cost
	f.team.waiting++
	f.team.waitingCost += w.request.Cost
}

// remove unlinks w from the flow.
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
	f.waiting--
	f.waitingCost -= w.request.Cost
	f.team.waiting--
	f.team.waitingCost -= w.request.Cost
	// Floating-point sums drift, so they are reset when the queue is empty.
	if f.waiting == 0 {
		f.waitingCost = 0
	}
	if f.team.waiting == 0 {
		f.team.waitingCost = 0
	}
}

// charge adds cost to the service that the flow has received.
func (f *flow) charge(cost float64) {
	f.normalizedService += cost / f.team.weight
	if f.heapIndex >= 0 {
		heap.Fix(&f.rank.active, f.heapIndex)
	}
}

// flowHeap orders the flows with waiting requests by service received, then by
// arrival.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	if h[i].normalizedService != h[j].normalizedService {
		return h[i].normalizedService < h[j].normalizedService
	}
	return h[i].head.ticket < h[j].head.ticket
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

// expiryHeap orders waiting requests by their latest start.
type expiryHeap []*waiter

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	w := x.(*waiter)
	w.expiryIndex = len(*h)
	*h = append(*h, w)
}
func (h *expiryHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	w.expiryIndex = -1
	return w
}

// rankState is the state of one rank.
type rankState struct {
	Rank
	flows       map[string]*flow
	active      flowHeap // flows with waiting requests
	virtualTime float64  // normalized service of the flow admitted last
	inFlight    int
	waiting     int
	waitingCost float64
	admitted    uint64
	dropped     uint64
	// peerDemand is the number of slots that peers with valid reports could use
	// for the rank.
	peerDemand float64
}

// insert queues w in f. A flow that was idle starts at the virtual time of the
// rank, so a team gains no credit for a share that it left unused.
func (r *rankState) insert(f *flow, w *waiter) {
	f.push(w)
	r.waiting++
	r.waitingCost += w.request.Cost
	if f.heapIndex < 0 {
		f.normalizedService = max(f.normalizedService, r.virtualTime)
		heap.Push(&r.active, f)
	}
}

// remove unlinks w from its flow and the flow from the heap when it is empty.
func (r *rankState) remove(w *waiter) {
	f := w.flow
	f.remove(w)
	r.waiting--
	r.waitingCost -= w.request.Cost
	if r.waiting == 0 {
		r.waitingCost = 0
	}
	if f.waiting == 0 {
		heap.Remove(&r.active, f.heapIndex)
		return
	}
	heap.Fix(&r.active, f.heapIndex)
}
