package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// slowFirst reports a slow first engine and usual others to e, as the sum of many hosts.
func slowFirst(rt *rapid.T, e *EngineChooser, slowness float64) {
	paces := make(sourcePaces)
	for i, en := range e.order {
		p := pace{streams: 4, hosts: 3, gap: 0.1}
		if i == 0 {
			p.gap *= slowness
		}
		paces[engineKey(en.idHash)] = p
	}
	if err := e.ObservePaceSum(PaceSum{Digest: encodePaces(paces, 1<<12)}); err != nil {
		rt.Fatal(err)
	}
	e.refreshPaces(e.clock.Now())
}

// TestLostHubLeavesLearnedSpeeds guards against a sum that counts for longer than 3 s after its
// hub is lost, and against engines that all count alike then.
func TestLostHubLeavesLearnedSpeeds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := NewEngineChooser(clock, "a")
		var specs []EngineSpec
		for i := range 8 {
			specs = append(specs, EngineSpec{ID: fmt.Sprint("e", i), Slots: 16})
		}
		e.SetEngines(specs)
		if gap := e.expectedGap(e.order[0], 4, clock.Now()); gap != 0 {
			rt.Fatalf("gap %v at a host that has just started, want all engines alike", gap)
		}
		slowness := rapid.Float64Range(1.5, 3).Draw(rt, "slowness")
		for range 100 {
			slowFirst(rt, e, slowness)
			clock.Advance(paceInterval)
		}
		clock.Advance(4 * time.Second)
		e.refreshPaces(clock.Now())
		if e.order[0].pace.measured(clock.Now()) || len(e.currentPaces(clock.Now())) != 0 {
			rt.Error("a sum counts 4 s after the hub was lost")
		}
		ratio := e.expectedGap(e.order[0], 4, clock.Now()) / e.expectedGap(e.order[1], 4, clock.Now())
		if ratio < 0.7*slowness || ratio > 1.2*slowness {
			rt.Errorf("learned slowness %v, want about %v", ratio, slowness)
		}
		clock.Advance(10 * time.Minute) // cut off: no report of others
		f := e.Start(EngineChoice{Endpoint: "e0"}, EngineRequest{Model: "m"})
		for range 30 {
			clock.Advance(200 * time.Millisecond)
			f.Event(clock.Now())
		}
		e.refreshPaces(clock.Now())
		if p := e.order[0].pace; p.gap < 0.15 || p.gap > 0.25 || p.allStreams != 1 {
			rt.Errorf("gap %v of %d streams at a host that is cut off, want its own 0.2 s", p.gap, p.allStreams)
		}
	})
}

// TestIdleEngineIsNotChosenByAll guards against hosts with the same knowledge that send all
// prompts to the one engine that looks idle: each prompt has its own eight alternatives.
func TestIdleEngineIsNotChosenByAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const engines, prompts = 64, 400
		clock := clockwork.NewFakeClock()
		e := NewEngineChooser(clock, "a")
		loads := make(map[string]EngineLoad)
		var specs []EngineSpec
		for i := range engines {
			id := fmt.Sprint("e", i)
			specs = append(specs, EngineSpec{ID: id, FailureDomain: "a", Slots: 16})
			if i > 0 {
				loads[id] = EngineLoad{Running: rapid.IntRange(8, 30).Draw(rt, "running")}
			}
		}
		e.SetEngines(specs)
		if err := e.ObserveSum(LoadSum{Hosts: 60, Digest: EncodeLoads(loads, 4<<10)}, nil, 60); err != nil {
			rt.Fatal(err)
		}
		slowFirst(rt, e, 1)
		idle := 0
		for i := range prompts { // none is started, as if each came to another host
			c, err := e.Choose(EngineRequest{Model: "m", Events: 100, Parts: []PromptPart{{ID: fmt.Sprint("s", i), Tokens: 13_000}, {ID: "own", Tokens: 500}}})
			if err != nil {
				rt.Fatal(err)
			}
			if c.Endpoint == "e0" {
				idle++
			}
		}
		if most := 2 * prompts * alternativeCount / engines; idle > most {
			rt.Errorf("%d of %d prompts to the idle engine, want at most %d", idle, prompts, most)
		}
	})
}

// TestLightlyLoadedEnginesKeepTheirPrompts guards against measured paces that move requests
// between engines that behave alike and have room.
func TestLightlyLoadedEnginesKeepTheirPrompts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		plain, paced := NewEngineChooser(clock, "a"), NewEngineChooser(clock, "a")
		loads := make(map[string]EngineLoad)
		var specs, slotted []EngineSpec
		for i := range 12 {
			spec := EngineSpec{ID: fmt.Sprint("e", i), FailureDomain: "a"}
			specs = append(specs, spec)
			spec.Slots = 16
			slotted = append(slotted, spec)
			loads[spec.ID] = EngineLoad{Running: rapid.IntRange(0, 2).Draw(rt, "running")}
		}
		plain.SetEngines(specs)
		paced.SetEngines(slotted)
		for _, e := range []*EngineChooser{plain, paced} {
			if err := e.ObserveSum(LoadSum{Hosts: 60, Digest: EncodeLoads(loads, 4<<10)}, nil, 60); err != nil {
				rt.Fatal(err)
			}
		}
		slowFirst(rt, paced, 1)
		for i := range 20 {
			req := EngineRequest{Model: "m", Events: 20, Parts: []PromptPart{{ID: fmt.Sprint("s", i), Tokens: 13_000}, {ID: "own", Tokens: 500}}}
			want, _ := plain.Choose(req)
			if got, _ := paced.Choose(req); got.Endpoint != want.Endpoint {
				rt.Errorf("prompt %d: chose %+v, without paces %+v", i, got, want)
			}
		}
	})
}

// TestSlotWaitIsNotPrefillTime guards against an estimate of the prefill time that rises with
// the wait for a slot, which made expected waits under overload more than half again too long.
func TestSlotWaitIsNotPrefillTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := NewEngineChooser(clock, "a")
		e.SetEngines([]EngineSpec{{ID: "e0", Slots: 2}})
		req := EngineRequest{Model: "m", Parts: []PromptPart{{ID: "p", Tokens: 2000}}}
		choice := EngineChoice{Endpoint: "e0", UncachedTokens: 2000}
		running := rapid.IntRange(0, 5).Draw(rt, "running")
		for range running {
			e.Start(choice, req).FirstEvent()
		}
		f := e.Start(choice, req)
		clock.Advance(time.Duration(rapid.IntRange(2, 20).Draw(rt, "seconds")) * time.Second)
		before := e.PrefillTime("m", 1000)
		f.FirstEvent()
		if changed := e.PrefillTime("m", 1000) != before; changed != (running < 2) {
			rt.Errorf("with %d requests at 2 slots, the prefill time changed: %v", running, changed)
		}
	})
}
