package feed_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// fleetStore is a store with one key, which rejects the calls of some hosts.
type fleetStore struct {
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	calls    int
	// rejects reports whether the calls of a host fail, and silent whether they get no answer.
	rejects, silent func(host int) bool
}

func (s *fleetStore) call(host int) (revision int64, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.rejects(host) {
		return 0, nil, errors.New("status 503")
	}
	return s.revision, s.changed, nil
}

func (s *fleetStore) current() (revision int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed
}

func (s *fleetStore) change() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// isSilent reports whether the store does not answer a host.
func (s *fleetStore) isSilent(host int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent(host)
}

// setSilent replaces the condition for calls without an answer, also for calls that wait.
func (s *fleetStore) setSilent(silent func(host int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// setRejects replaces the condition for rejection.
func (s *fleetStore) setRejects(rejects func(host int) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = rejects
}

// takeCalls returns the number of calls since the last time.
func (s *fleetStore) takeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.calls
	s.calls = 0
	return n
}

// storeOf is the store as one host sees it.
type storeOf struct {
	*fleetStore
	host int
}

const networkDelay = 2 * time.Millisecond

func (s storeOf) List(context.Context, string) ([]kv.Entry, int64, error) {
	time.Sleep(networkDelay)
	revision, _, err := s.call(s.host)
	return []kv.Entry{{Key: "config", Revision: revision}}, revision, err
}

func (s storeOf) Changes(ctx context.Context, _ string, after int64, wait time.Duration) ([]kv.Event, int64, error) {
	time.Sleep(networkDelay)
	revision, changed, err := s.call(s.host)
	if err != nil {
		return nil, 0, err
	}
	if revision <= after {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		case <-changed:
		}
	}
	if s.isSilent(s.host) {
		<-ctx.Done()
	}
	if ctx.Err() != nil {
		return nil, 0, ctx.Err()
	}
	if revision, _ = s.current(); revision == after {
		return nil, revision, nil
	}
	return []kv.Event{{Entry: kv.Entry{Key: "config", Revision: revision}}}, revision, nil
}

func (s storeOf) Commit(context.Context, []kv.Write) (int64, error) { return 0, kv.ErrUnavailable }

// fleet is a number of followers that reach each other.
type fleet struct {
	store *fleetStore
	hosts []*feed.Follower
	// isolated is the number of the host that reaches no other host; negative for none.
	isolated atomic.Int64
	// silent is the number of the host whose calls to others, and theirs to it, get no answer;
	// negative for none.
	silent atomic.Int64
	// calls is the number of calls between hosts.
	calls atomic.Int64
}

func (f *fleet) cut(host int) bool { return int64(host) == f.isolated.Load() }

const (
	testReaders  = 3
	testLimit    = 2 * time.Second
	testWait     = 1200 * time.Millisecond
	testPeerWait = 700 * time.Millisecond
	// peerTimeout bounds a call between hosts, beyond the time for which it may wait.
	peerTimeout = 800 * time.Millisecond
)

// discardSink ignores the state.
type discardSink struct{}

func (discardSink) Reset(feed.Listing)                {}
func (discardSink) Apply([]kv.Event, bool)            {}
func (discardSink) Relevant(kv.Event, *kv.Entry) bool { return true }
func (discardSink) Tick()                             {}

// runFleet starts hosts of which the first three follow the store, and runs test in
// virtual time once all have a state.
func runFleet(t *testing.T, hosts int, test func(t *testing.T, f *fleet)) {
	runFleetWithin(t, hosts, testLimit, test)
}

// runFleetWithin is runFleet with a given time in which changes are to reach all hosts.
func runFleetWithin(t *testing.T, hosts int, limit time.Duration, test func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: &fleetStore{revision: 1, changed: make(chan struct{}), rejects: none, silent: none}}
		f.isolated.Store(-1)
		f.silent.Store(-1)
		began := time.Now()
		for i := range hosts {
			f.hosts = append(f.hosts, feed.New(f.options(i, hosts, began, limit)))
		}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, h := range f.hosts {
			wg.Go(func() { _ = h.Run(ctx) })
		}
		for _, h := range f.hosts {
			<-h.Ready()
		}
		test(t, f)
		cancel()
		wg.Wait()
		time.Sleep(testPeerWait + peerTimeout) // for the calls of announcements
	})
}

func none(int) bool { return false }

