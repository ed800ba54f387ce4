package cascade_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/cascade"
)

// TestEscalationPolicyKeepsMoreUnderPressure guards against a policy that escalates
// to larger models more often the higher the load.
func TestEscalationPolicyKeepsMoreUnderPressure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := cascade.EscalationPolicy{Models: rapid.IntRange(1, 4).Draw(rt, "models")}
		s := cascade.EscalationInput{
			Model:      rapid.IntRange(0, policy.Models-1).Draw(rt, "model"),
			Confidence: rapid.IntRange(-1, 100).Draw(rt, "confidence"),
			Pressure:   rapid.Float64Range(0, 4).Draw(rt, "pressure"),
			TimeLeft:   time.Second,
		}
		for range policy.Models {
			s.ExpectedTimes = append(s.ExpectedTimes, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "expected time"))*time.Millisecond)
		}
		next, escalate := policy.Next(s)
		if escalate && (next <= s.Model || next >= policy.Models || s.ExpectedTimes[next] > 2*s.TimeLeft) {
			rt.Fatalf("escalated to model %d from %d of %d with %v left and expected times %v", next, s.Model, policy.Models, s.TimeLeft, s.ExpectedTimes)
		}
		s.Pressure /= 2
		if _, stillEscalates := policy.Next(s); escalate && !stillEscalates {
			rt.Fatal("escalated under pressure but kept the answer at half the pressure")
		}
	})
}

// TestEscalationPolicyEscalatesPoorAnswers guards against poor answers that are kept
// although the engines have capacity for a larger model.
func TestEscalationPolicyEscalatesPoorAnswers(t *testing.T) {
	policy := cascade.EscalationPolicy{Models: 3}
	for confidence, want := range map[int]bool{0: true, 40: true, 90: false, -1: false} {
		if _, got := policy.Next(cascade.EscalationInput{Confidence: confidence, TimeLeft: time.Second, ExpectedTimes: make([]time.Duration, 3)}); got != want {
			t.Errorf("confidence %d: escalated %v, want the opposite", confidence, got)
		}
	}
}

// TestEscalationPolicySkipsModelsThatTakeTooLong guards against an answer that is
// discarded for one that the deadline cuts off.
func TestEscalationPolicySkipsModelsThatTakeTooLong(t *testing.T) {
	policy := cascade.EscalationPolicy{Models: 3}
	s := cascade.EscalationInput{TimeLeft: 2 * time.Second, ExpectedTimes: []time.Duration{0, 2 * time.Second, 6 * time.Second}}
	if next, escalate := policy.Next(s); !escalate || next != 1 {
		t.Errorf("model %d, escalated %v, want 1, the largest that can finish in time", next, escalate)
	}
	s.TimeLeft = time.Second / 2
	if _, escalate := policy.Next(s); escalate {
		t.Error("escalated although no model can finish in time")
	}
}

// TestEscalationPolicyKeepsAllWhenOverloaded guards against escalations during a
// burst: if a large model processes every third prompt a second time, the requests
// queued behind it miss their deadlines.
func TestEscalationPolicyKeepsAllWhenOverloaded(t *testing.T) {
	policy := cascade.EscalationPolicy{Models: 3}
	s := cascade.EscalationInput{Pressure: 5, TimeLeft: time.Minute, ExpectedTimes: make([]time.Duration, 3)}
	if _, escalate := policy.Next(s); escalate {
		t.Error("escalated at pressure 5")
	}
	s.Pressure = 1
	if _, escalate := policy.Next(s); !escalate {
		t.Error("kept an answer of confidence 0 at pressure 1")
	}
}
