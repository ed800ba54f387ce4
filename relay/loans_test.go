package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/route"
)

// lenders lends the same number of retries each time that it is asked.
type lenders struct {
	retries int
	asked   atomic.Int64
}

func (l *lenders) Borrow(context.Context, string) int {
	l.asked.Add(1)
	return l.retries
}

// ownRetries is the number of retries of a host in the tests of loans.
const ownRetries = 2

// newLoanRig returns a rig with few retries of its own, whose endpoints break each stream off
// after its first events and resume it, and fail all other requests.
func newLoanRig(t *testing.T, l *lenders) *rig {
	t.Helper()
	stream, plain := streamRoute(true), plainRoute(route.Idempotent, 3)
	plain.Name, plain.Prefix = "plain", "/plain/"
	r := newRigWith(t, func(o *relay.Options) { o.Lenders = l }, stream, plain)
	r.retryBudget = limiter.WindowConfig{Window: time.Minute, ExtraRetries: ownRetries}
	for i := range 2 {
		r.endpoint(fmt.Sprint("e", i), func(w http.ResponseWriter, hr *http.Request) {
			w.Header().Set("X-Id", hr.Header.Get("X-Id"))
			switch {
			case hr.URL.Path != "/p/x":
				dropConnection(w, hr)
			case hr.Header.Get("X-Last-Event") == "":
				events(w, 1, 3, true)
			default:
				events(w, 4, 6, false)
			}
		})
	}
	return r
}

// completeStreams returns how many of n streams are complete.
func (r *rig) completeStreams(n int) int {
	complete := 0
	for range n {
		if _, body, err := r.call("POST", "/p/x"); err == nil && body == eventSeries(1, 6) {
			complete++
		}
	}
	return complete
}

// TestStreamsInProgressUseRetriesOfOtherHosts guards against streams that their host breaks off
// because its own part of the retry budget is used up, while other hosts have theirs left: those
// that served streams for it may all end in one rolling restart.
func TestStreamsInProgressUseRetriesOfOtherHosts(t *testing.T) {
	const streams = 8
	for name, c := range map[string]struct{ lent, complete int }{
		"lent":         {1, streams},
		"nothing left": {0, ownRetries},
	} {
		t.Run(name, func(t *testing.T) {
			l := &lenders{retries: c.lent}
			r := newLoanRig(t, l)
			if got := r.completeStreams(streams); got != c.complete {
				t.Errorf("%d of %d streams are complete, want %d", got, streams, c.complete)
			}
			if asked := l.asked.Load(); c.lent == 0 && asked > 2 {
				t.Errorf("the other hosts were asked %d times although they had nothing to lend, want at most twice", asked)
			}
		})
	}
}

// TestRequestsWithoutAnAnswerBorrowNothing guards against a host that uses up the retries of all
// hosts for requests whose callers can be told to come back.
func TestRequestsWithoutAnAnswerBorrowNothing(t *testing.T) {
	l := &lenders{retries: 1}
	r := newLoanRig(t, l)
	for range ownRetries + 3 {
		if resp, _, err := r.call("POST", "/plain/x"); err != nil || resp.StatusCode != http.StatusBadGateway {
			t.Fatalf("got %v, %v; want status 502", resp, err)
		}
	}
	if asked := l.asked.Load(); asked != 0 {
		t.Errorf("the other hosts were asked %d times, want none", asked)
	}
}
