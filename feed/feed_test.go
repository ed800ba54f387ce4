package feed_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// source is a store that answers calls with scripted answers, each used once.
type source struct {
	called  chan struct{} // receives each call before it is answered
	answers chan answer
}

func newSource() *source {
	return &source{called: make(chan struct{}), answers: make(chan answer)}
}

// next returns the answer to a call.
func (s *source) next() answer {
	select {
	case s.called <- struct{}{}:
	case a := <-s.answers: // only when the test has ended
		return a
	}
	return <-s.answers
}

type answer struct {
	entries []kv.Entry
	events  []kv.Event
	at      int64
	err     error
}

func (s *source) List(context.Context, string) ([]kv.Entry, int64, error) {
	a := s.next()
	return a.entries, a.at, a.err
}

func (s *source) Changes(_ context.Context, _ string, _ int64, _ time.Duration) ([]kv.Event, int64, error) {
	a := s.next()
	return a.events, a.at, a.err
}

func (s *source) Commit(context.Context, []kv.Write) (int64, error) { return 0, kv.ErrUnavailable }

// sink records the keys that it receives; false marks a deleted key.
type sink struct {
	keys        map[string]bool
	afterOutage []bool
	applied     int // events
	ticks       chan struct{}
}

func (s *sink) Reset(l feed.Listing) {
	s.keys = map[string]bool{}
	for _, e := range l.Entries {
		s.keys[e.Key] = true
	}
	s.afterOutage = append(s.afterOutage, l.AfterOutage)
}

func (s *sink) Apply(events []kv.Event, afterOutage bool) {
	s.applied += len(events)
	for _, e := range events {
		s.keys[e.Entry.Key] = !e.Deleted
	}
	s.afterOutage = append(s.afterOutage, afterOutage)
}

func (s *sink) Relevant(ev kv.Event, _ *kv.Entry) bool { return ev.Entry.Key != "noise" }

func (s *sink) Tick() { s.ticks <- struct{}{} }

// atomicInstant is a clock that a test advances.
type atomicInstant struct{ ns atomic.Int64 }

func (a *atomicInstant) load() boottime.Instant { return boottime.Instant(a.ns.Load()) }
func (a *atomicInstant) add(d time.Duration)    { a.ns.Add(int64(d)) }

type fixture struct {
	*feed.Follower
	source *source
	sink   *sink
	clock  *clockwork.FakeClock
	boot   atomicInstant
}

// staleAfter returns a timing in which a state is stale from an age on.
func staleAfter(age time.Duration) func() feed.Timing {
	return func() feed.Timing {
		return feed.Timing{Wait: time.Second, Pause: time.Second, FreshAge: age, StaleAge: age, QueryTime: age}
	}
}

func start(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{source: newSource(), sink: &sink{ticks: make(chan struct{}, 16)}, clock: clockwork.NewFakeClock()}
	r.Follower = feed.New(feed.Options{
		Source: r.source, Sink: r.sink, Timing: staleAfter(2 * time.Second), CallTimeout: time.Second, SettleTime: 3 * time.Second,
		Clock: r.clock, Boottime: r.boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		close(r.source.answers)
		<-done
	})
	return r
}

// answer answers the follower's next call to the store. It advances the clock until
// the call comes. The call's own timeout may pass before it arrives; the clock then has
// no waiters, so answer must not wait for one.
func (r *fixture) answer(t *testing.T, a answer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		waiting := make(chan struct{})
		go func() {
			defer close(waiting)
			// An error means that the call has come or that the test has failed.
			_ = r.clock.BlockUntilContext(ctx, 1)
		}()
		select {
		case <-r.source.called:
			r.source.answers <- a
			return
		case <-waiting:
			if ctx.Err() != nil {
				t.Fatal("the follower made no call within 10 s")
			}
			r.clock.Advance(100 * time.Millisecond)
		}
	}
}

func entry(key string) kv.Entry { return kv.Entry{Key: key, Revision: 6} }

