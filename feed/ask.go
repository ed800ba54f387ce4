package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// hedgeDelay is the time without an answer after which the next host is asked
	// as well.
	hedgeDelay = 150 * time.Millisecond
	// youngAge is the age up to which an answer is taken without asking further.
	// Hosts that the service answers usually know its state to within 1.5 s.
	youngAge = 1600 * time.Millisecond
)

// ErrNoHost reports that there is no host to ask.
var ErrNoHost = errors.New("feed: no host to ask")

// PeerQuery asks several hosts for news. A host that does not answer, or that the
// service does not answer itself, delays the news by little.
type PeerQuery struct {
	// Hosts are the addresses to ask, in this order.
	Hosts []string
	// Call asks one host.
	Call  func(ctx context.Context, host string) (Update, error)
	Clock clockwork.Clock
}

type reply struct {
	news Update
	err  error
}

// Fetch returns the first young answer, or else the youngest one.
func (q PeerQuery) Fetch(ctx context.Context) (Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the calls that are still under way
	replies := make(chan reply, len(q.Hosts))
	best := reply{err: ErrNoHost}
	asked, pending := 0, 0
	for {
		if asked < len(q.Hosts) {
			host := q.Hosts[asked]
			asked++
			pending++
			go func() {
				n, err := q.Call(ctx, host)
				replies <- reply{n, err}
			}()
		}
		if pending == 0 {
			return best.news, best.err
		}
		var hedge <-chan time.Time
		if asked < len(q.Hosts) {
			hedge = q.Clock.After(hedgeDelay)
		}
		select {
		case <-ctx.Done():
			return best.news, errors.CombineErrors(best.err, ctx.Err())
		case <-hedge:
		case r := <-replies:
			pending--
			if r.err == nil && r.news.age() <= youngAge {
				return r.news, nil
			}
			best = younger(best, r)
		}
	}
}

// younger returns the better of two replies.
func younger(a, b reply) reply {
	switch {
	case b.err != nil && a.err == nil, a.err == nil && a.news.AgeMS <= b.news.AgeMS:
		return a
	}
	return b
}

// age returns how long before the answer the state was known to be current.
func (n Update) age() time.Duration { return time.Duration(n.AgeMS) * time.Millisecond }
