package balance

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// drawPaces draws what hosts hosts have measured at engines with the given gaps in seconds.
func drawPaces(rt *rapid.T, label string, hosts int, least, most float64) sourcePaces {
	out := make(sourcePaces)
	for _, key := range rapid.SliceOfNDistinct(rapid.Uint32Range(1, 8), 0, 8, rapid.ID).Draw(rt, label) {
		out[key] = pace{
			streams: rapid.IntRange(1, 20).Draw(rt, "streams"), hosts: hosts,
			gap: rapid.Float64Range(least, most).Draw(rt, "gap"), tokens: paceTokenUnit * rapid.IntRange(0, 900).Draw(rt, "tokens"),
		}
	}
	return out
}

// TestPaceDigest guards against paces that are changed by encoding and decoding, against
// digests larger than their limit, and against a panic on a malformed digest.
func TestPaceDigest(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		paces := drawPaces(rt, "engines", rapid.IntRange(1, 300).Draw(rt, "hosts"), 0.001, 60)
		limit := rapid.IntRange(0, 120).Draw(rt, "limit")
		digest := encodePaces(paces, limit)
		got, err := decodePaces(digest)
		if err != nil || len(digest) > limit || limit == 120 && len(got) < len(paces) {
			rt.Fatalf("%d bytes of at most %d with %d of %d engines: %v", len(digest), limit, len(got), len(paces), err)
		}
		for key, p := range got {
			want := paces[key]
			if ratio := p.gap / want.gap; ratio < 0.97 || ratio > 1.03 {
				rt.Errorf("gap %v, want %v", p.gap, want.gap)
			}
			if p.gap = want.gap; p != want {
				rt.Errorf("decoded %+v, want %+v", p, want)
			}
		}
		if _, err := decodePaces(rapid.SliceOf(rapid.Byte()).Draw(rt, "malformed")); err != nil && !errors.Is(err, ErrMalformedDigest) {
			rt.Errorf("error %v, want ErrMalformedDigest", err)
		}
	})
}

// TestPaceSumEqualsParts guards against paces that are counted twice or left out when two
// readers sum up those of their followers and exchange the sums.
func TestPaceSumEqualsParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 4 << 10
		clock := clockwork.NewFakeClock()
		tables := []*LoadTable{NewLoadTable(clock), NewLoadTable(clock)}
		want, seconds := make(sourcePaces), make(map[uint32]float64)
		for i := range rapid.IntRange(1, 6).Draw(rt, "hosts") {
			paces := drawPaces(rt, "engines", 1, 0.1, 0.35) // not so different that gaps are clipped
			for key, p := range paces {
				w := want[key]
				want[key] = pace{streams: w.streams + p.streams, hosts: w.hosts + 1, tokens: w.tokens + p.tokens}
				seconds[key] += float64(p.streams) * p.gap
			}
			if err := tables[i%2].Observe(fmt.Sprint("h", i), LoadSum{Hosts: 1, Paces: encodePaces(paces, limit)}); err != nil {
				rt.Fatal(err)
			}
		}
		reader := NewLoadTable(clock)
		if err := reader.Observe("r", SumLoads(limit, tables[1])); err != nil {
			rt.Fatal(err)
		}
		got, err := decodePaces(SumLoads(limit, tables[0], reader).Paces)
		if err != nil || len(got) != len(want) {
			rt.Fatalf("got %d engines, want %d: %v", len(got), len(want), err)
		}
		for key, w := range want {
			g := got[key]
			if mean := seconds[key] / float64(w.streams); g.gap < 0.9*mean || g.gap > 1.1*mean {
				rt.Errorf("mean gap %v, want %v", g.gap, mean)
			}
			if g.gap = 0; g != w {
				rt.Errorf("sum %+v, want %+v", g, w)
			}
		}
	})
}

