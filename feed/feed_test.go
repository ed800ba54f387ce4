package feed_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// source answers calls from a script; each answer is consumed once.
type source struct {
	answers chan answer
}

type answer struct {
	entries []kv.Entry
	events  []kv.Event
	at      int64
	err     error
}

func (s *source) List(context.Context, string) ([]kv.Entry, int64, error) {
	a := <-s.answers
	return a.entries, a.at, a.err
}

func (s *source) Changes(_ context.Context, _ string, _ int64, _ time.Duration) ([]kv.Event, int64, error) {
	a := <-s.answers
	return a.events, a.at, a.err
}

func (s *source) Commit(context.Context, []kv.Write) (int64, error) { return 0, kv.ErrUnavailable }

// sink keeps the keys it was told of.
type sink struct {
	keys      map[string]bool
	disturbed []bool
	ticks     chan struct{}
}

func (s *sink) Reset(entries []kv.Entry, disturbed bool) {
	s.keys = map[string]bool{}
	for _, e := range entries {
		s.keys[e.Key] = true
	}
	s.disturbed = append(s.disturbed, disturbed)
}

func (s *sink) Apply(events []kv.Event, disturbed bool) {
	for _, e := range events {
		s.keys[e.Entry.Key] = !e.Deleted
	}
	s.disturbed = append(s.disturbed, disturbed)
}

func (s *sink) Relevant(ev kv.Event, _ *kv.Entry) bool { return ev.Entry.Key != "noise" }

func (s *sink) Tick() { s.ticks <- struct{}{} }

// atomicInstant is a clock that a test moves.
type atomicInstant struct{ ns atomic.Int64 }

func (a *atomicInstant) load() boottime.Instant { return boottime.Instant(a.ns.Load()) }
func (a *atomicInstant) add(d time.Duration)    { a.ns.Add(int64(d)) }

type rig struct {
	*feed.Follower
	source *source
	sink   *sink
	clock  *clockwork.FakeClock
	boot   atomicInstant
}

