package feed_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/feed"
)

// silent is the answer of a host that does not answer.
const silent = -1

// newQuestion asks hosts that answer at once with news of the given ages in
// milliseconds, in this order.
func newQuestion(clock clockwork.Clock, ages map[string]int64, order ...string) feed.PeerQuery {
	return feed.PeerQuery{Hosts: order, Clock: clock, Call: func(ctx context.Context, host string) (feed.Update, error) {
		age, ok := ages[host]
		switch {
		case !ok:
			return feed.Update{}, errors.Newf("%s refuses", host)
		case age == silent:
			<-ctx.Done()
			return feed.Update{}, ctx.Err()
		}
		return feed.Update{AgeMS: age}, nil
	}}
}

// TestQuestionPassesOverHostsWithoutTheService guards against a host that takes
// the old state of one that the service no longer answers, while others know
// more: changes then came in force after their bound.
func TestQuestionPassesOverHostsWithoutTheService(t *testing.T) {
	q := newQuestion(clockwork.NewRealClock(), map[string]int64{"old": 1900, "young": 700}, "gone", "old", "young")
	n, err := q.Fetch(t.Context())
	if err != nil || n.AgeMS != 700 {
		t.Errorf("news of age %d ms, %v; want the young host's", n.AgeMS, err)
	}
}

// TestQuestionTakesTheYoungestOfOldAnswers guards against no news at all when
// the service answers no host.
func TestQuestionTakesTheYoungestOfOldAnswers(t *testing.T) {
	q := newQuestion(clockwork.NewRealClock(), map[string]int64{"a": 2500, "b": 1900, "c": 2100}, "a", "b", "c", "gone")
	n, err := q.Fetch(t.Context())
	if err != nil || n.AgeMS != 1900 {
		t.Errorf("news of age %d ms, %v; want the youngest", n.AgeMS, err)
	}
}

// TestQuestionHedges guards against a silent host that holds up the news until
// its call times out.
func TestQuestionHedges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := newQuestion(clock, map[string]int64{"silent": silent, "young": 700}, "silent", "young")
	got := make(chan int64)
	go func() {
		n, err := q.Fetch(t.Context())
		if err != nil {
			t.Error(err)
		}
		got <- n.AgeMS
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(200 * time.Millisecond)
	if age := <-got; age != 700 {
		t.Errorf("news of age %d ms; want the young host's", age)
	}
}

// TestQuestionWithoutHosts guards against waiting where nobody can be asked.
func TestQuestionWithoutHosts(t *testing.T) {
	if _, err := newQuestion(clockwork.NewRealClock(), nil).Fetch(t.Context()); !errors.Is(err, feed.ErrNoHost) {
		t.Errorf("error %v; want ErrNoHost", err)
	}
}
