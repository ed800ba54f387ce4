package feed_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/feed"
)

// silent stands for the age of a host that never answers.
const silent = -1

// newQuery returns a query of the hosts in order. They answer at once with updates
// of the given ages in milliseconds; hosts without an age return an error.
func newQuery(clock clockwork.Clock, ages map[string]int64, order ...string) feed.PeerQuery {
	return feed.PeerQuery{Hosts: order, Timing: feed.NewTiming(2 * time.Second), Clock: clock, Call: func(ctx context.Context, host string) (feed.Update, error) {
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

// TestPeerQuerySkipsHostsWithoutStore guards against a host that accepts the stale
// state of a host that the store no longer answers, while others have a fresh one:
// changes then took effect after their time limit.
func TestPeerQuerySkipsHostsWithoutStore(t *testing.T) {
	q := newQuery(clockwork.NewRealClock(), map[string]int64{"stale": 1400, "fresh": 700}, "gone", "stale", "fresh")
	u, err := q.Fetch(t.Context())
	if err != nil || u.AgeMS != 700 {
		t.Errorf("update of age %d ms, error %v; want 700 ms, of the fresh host", u.AgeMS, err)
	}
}

// TestPeerQueryReturnsFreshestStaleAnswer guards against a query without a result
// when the store answers no host.
func TestPeerQueryReturnsFreshestStaleAnswer(t *testing.T) {
	q := newQuery(clockwork.NewRealClock(), map[string]int64{"a": 2500, "b": 1900, "c": 2100}, "a", "b", "c", "gone")
	u, err := q.Fetch(t.Context())
	if err != nil || u.AgeMS != 1900 {
		t.Errorf("update of age %d ms, error %v; want 1900 ms, the freshest", u.AgeMS, err)
	}
}

// TestPeerQueryHedges guards against a host that does not answer and delays the
// update until its call times out.
func TestPeerQueryHedges(t *testing.T) {
	clock := clockwork.NewFakeClock()
	q := newQuery(clock, map[string]int64{"silent": silent, "fresh": 700}, "silent", "fresh")
	got := make(chan int64)
	go func() {
		u, err := q.Fetch(t.Context())
		if err != nil {
			t.Error(err)
		}
		got <- u.AgeMS
	}()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(100 * time.Millisecond)
	if age := <-got; age != 700 {
		t.Errorf("update of age %d ms; want 700 ms, of the fresh host", age)
	}
}

// TestPeerQueryWithoutHosts guards against a query that waits although there is no
// host to query.
func TestPeerQueryWithoutHosts(t *testing.T) {
	if _, err := newQuery(clockwork.NewRealClock(), nil).Fetch(t.Context()); !errors.Is(err, feed.ErrNoHost) {
		t.Errorf("error %v; want ErrNoHost", err)
	}
}