func (f *fleet) options(i, hosts int, began time.Time, limit time.Duration) feed.Options {
	timing := feed.NewTiming(limit)
	rng := rand.New(rand.NewPCG(uint64(i), 1))
	o := feed.Options{
		Source: storeOf{f.store, i}, Sink: discardSink{}, Timing: func() feed.Timing { return timing }, CallTimeout: time.Second,
		SettleTime: time.Second, Clock: clockwork.NewRealClock(),
		Boottime: func() boottime.Instant { return boottime.Instant(time.Hour + time.Since(began)) },
		Rand:     rng, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Direct:   func() bool { return i < testReaders },
		PeerWait: testPeerWait, PeerPause: 100 * time.Millisecond, PeerFetchInterval: 300 * time.Millisecond,
		ProbeInterval: func() time.Duration { return time.Duration(hosts) * time.Second / 4 },
		ProbeRank:     func() int { return i - testReaders },
	}
	var mu sync.Mutex // guards order
	order := rand.New(rand.NewPCG(uint64(i), 2))
	o.FetchFrom = func(ctx context.Context, host string, after int64, wait time.Duration) (feed.Update, error) {
		return f.query(ctx, i, host, feed.Query{After: after, WaitMS: wait.Milliseconds()})
	}
	o.QueryPeers = func(ctx context.Context, after int64) (feed.Update, error) {
		mu.Lock()
		targets := append(order.Perm(testReaders), order.IntN(hosts))
		mu.Unlock()
		q := feed.PeerQuery{Timing: timing, Clock: o.Clock, Call: func(ctx context.Context, host string) (feed.Update, error) {
			return f.query(ctx, i, host, feed.Query{After: after})
		}}
		for _, n := range targets {
			if n != i {
				q.Hosts = append(q.Hosts, strconv.Itoa(n))
			}
		}
		return q.Fetch(ctx)
	}
	o.Announce = func() {
		for n, h := range f.hosts {
			if n != i && !f.cut(i) && !f.cut(n) {
				go h.Announced(context.Background(), strconv.Itoa(i))
			}
		}
	}
	return o
}

func (f *fleet) query(ctx context.Context, from int, host string, q feed.Query) (feed.Update, error) {
	n, err := strconv.Atoi(host)
	if err != nil || f.cut(from) || f.cut(n) {
		return feed.Update{}, errors.New("unreachable")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(q.WaitMS)*time.Millisecond+peerTimeout)
	defer cancel()
	f.calls.Add(1)
	time.Sleep(networkDelay)
	u, err := f.hosts[n].Answer(ctx, q)
	if silent := f.silent.Load(); silent == int64(from) || silent == int64(n) {
		<-ctx.Done()
	}
	return u, errors.CombineErrors(err, ctx.Err())
}

// oldest returns the highest age of the state of a host, and that host.
func (f *fleet) oldest() (time.Duration, int) {
	var ages []time.Duration
	for _, h := range f.hosts {
		age, _ := h.Age()
		ages = append(ages, age)
	}
	highest := slices.Max(ages)
	return highest, slices.Index(ages, highest)
}

// await waits until all hosts know a revision and returns how long that took.
func (f *fleet) await(t *testing.T, revision int64, limit time.Duration) time.Duration {
	t.Helper()
	return f.awaitAt(t, revision, limit, func(int) bool { return true })
}

