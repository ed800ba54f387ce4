package rollout

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestControllerStepsSurviveRestartsAndRetries guards against a roll-out that
// skips a step, advances too early, continues with a suspect version, or acts
// twice when a controller dies between deciding and writing or retries a write
// whose reply was lost.
func TestControllerStepsSurviveRestartsAndRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		stored := Spec{Steps: []float64{0.1, 0.5, 1}, StepDuration: time.Minute}
		revision, now := 1, epoch
		since, rated, suspect := now, uint64(0), false
		type decision struct {
			action   Action
			revision int
		}
		var decisions []decision
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
			},
			"rate":    func(t *rapid.T) { rated += uint64(rapid.IntRange(1, 80).Draw(t, "answers")) },
			"detect":  func(t *rapid.T) { suspect = rapid.Bool().Draw(t, "suspect") },
			"restart": func(*rapid.T) { since, rated = now, 0 },
			"decide": func(t *rapid.T) {
				action, err := Decide(stored, Progress{Since: since, Rated: rated, Suspect: suspect}, now)
				if err != nil {
					t.Fatal(err)
				}
				repeated, _ := Decide(stored, Progress{Since: since, Rated: rated, Suspect: suspect}, now)
				early := rated < MinRatedAnswers || now.Sub(since) < stored.StepDuration
				forward := action.Kind == ActionAdvance || action.Kind == ActionFinish
				if action != repeated || forward && (early || suspect || stored.Phase != "") {
					t.Fatalf("decided %+v, then %+v, with %d rated answers, suspect %v, phase %q", action, repeated, rated, suspect, stored.Phase)
				}
				if suspect && stored.Phase != PhaseDone && stored.Phase != PhaseRolledBack && action.Kind != ActionRollBack {
					t.Fatalf("new version is suspect, got action %+v, want roll_back", action)
				}
				decisions = append(decisions, decision{action, revision})
			},
			"write": func(t *rapid.T) {
				if len(decisions) == 0 {
					t.Skip("no decision made yet")
				}
				d := rapid.SampledFrom(decisions).Draw(t, "decision")
				next := stored.Apply(d.action)
				if stored.Phase == PhaseRolledBack && next.Share() != 0 {
					t.Fatalf("share %v after a roll-back, want 0", next.Share())
				}
				if d.revision != revision {
					return
				}
				if next.Step > stored.Step+1 || next.Step < stored.Step {
					t.Fatalf("step index went to %d from %d", next.Step, stored.Step)
				}
				if twice := next.Apply(d.action); d.action.Kind != ActionNone && twice.Step != next.Step {
					t.Fatalf("second application moved the step index to %d from %d", twice.Step, next.Step)
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

// TestStaleActionChangesNothing guards against an action that is written again
// after its first write took effect.
func TestStaleActionChangesNothing(t *testing.T) {
	s := Spec{Steps: []float64{0.1, 0.5, 1}, Step: 1}
	for _, kind := range []ActionKind{ActionAdvance, ActionHalt, ActionRollBack, ActionFinish} {
		if next := s.Apply(Action{Kind: kind, FromStep: 0}); next.Step != 1 || next.Phase != "" {
			t.Errorf("action %s from step 0 changed the roll-out on step 1 to %+v", kind, next)
		}
	}
}

// TestStalledStepHalts guards against a roll-out that waits forever, unnoticed,
// for rated answers that do not arrive.
func TestStalledStepHalts(t *testing.T) {
	s := Spec{Steps: []float64{0.5, 1}, StepDuration: time.Minute}
	action, err := Decide(s, Progress{Since: epoch}, epoch.Add(stallFactor*time.Minute))
	if err != nil || action.Kind != ActionHalt || action.Reason == "" {
		t.Errorf("action %+v, error %v, want a halt with a reason", action, err)
	}
	if halted := s.Apply(action); halted.Phase != PhaseHalted || halted.Share() != 0.5 {
		t.Errorf("after the halt: %+v, want phase halted and share 0.5", halted)
	}
	for _, bad := range []Spec{{}, {Steps: []float64{0.5, 0.2}}, {Steps: []float64{1}, Step: 1}} {
		if _, err := Decide(bad, Progress{}, epoch); err == nil || bad.Share() != 0 {
			t.Errorf("invalid specification %+v accepted", bad)
		}
	}
}