// pacedEngines returns a chooser of engines whose gap all hosts have measured for a time.
func pacedEngines(rt *rapid.T, clock *clockwork.FakeClock, n int, gap float64, span time.Duration) *EngineChooser {
	e := NewEngineChooser(clock, "a")
	var specs []EngineSpec
	for i := range n {
		specs = append(specs, EngineSpec{ID: fmt.Sprint("e", i), FailureDomain: "a", Slots: 16})
	}
	e.SetEngines(specs)
	for range span / paceInterval {
		observeGaps(rt, e, "h1", gap)
		observeGaps(rt, e, "h2", gap)
		clock.Advance(paceInterval)
	}
	return e
}

// observeGaps reports two streams of a gap at each engine, or at those given.
func observeGaps(rt *rapid.T, e *EngineChooser, host string, gap float64, engines ...int) {
	paces := make(sourcePaces)
	for i, en := range e.order {
		if len(engines) == 0 || i == engines[0] {
			paces[engineKey(en.idHash)] = pace{streams: 2, hosts: 1, gap: gap}
		}
	}
	if err := e.ObservePaces(host, encodePaces(paces, 1<<12)); err != nil {
		rt.Fatal(err)
	}
	e.refreshPaces(e.clock.Now())
}

// TestOneHostMovesGapBoundedly guards against an engine that is driven out of use by the
// bad links of one host, with and without reports of others, and for good.
func TestOneHostMovesGapBoundedly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		usual := rapid.Float64Range(0.02, 1).Draw(rt, "usual")
		reported := rapid.Float64Range(0.001, 300).Draw(rt, "reported")
		alone := rapid.Bool().Draw(rt, "alone")
		e := pacedEngines(rt, clock, 3, usual, 5*time.Second)
		if alone {
			clock.Advance(paceTTL + time.Second)
		}
		before := e.expectedGap(e.order[0], 4, clock.Now())
		clock.Advance(paceInterval)
		observeGaps(rt, e, "faulty", reported, 0)
		after := e.expectedGap(e.order[0], 4, clock.Now())
		if ratio := after / before; ratio > 4.2 || ratio < 1/4.2 { // with the rounding of digests
			rt.Fatalf("a report of %v s moved the gap from %v to %v", reported, before, after)
		}
		for range 40 {
			clock.Advance(paceInterval)
			if !alone {
				observeGaps(rt, e, "h1", usual)
				observeGaps(rt, e, "h2", usual)
			}
			observeGaps(rt, e, "faulty", reported, 0)
		}
		if ratio := e.expectedGap(e.order[0], 4, clock.Now()) / before; ratio > 16 {
			rt.Errorf("reports of one host moved the gap by a factor of %v", ratio)
		}
		clock.Advance(10 * slownessForgetTime)
		e.refreshPaces(clock.Now())
		if ratio := e.learnedGap(e.order[0], 4) / e.learnedGap(e.order[1], 4); ratio > 1.1 || ratio < 0.9 {
			rt.Errorf("ten minutes later the engine still counts as %v of the others", ratio)
		}
	})
}

// TestRestartForgetsPace guards against an engine that counts as slow after its restart,
// also because of late reports of other hosts.
func TestRestartForgetsPace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := pacedEngines(rt, clock, 3, 0.1, 5*time.Second)
		slow := rapid.Float64Range(0.2, 3).Draw(rt, "slow")
		for range 40 {
			observeGaps(rt, e, "h1", slow, 0)
			observeGaps(rt, e, "h2", slow, 0)
			clock.Advance(paceInterval)
		}
		e.ResetCache("e0")
		observeGaps(rt, e, "h1", slow, 0)
		clock.Advance(paceInterval)
		e.refreshPaces(clock.Now())
		never := &engine{spec: EngineSpec{Slots: 16}}
		if got, want := e.expectedGap(e.order[0], 4, clock.Now()), e.expectedGap(never, 4, clock.Now()); got != want {
			rt.Errorf("gap %v after the restart, want %v as of an engine that was never measured", got, want)
		}
	})
}

