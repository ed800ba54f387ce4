package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

func newTestQueue(t testing.TB, slots float64) (*Queue, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClockAt(testStart)
	q := New(clock, Limits{}, "host-1", 1)
	if err := q.ApplyConfig(testRanks, testTeams); err != nil {
		t.Fatal(err)
	}
	q.SetCapacity(slots)
	return q, clock
}

// TestQueueConcurrentCancellation guards against slots that leak or are granted
// twice when a caller cancels while its request is being admitted.
func TestQueueConcurrentCancellation(t *testing.T) {
	const slots = 4
	q, _ := newTestQueue(t, slots)
	var inFlight, overCapacity, granted atomic.Int64
	var wg sync.WaitGroup
	for i := range 16 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(i)))
			for range 200 {
				ctx, cancel := context.WithCancel(context.Background())
				if rng.IntN(2) == 0 {
					go cancel()
				}
				g, err := q.Acquire(ctx, Request{Rank: testRanks[rng.IntN(3)].Name, Team: testTeams[rng.IntN(4)].Name})
				if err == nil {
					granted.Add(1)
					if inFlight.Add(1) > slots {
						overCapacity.Add(1)
					}
					inFlight.Add(-1)
					g.Release(1)
					g.Release(1)
				}
				cancel()
			}
		})
	}
	wg.Wait()
	s := q.Stats()
	if s.Waiting != 0 || s.InFlight != 0 || overCapacity.Load() != 0 || granted.Load() == 0 || len(q.waiters) != 0 {
		t.Fatalf("seed 1: stats %+v, admitted over capacity %d, granted %d, waiters left %d", s, overCapacity.Load(), granted.Load(), len(q.waiters))
	}
}

// TestQueueWakesWaiters guards against requests that wait longer than MaxWait,
// added capacity that is not used, and callers that hang after Close.
func TestQueueWakesWaiters(t *testing.T) {
	q, clock := newTestQueue(t, 0)
	acquire := func(rank string) chan error {
		done := make(chan error, 1)
		before := q.Stats().Waiting
		go func() {
			_, err := q.Acquire(context.Background(), Request{Rank: rank, Team: "a"})
			done <- err
		}()
		for q.Stats().Waiting == before {
		}
		return done
	}
	urgent, normal := acquire("urgent"), acquire("normal")
	clock.Advance(21 * time.Second)
	err := <-urgent
	var rejected *RejectedError
	if !errors.Is(err, ErrMaxWait) || !errors.As(err, &rejected) || rejected.Outcome() != OutcomeNotRun {
		t.Fatalf("urgent request after MaxWait: got %v, want ErrMaxWait and outcome not_run", err)
	}
	q.SetCapacity(1)
	if err := <-normal; err != nil {
		t.Fatal(err)
	}
	last := acquire("batch")
	q.Close()
	if err := <-last; !errors.Is(err, ErrClosed) {
		t.Fatalf("waiting request after Close: got %v, want ErrClosed", err)
	}
}

// TestPeerUsage guards against usage reports that are charged twice when
// duplicated or reordered, and against a team that exceeds its share by using
// several hosts.
func TestPeerUsage(t *testing.T) {
	q, clock := newTestQueue(t, 0)
	report := func(sequence uint64, served float64) {
		u := Usage{Host: "host-2", Incarnation: 1, Sequence: sequence, Capacity: 10, Ranks: []RankUsage{
			{Rank: "normal", InFlight: 5, Waiting: 20, Teams: []TeamUsage{{Team: "a", Served: served}}}}}
		data, err := EncodeUsage(u)
		if err != nil {
			t.Fatal(err)
		}
		if u, err = DecodeUsage(data); err != nil {
			t.Fatal(err)
		}
		if err := q.ObservePeerUsage(u); err != nil {
			t.Fatal(err)
		}
	}
	for _, team := range []string{"a", "c"} {
		for range 10 {
			if _, _, err := q.core.Enqueue(testStart, Request{Rank: "normal", Team: team}); err != nil {
				t.Fatal(err)
			}
		}
	}
	report(1, 100) // only sets the starting point
	report(2, 104)
	report(2, 104)
	report(1, 100)
	report(2, 104)
	q.core.SetCapacity(12)
	got := ""
	for a, ok := q.core.AdmitNext(clock.Now()); ok; a, ok = q.core.AdmitNext(clock.Now()) {
		got += a.Request.Team
	}
	// Team a received 4 units on the peer, so team c gets 4 units before they
	// alternate.
	if want := "ccccacacacac"; got != want {
		t.Fatalf("admitted teams in order %s, want %s", got, want)
	}
	if _, err := DecodeUsage(make([]byte, MaxUsageBytes+1)); !errors.Is(err, ErrInvalid) {
		t.Fatalf("oversized report: got %v, want ErrInvalid", err)
	}
}

// TestFloorOverFleet guards against floors that hold only per host: if a rank
// waits on one of two hosts, that host must give it the floor of the whole fleet.
func TestFloorOverFleet(t *testing.T) {
	q, clock := newTestQueue(t, 0)
	u := Usage{Host: "host-2", Incarnation: 1, Sequence: 1, Capacity: 16, Ranks: []RankUsage{{Rank: "urgent", InFlight: 16, Waiting: 50}}}
	if err := q.ObservePeerUsage(u); err != nil {
		t.Fatal(err)
	}
	for range 32 {
		for _, rank := range []string{"urgent", "batch"} {
			if _, _, err := q.core.Enqueue(testStart, Request{Rank: rank, Team: "a"}); err != nil {
				t.Fatal(err)
			}
		}
	}
	q.core.SetCapacity(16)
	for range 16 {
		q.core.AdmitNext(clock.Now())
	}
	// The floor of batch is 0.125 of the 32 slots of both hosts.
	if got := q.Stats().Ranks[2].InFlight; got != 4 {
		t.Fatalf("rank batch has %d slots, want 4", got)
	}
	clock.Advance(PeerReportTTL + time.Second)
	q.core.refreshPeers(clock.Now())
	if got := q.Stats().Ranks[2].FloorSlots; got != 2 {
		t.Fatalf("got floor %v after the report became stale, want 2", got)
	}
}

// BenchmarkAcquireRelease measures Acquire and Release with a free slot.
func BenchmarkAcquireRelease(b *testing.B) {
	q, _ := newTestQueue(b, 64)
	req := Request{Rank: "normal", Team: "a", Cost: 1}
	b.ReportAllocs()
	for b.Loop() {
		g, err := q.Acquire(context.Background(), req)
		if err != nil {
			b.Fatal(err)
		}
		g.Release(1)
	}
}

// BenchmarkCoreFull10000 measures Enqueue with eviction while 10,000 requests of
// 1,000 teams wait.
func BenchmarkCoreFull10000(b *testing.B) {
	c := NewCore(Limits{MaxWaitingCost: 1e9, MaxWaiting: 10_000})
	var teams []Team
	for i := range 1000 {
		teams = append(teams, Team{Name: fmt.Sprint(i)})
	}
	if _, err := c.ApplyConfig(testRanks, teams); err != nil {
		b.Fatal(err)
	}
	i := 0
	enqueue := func() {
		i++
		if _, _, err := c.Enqueue(testStart, Request{Rank: testRanks[i%3].Name, Team: teams[i%1000].Name, Cost: 1}); err != nil {
			b.Fatal(err)
		}
	}
	for range 10_000 {
		enqueue()
	}
	b.ReportAllocs()
	for b.Loop() {
		enqueue()
	}
}
