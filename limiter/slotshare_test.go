package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

// TestSlotSharesNeverExceedTheSlots guards against hosts that together send a brittle
// endpoint more than it takes, and against slots that no host may use.
func TestSlotSharesNeverExceedTheSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var hosts []string
		for i := range rapid.IntRange(1, 295).Draw(t, "hosts") {
			hosts = append(hosts, fmt.Sprint("host-", i))
		}
		slots := rapid.IntRange(0, 200).Draw(t, "slots")
		endpoint := rapid.StringN(1, 8, -1).Draw(t, "endpoint")
		sum, least, most := 0, slots, 0
		for _, h := range hosts {
			n := limiter.SlotShare(h, hosts, endpoint, slots)
			sum, least, most = sum+n, min(least, n), max(most, n)
		}
		if sum != slots || most-least > 1 {
			t.Fatalf("shares of %d to %d sum up to %d of %d slots", least, most, sum, slots)
		}
	})
}

// TestBrittleTimeBeginsAndEnds guards against a limit that outlasts its reason, and against
// one that an answer from before ends.
func TestBrittleTimeBeginsAndEnds(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := limiter.NewSlotShares(clock, "a", func() []string { return []string{"a", "b"} })
	list := map[string]int{"e": 4}
	const slots = 4
	for range slots / 2 {
		if !s.TryStart("e", slots) {
			t.Error("a request is held back from an endpoint that is not brittle")
		}
	}
	if full := s.Full(list); full != nil {
		t.Errorf("%v are full at endpoints that are not brittle", full)
	}
	before := clock.Now()
	clock.Advance(time.Second)
	s.Observe(clock.Now(), true)
	if full := s.Full(list); len(full) != 1 || s.TryStart("e", slots) {
		t.Error("a host with its whole share in use may use more of a brittle endpoint")
	}
	s.Observe(before, false)
	if !s.Active() {
		t.Error("an answer to an earlier request ends the brittle time")
	}
	s.End("e")
	if full := s.Full(list); full != nil {
		t.Error("a free slot of the share may not be used")
	}
	clock.Advance(time.Second)
	s.Observe(clock.Now(), false)
	if s.Active() {
		t.Error("an answer that does not say so leaves the endpoints brittle")
	}
	s.Observe(clock.Now(), true)
	clock.Advance(time.Minute)
	if s.Active() {
		t.Error("endpoints are brittle a minute after the last answer that said so")
	}
}

// TestSlotSharesFollowTheHosts guards against a share that stays when hosts come and go.
func TestSlotSharesFollowTheHosts(t *testing.T) {
	clock := clockwork.NewFakeClock()
	hosts := []string{"a", "b"}
	s := limiter.NewSlotShares(clock, "a", func() []string { return hosts })
	s.Observe(clock.Now(), true)
	const slots = 4
	started := func() int {
		n := 0
		for s.TryStart("e", slots) {
			n++
		}
		return n
	}
	if n := started(); n != slots/2 {
		t.Errorf("%d of %d slots with two hosts", n, slots)
	}
	hosts = []string{"a"}
	clock.Advance(time.Second)
	if n := started(); n != slots/2 {
		t.Errorf("%d more of %d slots once the other host has left, want the rest", n, slots)
	}
}

// BenchmarkSlotSharesLargeFleet measures the choice among the brittle endpoints of a large
// fleet.
func BenchmarkSlotSharesLargeFleet(b *testing.B) {
	var hosts []string
	for i := range 295 {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	list := make(map[string]int)
	for i := range 400 {
		list[fmt.Sprint("e", i)] = 64
	}
	clock := clockwork.NewFakeClock()
	s := limiter.NewSlotShares(clock, hosts[0], func() []string { return hosts })
	s.Observe(clock.Now(), true)
	b.ReportAllocs()
	for b.Loop() {
		s.Full(list)
	}
}
