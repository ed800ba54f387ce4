package rollout

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Phase is the state of a roll-out.
type Phase string

// The phases of a roll-out.
const (
	PhaseRunning    Phase = "running"
	PhaseHalted     Phase = "halted"
	PhaseDone       Phase = "done"
	PhaseRolledBack Phase = "rolled_back"
)

// Spec is the specification of a roll-out as stored in the configuration.
type Spec struct {
	// Steps are increasing shares of new work for the new version. The last one
	// is 1.
	Steps []float64
	// StepDuration is the minimum time on each step.
	StepDuration time.Duration
	// Step is the index of the current step.
	Step int
	// Phase is the state of the roll-out. An empty phase means running.
	Phase Phase
}

// Progress is what the leader of the controller role has observed on the
// current step.
type Progress struct {
	// Since is when the step took effect, or when the current leader first
	// observed it. A new leader therefore waits for the full step duration again.
	Since time.Time
	// Rated is the number of rated answers of the new version since then.
	Rated uint64
	// Suspect reports whether a class of the new version is suspect.
	Suspect bool
	// Suspicion is the highest suspicion of any class of the new version.
	Suspicion float64
}

// ActionKind is the kind of a controller decision.
type ActionKind string

// The actions.
const (
	ActionNone     ActionKind = "nothing"
	ActionAdvance  ActionKind = "advance"
	ActionHalt     ActionKind = "halt"
	ActionRollBack ActionKind = "roll_back"
	ActionFinish   ActionKind = "finish"
)

// Action is a decision of the controller. It is applied to the specification
// for which it was made, by compare-and-swap on the configuration's revision.
type Action struct {
	// Kind is the kind of the action.
	Kind ActionKind
	// FromStep is the index of the step at the time of the decision.
	FromStep int
	// Reason explains the decision.
	Reason string
}

const (
	// MinRatedAnswers is the minimum number of rated answers on a step before
	// the roll-out advances. A version whose pass rate dropped from 0.9 to 0.5
	// is detected within that many answers.
	MinRatedAnswers = 100
	// advanceMaxSuspicion is the suspicion from which a roll-out stays on its
	// step until the suspicion decreases or the version becomes suspect.
	advanceMaxSuspicion = 0.3
	// stallFactor is the number of step durations without a decision after
	// which the roll-out halts, so that an operator notices it.
	stallFactor = 10
)

// Decide returns the next action. It depends only on its arguments, so that if
// a host dies between deciding and writing, its successor makes the same
// decision from the same configuration.
func Decide(s Spec, p Progress, now time.Time) (Action, error) {
	if err := s.validate(); err != nil {
		return Action{}, err
	}
	action := func(kind ActionKind, format string, args ...any) (Action, error) {
		return Action{Kind: kind, FromStep: s.Step, Reason: fmt.Sprintf(format, args...)}, nil
	}
	if s.Phase == PhaseDone || s.Phase == PhaseRolledBack {
		return action(ActionNone, "roll-out is %s", s.Phase)
	}
	if p.Suspect {
		return action(ActionRollBack, "new version is suspect on step %d", s.Step)
	}
	if s.Phase == PhaseHalted {
		return action(ActionNone, "halted until an operator resumes")
	}
	elapsed := now.Sub(p.Since)
	switch {
	case elapsed < s.StepDuration:
		return action(ActionNone, "step %d has run %s of %s", s.Step, elapsed, s.StepDuration)
	case p.Rated < MinRatedAnswers && elapsed >= stallFactor*s.StepDuration:
		return action(ActionHalt, "only %d rated answers on step %d after %s", p.Rated, s.Step, elapsed)
	case p.Rated < MinRatedAnswers:
		return action(ActionNone, "%d of %d rated answers on step %d", p.Rated, MinRatedAnswers, s.Step)
	case p.Suspicion >= advanceMaxSuspicion && elapsed >= stallFactor*s.StepDuration:
		return action(ActionHalt, "suspicion %.2f on step %d after %s", p.Suspicion, s.Step, elapsed)
	case p.Suspicion >= advanceMaxSuspicion:
		return action(ActionNone, "suspicion %.2f on step %d", p.Suspicion, s.Step)
	case s.Step == len(s.Steps)-1:
		return action(ActionFinish, "last step passed with %d rated answers", p.Rated)
	}
	return action(ActionAdvance, "step %d passed with %d rated answers", s.Step, p.Rated)
}

// Apply returns the specification after the action. An action for another step
// or for a roll-out that has ended changes nothing, so that a retried write has
// no second effect.
func (s Spec) Apply(a Action) Spec {
	ended := s.Phase == PhaseDone || s.Phase == PhaseRolledBack
	if ended || a.FromStep != s.Step {
		return s
	}
	switch a.Kind {
	case ActionAdvance:
		if s.Phase != PhaseHalted && s.Step < len(s.Steps)-1 {
			s.Step++
		}
	case ActionHalt:
		s.Phase = PhaseHalted
	case ActionRollBack:
		s.Phase = PhaseRolledBack
	case ActionFinish:
		if s.Phase != PhaseHalted {
			s.Phase = PhaseDone
		}
	case ActionNone:
	}
	return s
}

// Share returns the share of new work that the new version receives.
func (s Spec) Share() float64 {
	switch {
	case s.Phase == PhaseRolledBack || s.validate() != nil:
		return 0
	case s.Phase == PhaseDone:
		return 1
	}
	return s.Steps[s.Step]
}

func (s Spec) validate() error {
	if s.Step < 0 || s.Step >= len(s.Steps) {
		return errors.Wrapf(ErrInvalid, "step index %d is outside the %d steps", s.Step, len(s.Steps))
	}
	previous := 0.0
	for _, share := range s.Steps {
		if !(share > previous && share <= 1) {
			return errors.Wrapf(ErrInvalid, "steps %v are not increasing shares up to 1", s.Steps)
		}
		previous = share
	}
	return nil
}
