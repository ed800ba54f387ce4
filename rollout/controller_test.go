package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestControllers guards against a roll-out that skips a step, advances too
// early, goes on with a suspect version, or acts twice when a controller dies
// between deciding and writing, or repeats a write whose reply was lost.
func TestControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := Spec{Steps: []float64{0.1, 0.5, 1}, StepDuration: time.Minute}
		revision, now := 1, epoch
		since, rated, suspect := now, uint64(0), false
		type decision struct {
			action   Action
			revision int
		}
		var decided []decision
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
			"rate":    func(t *rapid.T) { rated += uint64(rapid.IntRange(1, 80).Draw(t, "answers")) },
			"fall":    func(t *rapid.T) { suspect = rapid.Bool().Draw(t, "suspect") },
			"restart": func(*rapid.T) { since, rated = now, 0 },
			"decide": func(t *rapid.T) {
				action, err := Decide(stored, Progress{Since: since, Rated: rated, Suspect: suspect}, now)
				if err != nil {
					t.Fatal(err)
				}
				again, _ := Decide(stored, Progress{Since: since, Rated: rated, Suspect: suspect}, now)
				early := rated < MinRatedAnswers || now.Sub(since) < stored.StepDuration
				forward := action.Kind == ActionAdvance || action.Kind == ActionFinish
				if action != again || forward && (early || suspect || stored.Phase != "") {
					t.Fatalf("%+v, then %+v, rated %d, suspect %v, phase %q", action, again, rated, suspect, stored.Phase)
				}
				if suspect && stored.Phase != PhaseDone && stored.Phase != PhaseRolledBack && action.Kind != ActionRollBack {
					t.Fatalf("suspect, but %+v", action)
				}
				decided = append(decided, decision{action, revision})
			},
			"write": func(t *rapid.T) {
				if len(decided) == 0 {
					t.Skip("nothing decided")
				}
				d := rapid.SampledFrom(decided).Draw(t, "decision")
				next := stored.Apply(d.action)
				if stored.Phase == PhaseRolledBack && next.Share() != 0 {
					t.Fatalf("rolled back, then share %v", next.Share())
				}
				if d.revision != revision {
					return
				}
				if next.Step > stored.Step+1 || next.Step < stored.Step {
					t.Fatalf("step %d after %d", next.Step, stored.Step)
				}
				if twice := next.Apply(d.action); d.action.Kind != ActionNone && twice.Step != next.Step {
					t.Fatalf("applied twice: step %d after %d", twice.Step, next.Step)
				}
				if next.Step != stored.Step {
					since, rated = now, 0
				}
				stored = next
				revision++
			},
		})
	})
}

// TestStaleAction guards against an action that is written a second time after
// its first write took effect.
func TestStaleAction(t *testing.T) {
	s := Spec{Steps: []float64{0.1, 0.5, 1}, Step: 1}
	for _, kind := range []ActionKind{ActionAdvance, ActionHalt, ActionRollBack, ActionFinish} {
		if next := s.Apply(Action{Kind: kind, FromStep: 0}); next.Step != 1 || next.Phase != "" {
			t.Errorf("%s from step 0 changed step 1 to %+v", kind, next)
		}
	}
}

// TestStalledStepHalts guards against a roll-out that waits for ever, unseen,
// for rated answers that do not come.
func TestStalledStepHalts(t *testing.T) {
	s := Spec{Steps: []float64{0.5, 1}, StepDuration: time.Minute}
	action, err := Decide(s, Progress{Since: epoch}, epoch.Add(stallFactor*time.Minute))
	if err != nil || action.Kind != ActionHalt || action.Reason == "" {
		t.Errorf("%+v, %v", action, err)
	}
	if halted := s.Apply(action); halted.Phase != PhaseHalted || halted.Share() != 0.5 {
		t.Errorf("after the halt: %+v", halted)
	}
	for _, bad := range []Spec{{}, {Steps: []float64{0.5, 0.2}}, {Steps: []float64{1}, Step: 1}} {
		if _, err := Decide(bad, Progress{}, epoch); err == nil || bad.Share() != 0 {
			t.Errorf("%+v accepted", bad)
		}
	}
}
