package balance

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// plainChoice searches all engines for the one of least cost, without shortcuts.
func plainChoice(e *EngineChooser, req EngineRequest) (best EngineChoice, found bool) {
	now, keys := e.clock.Now(), partKeys(req.Model, req.Parts)
	var serving []*engine
	for _, en := range e.order {
		if (req.Version == "" || en.spec.Version == req.Version) && !slices.Contains(req.Exclude, en.spec.ID) {
			serving = append(serving, en)
		}
	}
	byScore := slices.Clone(serving)
	slices.SortStableFunc(byScore, func(a, b *engine) int {
		if rendezvousScore(keys, a) > rendezvousScore(keys, b) {
			return -1
		}
		return 1
	})
	for _, withAvoided := range []bool{false, true} {
		bestCost := math.Inf(1)
		for _, en := range serving {
			if !withAvoided && (now.Before(en.avoidUntil) || en.weight == 0) {
				continue
			}
			preferred := len(keys) > 0 && en == byScore[0]
			c, cost := e.evaluate(en, req, keys, e.timing(req.Model), preferred, now)
			alternative := !e.fleetKnown(now) || slices.Index(byScore, en) < alternativeCount || len(keys) == 0
			if !withAvoided && c.Reason == ReasonLoad && !alternative {
				continue
			}
			if cost < bestCost {
				best, bestCost = c, cost
			}
		}
		if !math.IsInf(bestCost, 1) {
			return best, true
		}
	}
	return best, false
}

// TestChoiceEqualsPlainSearch guards against a choice that differs from a search of all
// engines, and against engines that stay excluded after the request that excluded them.
func TestChoiceEqualsPlainSearch(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		e := NewEngineChooser(clock, "a")
		var specs []EngineSpec
		loads := make(map[string]EngineLoad)
		for i := range rapid.IntRange(1, 30).Draw(rt, "engines") {
			id := fmt.Sprint("e", i)
			specs = append(specs, EngineSpec{
				ID: id, FailureDomain: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "domain"),
				Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "version"), CacheTokens: 2000,
			})
			loads[id] = EngineLoad{Running: rapid.IntRange(0, 5).Draw(rt, "running"), BacklogMS: []int64{rapid.Int64Range(0, 400).Draw(rt, "backlog")}}
		}
		e.SetEngines(specs)
		if rapid.Bool().Draw(rt, "summed") {
			if err := e.ObserveSum(LoadSum{Hosts: 100, Digest: EncodeLoads(loads, 1<<16)}, nil, 100); err != nil {
				rt.Fatal(err)
			}
		}
		id := rapid.Custom(func(rt *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, 30).Draw(rt, "id")) })
		for range rapid.IntRange(1, 10).Draw(rt, "requests") {
			if rapid.Bool().Draw(rt, "avoid") {
				e.Avoid(id.Draw(rt, "avoided"), time.Second)
			}
			e.SetWeight(id.Draw(rt, "weighted"), rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(rt, "weight"))
			req := EngineRequest{
				Model: "m", Version: rapid.SampledFrom([]string{"", "v1", "v2", "v3"}).Draw(rt, "version"),
				Exclude: rapid.SliceOf(id).Draw(rt, "exclude"),
			}
			for range rapid.IntRange(0, 3).Draw(rt, "parts") {
				req.Parts = append(req.Parts, PromptPart{ID: rapid.SampledFrom([]string{"p", "q", "r"}).Draw(rt, "part"), Tokens: 500})
			}
			want, found := plainChoice(e, req)
			got, err := e.Choose(req)
			if found != (err == nil) || got != want {
				rt.Fatalf("chose %+v (%v), want %+v (%v)", got, err, want, found)
			}
			if err == nil {
				e.Start(got, req)
			}
			clock.Advance(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
		}
	})
}