func start(t *testing.T) *rig {
	t.Helper()
	r := &rig{source: &source{answers: make(chan answer)}, sink: &sink{ticks: make(chan struct{}, 16)}, clock: clockwork.NewFakeClock()}
	r.Follower = feed.New(feed.Options{
		Source: r.source, Sink: r.sink, Wait: time.Second, Pause: time.Second, CallTimeout: time.Second, SettleTime: 3 * time.Second,
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

// answer lets the follower make its next call.
func (r *rig) answer(t *testing.T, a answer) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	for {
		select {
		case r.source.answers <- a:
			return
		case <-ctx.Done():
			t.Fatal("no call")
		default:
			if err := r.clock.BlockUntilContext(ctx, 1); err != nil {
				t.Fatal(err)
			}
			r.clock.Advance(100 * time.Millisecond)
		}
	}
}

func entry(key string) kv.Entry { return kv.Entry{Key: key, Revision: 6} }

// TestFollowsListingAndChanges guards against changes that are lost between a
// listing and the first wait, and against a state that is not replaced after
// the history is gone.
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

// TestAgeCountsFromTheCall guards against a host that counts a late answer as
// news: the answer may have been made when the call arrived.
func TestAgeCountsFromTheCall(t *testing.T) {
	r := start(t)
	if _, ok := r.Age(); ok {
		t.Error("an age before the first answer")
	}
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.boot.add(4 * time.Second)
	if age, ok := r.Age(); !ok || age != 4*time.Second {
		t.Errorf("age %v, %v", age, ok)
	}
}

// TestReachesOnlyWhileTheServiceAnswers guards against a host that coordinates
// although the service turns it away and only other hosts confirm its state.
func TestReachesOnlyWhileTheServiceAnswers(t *testing.T) {
	r := start(t)
	if r.StoreAnsweredWithin(time.Second) {
		t.Error("reached before the first answer")
	}
	r.boot.add(time.Minute)
	r.answer(t, answer{at: 1})
	r.answer(t, answer{err: errors.New("turned away")}) // the first answer has been taken over
	if !r.StoreAnsweredWithin(time.Second) {
		t.Error("not reached right after an answer")
	}
	r.boot.add(2 * time.Second)
	if r.StoreAnsweredWithin(time.Second) {
		t.Error("reached two seconds after the last answer")
	}
}

// TestMarksChangesAfterAnOutage guards against entries that lapsed in an outage
// and are taken for endpoints that have left.
func TestMarksChangesAfterAnOutage(t *testing.T) {
	r := start(t)
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.boot.add(4 * time.Second)
	r.answer(t, answer{err: errors.New("down")})
	r.answer(t, answer{events: []kv.Event{{Entry: entry("a"), Deleted: true}}, at: 2})
	<-r.sink.ticks
	if got := r.sink.disturbed; !got[len(got)-1] || got[0] {
		t.Errorf("disturbed %v", got)
	}
}

// TestRefusalsOfOneHostAreNoOutage guards against requests to an endpoint that
// has left: a host that the service turns away while others confirm its state
// must not take a removal for a lapsed entry.
func TestRefusalsOfOneHostAreNoOutage(t *testing.T) {
	r := start(t)
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.answer(t, answer{err: errors.New("turned away")})
	r.answer(t, answer{events: []kv.Event{{Entry: entry("a"), Deleted: true}}, at: 7})
	<-r.sink.ticks
	if got := r.sink.disturbed; got[len(got)-1] {
		t.Errorf("disturbed %v", got)
	}
}

// TestTakesOverAnotherHostsState guards against a host without the store that
// serves by an old state, and against an age that leaves out the time for
// which the question was under way.
func TestTakesOverAnotherHostsState(t *testing.T) {
	boot := &atomicInstant{}
	boot.add(time.Hour)
	asked := make(chan int64, 1)
	answers := make(chan feed.Update)
	clock := clockwork.NewFakeClock()
	s := &sink{ticks: make(chan struct{}, 16)}
	f := feed.New(feed.Options{
		Source: &source{answers: make(chan answer)}, Sink: s, Clock: clock, Boottime: boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		PeerFetchAge: time.Second, PeerFetchInterval: time.Second,
		FetchFromPeer: func(_ context.Context, after int64) (feed.Update, error) {
			asked <- after
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
	if after := <-asked; after != 0 {
		t.Errorf("asked for changes after %d", after)
	}
	boot.add(2 * time.Second) // the answer is under way
	answers <- feed.Update{At: 7, AgeMS: 1000, Full: true, Entries: []kv.Entry{entry("a")}}
	<-f.Ready()
	if age, _ := f.Age(); age != 3*time.Second {
		t.Errorf("age %v, want the answer's age and the time of the question", age)
	}
	own, err := f.UpdateSince(0)
	if err != nil || own.At != 7 || len(own.Entries) != 1 {
		t.Errorf("own news %+v, %v", own, err)
	}
	if again, _ := f.UpdateSince(7); len(again.Entries) != 0 {
		t.Error("a host that is up to date got all entries")
	}
}

// TestLateNewsIsNoOutage guards against requests to an endpoint that has left: a
// host whose news from another host came late must not take a removal for an
// entry that lapsed in an outage, unless the other host says that there was one.
func TestLateNewsIsNoOutage(t *testing.T) {
	for _, outage := range []bool{false, true} {
		boot := &atomicInstant{}
		boot.add(time.Hour)
		clock := clockwork.NewFakeClock()
		s := &sink{ticks: make(chan struct{}, 16)}
		answers := make(chan feed.Update)
		f := feed.New(feed.Options{
			Source: &source{answers: make(chan answer)}, Sink: s, Clock: clock, Boottime: boot.load,
			Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
			PeerFetchAge: time.Second, PeerFetchInterval: time.Second,
			FetchFromPeer: func(context.Context, int64) (feed.Update, error) { return <-answers, nil },
		})
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = f.Run(ctx) }()
		for _, n := range []feed.Update{
			{At: 7, Full: true, Entries: []kv.Entry{entry("a")}},
			{At: 8, Events: []kv.Event{{Entry: kv.Entry{Key: "a", Revision: 8}, Deleted: true}}, AfterOutage: outage},
		} {
			if err := clock.BlockUntilContext(ctx, 1); err != nil {
				t.Fatal(err)
			}
			clock.Advance(time.Second)
			answers <- n
			<-s.ticks
			boot.add(5 * time.Second)
		}
		if got := s.disturbed[len(s.disturbed)-1]; got != outage {
			t.Errorf("disturbed %v, the other host said %v", got, outage)
		}
		cancel()
	}
}

// TestPassesOnOnlyWhatIsNew guards against heartbeats of all endpoints that
// travel to every host, and against a host that misses a change because of it.
func TestPassesOnOnlyWhatIsNew(t *testing.T) {
	r := start(t)
	r.answer(t, answer{entries: []kv.Entry{{Key: "a", Revision: 1}, {Key: "noise", Revision: 2}}, at: 5})
	<-r.sink.ticks
	r.answer(t, answer{events: []kv.Event{{Entry: kv.Entry{Key: "noise", Revision: 6}}, {Entry: kv.Entry{Key: "b", Revision: 7}}}, at: 8})
	<-r.sink.ticks
	full, err := r.UpdateSince(3)
	if err != nil || !full.Full || len(full.Entries) != 2 || full.At != 8 {
		t.Errorf("to a host far behind: %+v, %v", full, err)
	}
	some, err := r.UpdateSince(5)
	if err != nil || some.Full || len(some.Events) != 1 || some.Events[0].Entry.Key != "b" {
		t.Errorf("to a host that has revision 5: %+v, %v", some, err)
	}
}

// TestIndirectHostsMakeNoCalls guards against every host of a large fleet
// calling the service, and against a host that stays without news when the one
// it follows is gone.
func TestIndirectHostsMakeNoCalls(t *testing.T) {
	boot := &atomicInstant{}
	var asked atomic.Int64
	calls := &countingSource{}
	clock := clockwork.NewFakeClock()
	f := feed.New(feed.Options{
		Source: calls, Sink: &sink{ticks: make(chan struct{}, 256)}, Clock: clock, Boottime: boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pause: time.Second,
		Direct: func() bool { return false }, PeerFetchAge: 2 * time.Second, PeerFetchInterval: time.Second,
		FetchFromPeer: func(context.Context, int64) (feed.Update, error) {
			if asked.Add(1) > 20 {
				return feed.Update{}, feed.ErrNoState
			}
			return feed.Update{At: 1}, nil
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	<-f.Ready()
	first := calls.n.Load()
	for asked.Load() < 20 {
		if err := clock.BlockUntilContext(ctx, 2); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
	if n := calls.n.Load() - first; n != 0 {
		t.Errorf("%d calls while another host answered", n)
	}
	for calls.n.Load() == first {
		boot.add(time.Second)
		if err := clock.BlockUntilContext(ctx, 2); err != nil {
			t.Fatal(err)
		}
		clock.Advance(time.Second)
	}
}

// countingSource answers every call with nothing new.
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

// TestSilentHostDoesNotDelayTheService guards against a host whose state grows
// old while it waits for a silent host, although the service answers it.
func TestSilentHostDoesNotDelayTheService(t *testing.T) {
	boot := &atomicInstant{}
	calls := &countingSource{}
	clock := clockwork.NewFakeClock()
	const askAge = 2 * time.Second
	f := feed.New(feed.Options{
		Source: calls, Sink: &sink{ticks: make(chan struct{}, 256)}, Clock: clock, Boottime: boot.load,
		Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Pause: time.Second,
		Direct: func() bool { return false }, PeerFetchAge: askAge, PeerFetchInterval: time.Hour,
		FetchFromPeer: func(ctx context.Context, _ int64) (feed.Update, error) {
			<-ctx.Done()
			return feed.Update{}, ctx.Err()
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = f.Run(ctx) }()
	<-f.Ready()
	first, started := calls.n.Load(), clock.Now()
	for calls.n.Load() == first {
		if clock.Since(started) > 2*askAge {
			t.Fatalf("the service was not asked within %v", clock.Since(started))
		}
		waiting, stop := context.WithTimeout(ctx, 10*time.Second)
		err := clock.BlockUntilContext(waiting, 2)
		stop()
		if err != nil {
			t.Fatal("the follower waits for the silent host without a bound")
		}
		boot.add(askAge / 4)
		clock.Advance(askAge / 4)
	}
}
