package admission

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// Queue is the blocking interface over a Core. It is safe for concurrent use
// and runs no goroutine of its own.
type Queue struct {
	clock clockwork.Clock

	mu      sync.Mutex
	core    *Core
	waiters map[Ticket]chan result
	timer   clockwork.Timer
	timerAt time.Time
	closed  bool

	host        string
	incarnation int64
	sequence    uint64
}

// result ends the wait of one request.
type result struct {
	admitted Admitted
	refused  *RejectedError
}

// New returns a queue without ranks, teams or capacity. The host and its
// incarnation name this queue in usage reports.
func New(clock clockwork.Clock, limits Limits, host string, incarnation int64) *Queue {
	return &Queue{
		clock: clock, core: NewCore(limits), waiters: map[Ticket]chan result{},
		host: host, incarnation: incarnation,
	}
}

// Grant is the right to run one request. It must be released.
type Grant struct {
	// Waited is the time the request spent in the queue.
	Waited time.Duration

	queue  *Queue
	ticket Ticket
	once   sync.Once
}

// Release frees the slot and corrects the charge of the team to the actual
// cost. Only the first call has an effect.
func (g *Grant) Release(actualCost float64) {
	g.once.Do(func() { g.queue.release(g.ticket, actualCost) })
}

// Acquire waits until the request may run. Every error is a *RejectedError, and the
// request certainly did not run.
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
	if res.refused != nil {
		return nil, res.refused
	}
	return &Grant{Waited: res.admitted.Waited, queue: q, ticket: res.admitted.Ticket}, nil
}

func (q *Queue) enqueue(req Request) (Ticket, <-chan result, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		return 0, nil, q.core.refuse(req, ErrClosed)
	}
	ticket, drops, err := q.core.Enqueue(q.clock.Now(), req)
	if err != nil {
		return 0, nil, err
	}
	done := make(chan result, 1)
	q.waiters[ticket] = done
	q.deliver(drops)
	q.pump()
	return ticket, done, nil
}

// abandon takes back a request whose caller stopped waiting. A grant that was
// already made is returned at no cost.
func (q *Queue) abandon(ticket Ticket, done <-chan result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiters, ticket)
	if q.core.Cancel(ticket) {
		q.pump()
		return
	}
	res := <-done // buffered: the result was sent when the request stopped waiting
	if res.refused == nil {
		q.core.Done(q.clock.Now(), ticket, 0)
		q.pump()
	}
}

func (q *Queue) release(ticket Ticket, actualCost float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.Done(q.clock.Now(), ticket, actualCost)
	q.pump()
}

// pump admits and expires what is due. The lock is held.
func (q *Queue) pump() {
	now := q.clock.Now()
	q.deliver(q.core.Expire(now))
	for a, ok := q.core.AdmitNext(now); ok; a, ok = q.core.AdmitNext(now) {
		q.send(a.Ticket, result{admitted: a})
	}
	q.deliver(q.core.Expire(now))
	q.arm(now)
}

func (q *Queue) deliver(drops []Drop) {
	for _, d := range drops {
		q.send(d.Ticket, result{refused: d.Err})
	}
}

func (q *Queue) send(ticket Ticket, res result) {
	if done, ok := q.waiters[ticket]; ok {
		delete(q.waiters, ticket)
		done <- res
	}
}

// arm sets the timer for the next expiry. A timer that fires early does no
// harm, so it is only set anew when the next expiry comes sooner.
func (q *Queue) arm(now time.Time) {
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
	q.timer = q.clock.AfterFunc(max(0, at.Sub(now)), q.expire)
}

func (q *Queue) expire() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.timerAt = time.Time{}
	q.pump()
}

// SetCapacity sets the number of requests that may run at once.
func (q *Queue) SetCapacity(slots float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.core.SetCapacity(slots)
	q.pump()
}

// ApplyConfig replaces the ranks and teams; see Core.ApplyConfig.
func (q *Queue) ApplyConfig(ranks []Rank, teams []Team) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	drops, err := q.core.ApplyConfig(ranks, teams)
	if err != nil {
		return err
	}
	q.deliver(drops)
	q.pump()
	return nil
}

// Stats describes the queue.
func (q *Queue) Stats() Stats {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.core.Stats()
}

// Usage reports the use of this host for the others.
func (q *Queue) Usage() Usage {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sequence++
	u := q.core.Usage()
	u.Host, u.Incarnation, u.Sequence = q.host, q.incarnation, q.sequence
	return u
}

// ObservePeerUsage takes the report of another host into account. A report of
// this host itself is ignored.
func (q *Queue) ObservePeerUsage(u Usage) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if u.Host == q.host {
		return nil
	}
	return q.core.ObservePeerUsage(q.clock.Now(), u)
}

// Close refuses all waiting and new requests. Grants already made stay valid.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	if q.timer != nil {
		q.timer.Stop()
	}
	for _, w := range q.core.sortedWaiting() {
		q.deliver([]Drop{q.core.drop(w, ErrClosed)})
	}
}
