package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ErrNoHost reports that there is no host to query.
var ErrNoHost = errors.New("feed: no host to query")

// PeerQuery gets an update from one of several hosts, with hedging. A host that does
// not answer, or that gets no answers from the store itself, adds little delay.
type PeerQuery struct {
	// Hosts are the addresses to query, in this order.
	Hosts []string
	// Call queries one host.
	Call   func(ctx context.Context, host string) (Update, error)
	Timing Timing
	Clock  clockwork.Clock
}

type reply struct {
	update Update
	err    error
}

// Fetch returns the first answer that is at most Timing.FreshAge old, or else the
// freshest one until ctx ends.
func (q PeerQuery) Fetch(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the calls that are still in flight
	replies := make(chan reply, len(q.Hosts))
	best := reply{err: ErrNoHost}
	sent, inFlight := 0, 0
	for {
		if sent < len(q.Hosts) {
			host := q.Hosts[sent]
			sent++
			inFlight++
			go func() {
				u, err := q.Call(ctx, host)
				u.From = host
				replies <- reply{u, err}
			}()
		}
		if inFlight == 0 {
			return best.update, best.err
		}
		var hedge <-chan time.Time
		if sent < len(q.Hosts) {
			hedge = q.Clock.After(q.Timing.Hedge)
		}
		select {
		case <-ctx.Done():
			if best.err == nil {
				return best.update, nil
			}
			return best.update, errors.CombineErrors(best.err, ctx.Err())
		case <-hedge:
		case r := <-replies:
			inFlight--
			if r.err == nil && r.update.age() <= q.Timing.FreshAge {
				return r.update, nil
			}
			best = fresher(best, r)
		}
	}
}

// fresher returns the reply with the lower age. A successful reply is preferred to
// an error.
func fresher(a, b reply) reply {
	switch {
	case b.err != nil && a.err == nil, a.err == nil && a.update.AgeMS <= b.update.AgeMS:
		return a
	}
	return b
}

// age returns the age of the state at the time of the answer.
func (u Update) age() time.Duration { return time.Duration(u.AgeMS) * time.Millisecond }