// TestFollowsListingAndChanges guards against changes that are lost between a
// listing and the first call for changes, and against a state that is not replaced
// after the store has compacted its history.
func TestFollowsListingAndChanges(t *testing.T) {
	r := start(t)
	r.answer(t, answer{entries: []kv.Entry{entry("a")}, at: 5})
	<-r.sink.ticks
	r.answer(t, answer{events: []kv.Event{{Entry: entry("b")}, {Entry: entry("a"), Deleted: true}}, at: 7})
	<-r.sink.ticks
	if diff := cmp.Diff(map[string]bool{"a": false, "b": true}, r.sink.keys); diff != "" {
		t.Error(diff)
	}
	r.answer(t, answer{err: kv.ErrCompacted})
	r.answer(t, answer{entries: []kv.Entry{entry("c")}, at: 9})
	<-r.sink.ticks
	if diff := cmp.Diff(map[string]bool{"c": true}, r.sink.keys); diff != "" {
		t.Error(diff)
	}
}

// TestAgeCountsFromCall guards against a host that takes the state in a late answer
// for current: the store may have produced the answer when the call arrived.
func TestAgeCountsFromCall(t *testing.T) {
	r := start(t)
	if _, ok := r.Age(); ok {
		t.Error("got an age before the first answer")
	}
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.boot.add(4 * time.Second)
	if age, ok := r.Age(); !ok || age != 4*time.Second {
		t.Errorf("got age %v, %v, want 4s, true", age, ok)
	}
}

// TestStoreAnsweredWithinIgnoresRejections guards against a host that becomes
// coordinator although the store rejects its calls, because other hosts confirm its
// state: only answers of the store count.
func TestStoreAnsweredWithinIgnoresRejections(t *testing.T) {
	r := start(t)
	if r.StoreAnsweredWithin(time.Second) {
		t.Error("got true before the first answer")
	}
	r.boot.add(time.Minute)
	r.answer(t, answer{at: 1})
	r.answer(t, answer{err: errors.New("rejected")}) // by now the first answer has been applied
	if !r.StoreAnsweredWithin(time.Second) {
		t.Error("got false right after an answer")
	}
	r.boot.add(2 * time.Second)
	if r.StoreAnsweredWithin(time.Second) {
		t.Error("got true two seconds after the last answer")
	}
}

// TestMarksChangesAfterOutage guards against the removal of endpoints whose
// leases expired only because the store had an outage.
func TestMarksChangesAfterOutage(t *testing.T) {
	r := start(t)
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.boot.add(4 * time.Second)
	r.answer(t, answer{err: errors.New("down")})
	r.answer(t, answer{events: []kv.Event{{Entry: entry("a"), Deleted: true}}, at: 2})
	<-r.sink.ticks
	if got := r.sink.afterOutage; !got[len(got)-1] || got[0] {
		t.Errorf("afterOutage %v, want false first and true last", got)
	}
}

// TestRejectionOfOneHostIsNoOutage guards against requests to an endpoint that has
// left: a host that the store rejects while others confirm its state must not take
// a removal for a lease that expired in an outage.
func TestRejectionOfOneHostIsNoOutage(t *testing.T) {
	r := start(t)
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.answer(t, answer{err: errors.New("rejected")})
	r.answer(t, answer{events: []kv.Event{{Entry: entry("a"), Deleted: true}}, at: 7})
	<-r.sink.ticks
	if got := r.sink.afterOutage; got[len(got)-1] {
		t.Errorf("afterOutage %v, want false last", got)
	}
}