// awaitAt is await for the hosts that of selects.
func (f *fleet) awaitAt(t *testing.T, revision int64, limit time.Duration, of func(host int) bool) time.Duration {
	t.Helper()
	for waited := time.Duration(0); ; waited += 10 * time.Millisecond {
		host := -1
		behind := slices.IndexFunc(f.hosts, func(h *feed.Follower) bool {
			if host++; !of(host) {
				return false
			}
			u, err := h.Answer(context.Background(), feed.Query{After: revision})
			return err != nil || u.Revision < revision
		})
		if behind < 0 {
			return waited
		}
		if waited > limit {
			t.Fatalf("host %d does not know revision %d after %v", behind, revision, waited)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestFleetFollowsStoreCheaply guards against calls to the store that grow with the
// number of hosts, at a start and while nothing changes, and against changes that
// reach some hosts late.
func TestFleetFollowsStoreCheaply(t *testing.T) {
	for _, hosts := range []int{7, 300} {
		runFleet(t, hosts, func(t *testing.T, f *fleet) {
			if n := f.store.takeCalls(); n > 3*testReaders {
				t.Errorf("%d hosts: %d calls at the start, want few of the %d readers", hosts, n, testReaders)
			}
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				if age, host := f.oldest(); age > testWait+100*time.Millisecond {
					t.Fatalf("%d hosts: state of host %d is %v old", hosts, host, age)
				}
			}
			if n := f.store.takeCalls(); n > 60*testReaders {
				t.Errorf("%d hosts: %d calls in a minute, want at most one a second of each reader", hosts, n)
			}
			for range 5 {
				f.await(t, f.store.change(), 700*time.Millisecond)
				time.Sleep(1300 * time.Millisecond)
			}
		})
	}
}

// TestOutageDoesNotMultiplyCalls guards against hosts that all call the store again and
// again while it is down, and against hosts that notice its return late.
func TestOutageDoesNotMultiplyCalls(t *testing.T) {
	for _, hosts := range []int{7, 300} {
		runFleet(t, hosts, func(t *testing.T, f *fleet) {
			const outage = 8 * time.Second
			f.store.setRejects(func(int) bool { return true })
			f.store.takeCalls()
			time.Sleep(outage)
			if n := f.store.takeCalls(); n > 15*int(outage/time.Second) {
				t.Errorf("%d hosts: %d calls in an outage of %v, want at most 15 a second", hosts, n, outage)
			}
			f.store.setRejects(func(int) bool { return false })
			took := f.await(t, f.store.change(), time.Second)
			time.Sleep(100 * time.Millisecond)
			if age, host := f.oldest(); age > testWait {
				t.Errorf("%d hosts: state of host %d is %v old, %v after the outage", hosts, host, age, took)
			}
		})
	}
}

// TestReadersWithoutStore guards against a fleet that stays behind because the store
// rejects exactly the hosts that follow it: others find out and tell all.
func TestReadersWithoutStore(t *testing.T) {
	for _, hosts := range []int{7, 300} {
		runFleet(t, hosts, func(t *testing.T, f *fleet) {
			f.store.setRejects(func(host int) bool { return host < testReaders })
			for i := range 4 {
				time.Sleep(2 * time.Second)
				f.await(t, f.store.change(), 3*time.Second)
				if age, host := f.oldest(); age > 4*time.Second {
					t.Errorf("%d hosts, change %d: state of host %d is %v old", hosts, i, host, age)
				}
			}
		})
	}
}

// TestHostWithoutPeersFollowsStore guards against a host that reaches the store but no
// other host, and waits for its turn to call the store.
func TestHostWithoutPeersFollowsStore(t *testing.T) {
	runFleet(t, 300, func(t *testing.T, f *fleet) {
		const lonely = 200
		f.isolated.Store(lonely)
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if age, _ := f.hosts[lonely].Age(); age > 4*time.Second {
				t.Fatalf("its state is %v old", age)
			}
		}
		f.await(t, f.store.change(), 3*time.Second)
	})
}

// TestFailingFollowIsPaced guards against a host that queries others without a pause
// because one answers queries but not the calls of hosts that follow it.
func TestFailingFollowIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const testTime = 10 * time.Second
		f := &fleet{store: &fleetStore{revision: 1, changed: make(chan struct{}), rejects: none, silent: none}}
		o := f.options(testReaders, testReaders+1, time.Now(), testLimit)
		var queries atomic.Int64
		o.QueryPeers = func(context.Context, int64) (feed.Update, error) {
			queries.Add(1)
			return feed.Update{Revision: 1, Full: true, From: "0"}, nil
		}
		o.FetchFrom = func(context.Context, string, int64, time.Duration) (feed.Update, error) {
			return feed.Update{}, errors.New("message too large")
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = feed.New(o).Run(ctx)
		}()
		time.Sleep(testTime)
		cancel()
		<-done
		if n := queries.Load(); n > int64(2*testTime/o.PeerPause) {
			t.Errorf("%d queries in %v, want at most two in each %v", n, testTime, o.PeerPause)
		}
	})
}

// ExampleFollower_Answer shows how a host waits for a change at another host.
func ExampleFollower_Answer() {
	f := feed.New(feed.Options{Boottime: boottime.Now, Timing: func() feed.Timing { return feed.NewTiming(2 * time.Second) }})
	_, err := f.Answer(context.Background(), feed.Query{WaitMS: 1000})
	fmt.Println(errors.Is(err, feed.ErrNoState))
	// Output: true
}
