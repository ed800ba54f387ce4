package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Queue wraps a Core with a lock, an expiry timer and blocking calls. It is safe
// for concurrent use and starts no goroutines.
type Queue struct {
	clock clockwork.Clock

	mu      sync.Mutex
	core    *Core
	waiters map[Ticket]chan result // callers blocked in Acquire
	timer   clockwork.Timer
	timerAt time.Time // when timer fires, zero if it is not set
	closed  bool

	host        string
	incarnation int64
	sequence    uint64
}

// result is sent to a waiting caller when its request is admitted or dropped.
type result struct {
	admitted Admitted
	rejected *RejectedError
}

// New returns a queue without ranks, teams or capacity. The host and its
// incarnation identify this queue in usage reports.
func New(clock clockwork.Clock, limits Limits, host string, incarnation int64) *Queue {
	return &Queue{
		clock: clock, core: NewCore(limits), waiters: map[Ticket]chan result{},
		host: host, incarnation: incarnation,
	}
}

// Grant is a slot held by an admitted request. It must be released.
type Grant struct {
	// Waited is the queueing time of the request.
	Waited time.Duration

	queue  *Queue
	ticket Ticket
	once   sync.Once
}

// Release frees the slot and corrects the charge to the team to the actual cost.
// Only the first call has an effect.
func (g *Grant) Release(actualCost float64) {
	g.once.Do(func() { g.queue.release(g.ticket, actualCost) })
}

// Acquire waits until the request may run. Every error is a *RejectedError and
// guarantees that the request did not run.
func (q *Queue) Acquire(ctx context.Context, req Request) (*Grant, error) {
	ticket, done, err := q.enqueue(req)
	if err != nil {
		return nil, err
	}
	select {
	case res := <-done:
		return q.grant(res)
	case <-ctx.Done():
		q.abandon(ticket, done)
		return nil, &RejectedError{Cause: ErrCancelled, Rank: req.Rank, Team: req.Team}
	}
}

func (q *Queue) grant(res result) (*Grant, error) {
	if res.rejected != nil {
		return nil, res.rejected
	}
	return &Grant{Waited: res.admitted.Waited, queue: q, ticket: res.admitted.Ticket}, nil
}

func (q *Queue) enqueue(req Request) (Ticket, <-chan result, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0, nil, q.core.reject(req, ErrClosed)
	}
	ticket, drops, err := q.core.Enqueue(q.clock.Now(), req)
	if err != nil {
		return 0, nil, err
	}
	done := make(chan result, 1)
	q.waiters[ticket] = done
	q.deliverDrops(drops)
	q.admitAndExpire()
	return ticket, done, nil
}

// abandon removes a request whose caller stopped waiting. If the request was
// admitted in the meantime, its slot is freed at no cost.
func (q *Queue) abandon(ticket Ticket, done <-chan result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, ticket)
	if q.core.Cancel(ticket) {
		q.admitAndExpire()
		return
	}
	res := <-done // does not block: the result was sent when the request left the queue
	if res.rejected == nil {
		q.core.Done(q.clock.Now(), ticket, 0)
		q.admitAndExpire()
	}
}

func (q *Queue) release(ticket Ticket, actualCost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Done(q.clock.Now(), ticket, actualCost)
	q.admitAndExpire()
}

// admitAndExpire drops expired requests, admits as many as there are free slots
// and sets the timer. The caller holds q.mu.
func (q *Queue) admitAndExpire() {
	now := q.clock.Now()
	q.deliverDrops(q.core.Expire(now))
	for a, ok := q.core.AdmitNext(now); ok; a, ok = q.core.AdmitNext(now) {
		q.deliverResult(a.Ticket, result{admitted: a})
	}
	q.deliverDrops(q.core.Expire(now))
	q.armTimer(now)
}

func (q *Queue) deliverDrops(drops []Drop) {
	for _, d := range drops {
		q.deliverResult(d.Ticket, result{rejected: d.Err})
	}
}

func (q *Queue) deliverResult(ticket Ticket, res result) {
	if done, ok := q.waiters[ticket]; ok {
		delete(q.waiters, ticket)
		done <- res
	}
}

// armTimer sets the timer for the next expiry. A timer that fires early is
// harmless, so it is reset only when the next expiry is earlier.
func (q *Queue) armTimer(now time.Time) {
	at, ok := q.core.NextExpiry()
	if !ok || q.closed {
		return
	}
	if !q.timerAt.IsZero() && !at.Before(q.timerAt) {
		return
	}
	if q.timer != nil {
		q.timer.Stop()
	}
	q.timerAt = at
	q.timer = q.clock.AfterFunc(max(0, at.Sub(now)), q.onTimer)
}

func (q *Queue) onTimer() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timerAt = time.Time{}
	q.admitAndExpire()
}

// SetCapacity sets the number of requests that may run at once.
func (q *Queue) SetCapacity(slots float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.SetCapacity(slots)
	q.admitAndExpire()
}

// ApplyConfig replaces the ranks and teams; see Core.ApplyConfig.
func (q *Queue) ApplyConfig(ranks []Rank, teams []Team) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	drops, err := q.core.ApplyConfig(ranks, teams)
	if err != nil {
		return err
	}
	q.deliverDrops(drops)
	q.admitAndExpire()
	return nil
}

// Stats returns a snapshot of the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Stats()
}

// Usage returns the next usage report of this host for its peers.
func (q *Queue) Usage() Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	u := q.core.Usage()
	u.Host, u.Incarnation, u.Sequence = q.host, q.incarnation, q.sequence
	return u
}

// ObservePeerUsage applies the usage report of a peer. Reports of this host are
// ignored.
func (q *Queue) ObservePeerUsage(u Usage) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u.Host == q.host {
		return nil
	}
	return q.core.ObservePeerUsage(q.clock.Now(), u)
}

// Close rejects all waiting and new requests. Existing grants stay valid.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.timer != nil {
		q.timer.Stop()
	}
	for _, w := range q.core.sortedWaiting() {
		q.deliverDrops([]Drop{q.core.drop(w, ErrClosed)})
	}
}