// TestAppliesStateFromPeer guards against a host without access to the store that
// serves with a stale state, and against an age that leaves out the duration of the
// request to the other host.
func TestAppliesStateFromPeer(t *testing.T) {
	boot := &atomicInstant{}
	boot.add(time.Hour)
	queried := make(chan int64, 1)
	answers := make(chan feed.Update)
	clock := clockwork.NewFakeClock()
	s := &sink{ticks: make(chan struct{}, 16)}
	f := feed.New(feed.Options{
		Source: newSource(), Sink: s, Clock: clock, Boottime: boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Timing: staleAfter(time.Second), PeerFetchInterval: time.Second,
		QueryPeers: func(_ context.Context, after int64) (feed.Update, error) {
			queried <- after
			return <-answers, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	if after := <-queried; after != 0 {
		t.Errorf("queried for changes after revision %d, want 0", after)
	}
	boot.add(2 * time.Second) // while the request is in flight
	answers <- feed.Update{Revision: 7, AgeMS: 1000, Full: true, Entries: []kv.Entry{entry("a")}}
	<-f.Ready()
	if age, _ := f.Age(); age != 3*time.Second {
		t.Errorf("age %v, want 3s, the age in the answer plus the duration of the request", age)
	}
	own, err := f.Answer(t.Context(), feed.Query{})
	if err != nil || own.Revision != 7 || len(own.Entries) != 1 {
		t.Errorf("own update %+v, error %v; want revision 7 with one entry", own, err)
	}
	if second, _ := f.Answer(t.Context(), feed.Query{After: 7}); len(second.Entries) != 0 {
		t.Error("a host that is up to date got entries")
	}
}

// TestLateUpdateIsNoOutage guards against requests to an endpoint that has left: a
// host whose update from another host came late must not take a removal for a lease
// that expired in an outage, unless the other host reports an outage.
func TestLateUpdateIsNoOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		boot := &atomicInstant{}
		boot.add(time.Hour)
		clock := clockwork.NewFakeClock()
		s := &sink{ticks: make(chan struct{}, 16)}
		answers := make(chan feed.Update)
		f := feed.New(feed.Options{
			Source: newSource(), Sink: s, Clock: clock, Boottime: boot.load,
			Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			Timing: staleAfter(time.Second), PeerFetchInterval: time.Second,
			QueryPeers: func(context.Context, int64) (feed.Update, error) { return <-answers, nil },
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		for _, u := range []feed.Update{
			{Revision: 7, Full: true, Entries: []kv.Entry{entry("a")}},
			{Revision: 8, Events: []kv.Event{{Entry: kv.Entry{Key: "a", Revision: 8}, Deleted: true}}, AfterOutage: outage},
		} {
			if err := clock.BlockUntilContext(ctx, 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(time.Second)
			answers <- u
			<-s.ticks
			boot.add(5 * time.Second)
		}
		if got := s.afterOutage[len(s.afterOutage)-1]; got != outage {
			t.Errorf("afterOutage %v, want %v as reported by the other host", got, outage)
		}
		cancel()
	}
}

// TestForwardsOnlyRelevantChanges guards against the heartbeats of all endpoints
// being sent to every host, and against a host that misses a change because they
// are left out.
func TestForwardsOnlyRelevantChanges(t *testing.T) {
	r := start(t)
	r.answer(t, answer{entries: []kv.Entry{{Key: "a", Revision: 1}, {Key: "noise", Revision: 2}}, at: 5})
	<-r.sink.ticks
	r.answer(t, answer{events: []kv.Event{{Entry: kv.Entry{Key: "noise", Revision: 6}}, {Entry: kv.Entry{Key: "b", Revision: 7}}}, at: 8})
	<-r.sink.ticks
	full, err := r.Answer(t.Context(), feed.Query{After: 3})
	if err != nil || !full.Full || len(full.Entries) != 2 || full.Revision != 8 {
		t.Errorf("update for a host at revision 3: %+v, error %v; want all entries", full, err)
	}
	changes, err := r.Answer(t.Context(), feed.Query{After: 5})
	if err != nil || changes.Full || len(changes.Events) != 1 || changes.Events[0].Entry.Key != "b" {
		t.Errorf("update for a host at revision 5: %+v, error %v; want the change of b", changes, err)
	}
}

// TestIndirectHostsDoNotCallStore guards against every host of a large fleet calling
// the store, and against a host that stays without updates when the host that it
// follows is gone.
func TestIndirectHostsDoNotCallStore(t *testing.T) {
	boot := &atomicInstant{}
	var queries atomic.Int64
	store := &countingSource{}
	clock := clockwork.NewFakeClock()
	f := feed.New(feed.Options{
		Source: store, Sink: &sink{ticks: make(chan struct{}, 256)}, Clock: clock, Boottime: boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Direct: func() bool { return false }, Timing: staleAfter(2 * time.Second), PeerFetchInterval: time.Second,
		QueryPeers: func(context.Context, int64) (feed.Update, error) {
			if queries.Add(1) > 20 {
				return feed.Update{}, feed.ErrNoState
			}
			return feed.Update{Revision: 1}, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	<-f.Ready()
	first := store.n.Load()
	for queries.Load() < 20 {
		if err := clock.BlockUntilContext(ctx, 2); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
	if n := store.n.Load() - first; n != 0 {
		t.Errorf("%d calls to the store while another host answered, want none", n)
	}
	for store.n.Load() == first {
		boot.add(time.Second)
		if err := clock.BlockUntilContext(ctx, 2); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
}

// countingSource counts calls and answers them without changes.
type countingSource struct{ n atomic.Int64 }

func (s *countingSource) List(context.Context, string) ([]kv.Entry, int64, error) {
	s.n.Add(1)
	return nil, 1, nil
}

func (s *countingSource) Changes(context.Context, string, int64, time.Duration) ([]kv.Event, int64, error) {
	s.n.Add(1)
	return nil, 1, nil
}

func (s *countingSource) Commit(context.Context, []kv.Write) (int64, error) { return 0, nil }

// TestSilentHostDoesNotDelayStore guards against a host whose state becomes stale
// while it waits for a host that does not answer, although the store would answer.
func TestSilentHostDoesNotDelayStore(t *testing.T) {
	boot := &atomicInstant{}
	store := &countingSource{}
	clock := clockwork.NewFakeClock()
	const staleAge = 2 * time.Second
	f := feed.New(feed.Options{
		Source: store, Sink: &sink{ticks: make(chan struct{}, 256)}, Clock: clock, Boottime: boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Direct: func() bool { return false }, Timing: staleAfter(staleAge), PeerFetchInterval: time.Hour,
		QueryPeers: func(ctx context.Context, _ int64) (feed.Update, error) {
			<-ctx.Done()
			return feed.Update{}, ctx.Err()
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	for store.n.Load() == 0 { // the first query of other hosts times out
		if err := clock.BlockUntilContext(ctx, 1); err != nil {
			t.Fatal(err)
		}
		clock.Advance(staleAge)
	}
	<-f.Ready()
	first, started := store.n.Load(), clock.Now()
	for store.n.Load() == first {
		if clock.Since(started) > 2*staleAge {
			t.Fatalf("the store was not called within %v", clock.Since(started))
		}
		waitCtx, stop := context.WithTimeout(ctx, 10*time.Second)
		err := clock.BlockUntilContext(waitCtx, 2)
		stop()
		if err != nil {
			t.Fatal("the follower waits for the silent host without a time limit")
		}
		boot.add(staleAge / 4)
		clock.Advance(staleAge / 4)
	}
}

// TestSendsOnlyNewestVersion guards against a burst of configurations of which every
// version is sent to every host and decoded there: on a slow link none then arrives
// in time.
func TestSendsOnlyNewestVersion(t *testing.T) {
	r := start(t)
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	var burst []kv.Event
	for i := range 90 {
		burst = append(burst, kv.Event{Entry: kv.Entry{Key: "config", Revision: int64(2 + i)}})
	}
	burst = append(burst, kv.Event{Entry: kv.Entry{Key: "b", Revision: 92}}, kv.Event{Entry: kv.Entry{Key: "b", Revision: 93}, Deleted: true})
	r.answer(t, answer{events: burst, at: 93})
	<-r.sink.ticks
	if r.sink.applied != 2 {
		t.Errorf("%d events applied, want the newest of each of two keys", r.sink.applied)
	}
	u, err := r.Answer(t.Context(), feed.Query{After: 1})
	want := []kv.Event{{Entry: kv.Entry{Key: "config", Revision: 91}}, {Entry: kv.Entry{Key: "b", Revision: 93}, Deleted: true}}
	if diff := cmp.Diff(want, u.Events); err != nil || diff != "" {
		t.Error(err, diff)
	}
}

// TestLargeUpdateIsTransferredOnce guards against a large configuration that several
// hosts send to one host at the same time: its link is too slow for that, and none of
// the transfers ends within its time limit.
func TestLargeUpdateIsTransferredOnce(t *testing.T) {
	sender := start(t)
	rng := rand.New(rand.NewPCG(1, 1))
	large := kv.Entry{Key: "config", Revision: 6}
	for range 2000 {
		large.Value = fmt.Appendf(large.Value, `{"Name":"route-%x","Host":"host.example","Prefix":"/%x/","MaxAttempts":2},`, rng.Uint32(), rng.Uint32())
	}
	sender.answer(t, answer{entries: []kv.Entry{large}, at: 6})
	<-sender.Ready()

	const maxBytes = 8 << 10
	transfers := 0
	received := &sink{ticks: make(chan struct{}, 16)}
	clock := clockwork.NewFakeClock()
	receiver := feed.New(feed.Options{
		Source: newSource(), Sink: received, Clock: clock, Boottime: new(atomicInstant).load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Timing: staleAfter(time.Second), PeerFetchInterval: time.Second,
		QueryPeers: func(ctx context.Context, after int64) (feed.Update, error) {
			q := feed.PeerQuery{Hosts: []string{"a", "b", "c"}, Timing: feed.NewTiming(time.Second), Clock: clock, Call: func(context.Context, string) (feed.Update, error) {
				u, err := sender.Answer(t.Context(), feed.Query{After: after, Pack: true, MaxBytes: maxBytes})
				if len(u.Entries) > 0 {
					t.Errorf("%d entries in an answer that should be small", len(u.Entries))
				}
				return u, err
			}}
			return q.Fetch(ctx)
		},
		FetchFrom: func(_ context.Context, host string, after int64, _ time.Duration) (feed.Update, error) {
			transfers++
			u, err := sender.Answer(t.Context(), feed.Query{After: after, Pack: true})
			if host == "" || len(u.Packed) == 0 || len(u.Packed) > len(large.Value)/2 {
				t.Errorf("from %q: %d bytes; want the compressed configuration", host, len(u.Packed))
			}
			return u, err
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = receiver.Run(ctx) }()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	<-receiver.Ready()
	if got, _ := receiver.Answer(t.Context(), feed.Query{}); transfers != 1 || len(got.Entries) != 1 || !bytes.Equal(got.Entries[0].Value, large.Value) {
		t.Errorf("%d transfers, %d entries; want the configuration after one transfer", transfers, len(got.Entries))
	}
}

// TestMirrorAgreesWithLog compares the updates that hosts get from another host with
// the log of all changes: a host that applies them, from any revision on, ends with
// the same entries. It guards against a change that is left out between two updates.
func TestMirrorAgreesWithLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := start(t)
		r.answer(t, answer{at: 1})
		<-r.sink.ticks
		want, follower, seen := map[string]int64{}, map[string]int64{}, int64(1)
		at := int64(1)
		for range rapid.IntRange(1, 6).Draw(rt, "polls") {
			var events []kv.Event
			for range rapid.IntRange(0, 6).Draw(rt, "changes") {
				at++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				deleted := rapid.Bool().Draw(rt, "deleted")
				events = append(events, kv.Event{Entry: kv.Entry{Key: key, Revision: at}, Deleted: deleted})
				want[key] = at
				if deleted {
					delete(want, key)
				}
			}
			r.answer(t, answer{events: events, at: at})
			<-r.sink.ticks
			if rapid.Bool().Draw(rt, "query") {
				seen = applyUpdate(rt, r, follower, seen)
			}
		}
		applyUpdate(rt, r, follower, seen)
		if diff := cmp.Diff(want, follower); diff != "" {
			rt.Error(diff)
		}
	})
}

// applyUpdate applies the update after a revision to entries and returns the new
// revision.
func applyUpdate(t *rapid.T, r *fixture, entries map[string]int64, after int64) int64 {
	u, err := r.Answer(t.Context(), feed.Query{After: after})
	if err != nil {
		t.Fatal(err)
	}
	for _, ev := range u.Events {
		entries[ev.Entry.Key] = ev.Entry.Revision
		if ev.Deleted {
			delete(entries, ev.Entry.Key)
		}
	}
	return u.Revision
}

// TestPauseCountsTowardsAge guards against a host that was paused while another host
// held its call, and takes the old answer that it finds afterwards for a current one.
func TestPauseCountsTowardsAge(t *testing.T) {
	const pause, waited, age = 5 * time.Second, 700 * time.Millisecond, 100 * time.Millisecond
	boot := &atomicInstant{}
	boot.add(time.Hour)
	clock := clockwork.NewFakeClock()
	received := &sink{ticks: make(chan struct{}, 16)}
	calls := 0
	f := feed.New(feed.Options{
		Source: newSource(), Sink: received, Clock: clock, Boottime: boot.load, Direct: func() bool { return false },
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Timing: staleAfter(10 * time.Second), PeerFetchInterval: time.Second, PeerWait: waited,
		QueryPeers: func(context.Context, int64) (feed.Update, error) {
			return feed.Update{Revision: 1, Full: true, From: "a"}, nil
		},
		FetchFrom: func(ctx context.Context, _ string, _ int64, _ time.Duration) (feed.Update, error) {
			if calls++; calls > 1 {
				<-ctx.Done()
				return feed.Update{}, ctx.Err()
			}
			boot.add(pause)
			return feed.Update{Revision: 1, WaitedMS: waited.Milliseconds(), AgeMS: age.Milliseconds()}, nil
		},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	<-received.ticks
	<-received.ticks
	cancel()
	<-done
	if got, _ := f.Age(); got != pause-waited+age {
		t.Errorf("age %v, want %v", got, pause-waited+age)
	}
}