// TestWaitForSlot guards against a request that is expected to start at once at an engine
// whose slots are all in use.
func TestWaitForSlot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := pacedEngines(rt, clock, 1, 0.1, 5*time.Second)
		req := EngineRequest{Model: "m", Events: 100}
		running := rapid.IntRange(0, 40).Draw(rt, "running")
		var last EngineChoice
		for i := range running + 1 {
			c, err := e.Choose(req)
			if err != nil {
				rt.Fatal(err)
			}
			wait := c.TimeToFirstEvent
			if i < 16 && wait != 0 || i >= 16 && (wait <= 0 || wait < last.TimeToFirstEvent) {
				rt.Fatalf("request %d: wait of %v after %v, with 16 slots", i, wait, last.TimeToFirstEvent)
			}
			if c.Completion <= wait {
				rt.Fatalf("request %d: completion after %v, first event after %v", i, c.Completion, wait)
			}
			last = c
			e.Start(c, req).FirstEvent()
		}
		// With all slots in use, one is free after a sixteenth of an answer.
		if gap := e.expectedGap(e.order[0], 17, clock.Now()); running == 16 && math.Abs(last.TimeToFirstEvent.Seconds()-100*gap/16) > 0.01 {
			rt.Errorf("wait of %v at a gap of %v, want a sixteenth of 100 events", last.TimeToFirstEvent, gap)
		}
	})
}

// TestStreamPace compares the measured gap with that of regular events. It guards against
// a gap that does not rise while an event is overdue.
func TestStreamPace(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		now, gap := time.Unix(0, 0), time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms"))*time.Millisecond
		var p streamPace
		for range rapid.IntRange(2, 30).Draw(rt, "events") {
			p.event(now)
			now = now.Add(gap)
		}
		if got, _ := p.gap(now, 0); math.Abs(got-gap.Seconds()) > 1e-6 {
			rt.Fatalf("gap %v, want %v", got, gap)
		}
		last := gap.Seconds()
		for range 5 {
			now = now.Add(time.Second)
			got, overdue := p.gap(now, 0)
			if got <= last || !overdue {
				rt.Fatalf("gap %v after %v, overdue %v, want a rise", got, last, overdue)
			}
			last = got
		}
	})
}

// TestFullEngineIsChosenLast guards against an engine whose memory the requests of several hosts
// fill, while none of them alone does.
func TestFullEngineIsChosenLast(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := NewEngineChooser(clock, "a")
		var specs []EngineSpec
		for i := range rapid.IntRange(1, 12).Draw(rt, "engines") {
			specs = append(specs, EngineSpec{ID: fmt.Sprint("e", i), FailureDomain: "a", CacheTokens: 10_000, Slots: 16, EventTokens: 2})
		}
		e.SetEngines(specs)
		used := make(map[string]int)
		for host := range 3 {
			paces := make(sourcePaces)
			for _, en := range e.order {
				tokens := paceTokenUnit * rapid.IntRange(0, 40).Draw(rt, "tokens")
				used[en.spec.ID] += tokens
				paces[engineKey(en.idHash)] = pace{hosts: 1, tokens: tokens}
			}
			if err := e.ObservePaces(fmt.Sprint("h", host), encodePaces(paces, 1<<12)); err != nil {
				rt.Fatal(err)
			}
		}
		room := false
		for _, tokens := range used {
			room = room || tokens <= 9000
		}
		clock.Advance(paceInterval)
		c, err := e.Choose(EngineRequest{Model: "m", Parts: []PromptPart{{ID: "s", Tokens: 100}, {ID: "p", Tokens: 100}}})
		if err != nil || room && used[c.Endpoint] > 9000 {
			rt.Errorf("chose %+v (%v) with %d of 10000 tokens in use, of %v", c, err, used[c.Endpoint], used)
		}
	})
}
