package cascade_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/cascade"
)

// TestEscalationPolicyKeepsMoreUnderPressure guards against a cascade that asks large
// models more often the less room there is.
func TestEscalationPolicyKeepsMoreUnderPressure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := cascade.EscalationPolicy{Models: rapid.IntRange(1, 4).Draw(rt, "models")}
		s := cascade.EscalationInput{
			Model:      rapid.IntRange(0, l.Models-1).Draw(rt, "model"),
			Confidence: rapid.IntRange(-1, 100).Draw(rt, "confidence"),
			Pressure:   rapid.Float64Range(0, 4).Draw(rt, "pressure"),
			TimeLeft:   time.Second,
		}
		for range l.Models {
			s.ExpectedTimes = append(s.ExpectedTimes, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "needed"))*time.Millisecond)
		}
		next, escalate := l.Next(s)
		if escalate && (next <= s.Model || next >= l.Models || s.ExpectedTimes[next] > 2*s.TimeLeft) {
			rt.Fatalf("model %d follows %d of %d with %v left for %v", next, s.Model, l.Models, s.TimeLeft, s.ExpectedTimes)
		}
		s.Pressure /= 2
		if _, idle := l.Next(s); escalate && !idle {
			rt.Fatal("escalated under pressure and not without")
		}
	})
}

// TestEscalationPolicyEscalatesPoorAnswers guards against poor answers that are kept
// although there is room for a larger model.
func TestEscalationPolicyEscalatesPoorAnswers(t *testing.T) {
	l := cascade.EscalationPolicy{Models: 3}
	for confidence, want := range map[int]bool{0: true, 40: true, 90: false, -1: false} {
		if _, got := l.Next(cascade.EscalationInput{Confidence: confidence, TimeLeft: time.Second, ExpectedTimes: make([]time.Duration, 3)}); got != want {
			t.Errorf("confidence %d: escalated %v", confidence, got)
		}
	}
}

// TestEscalationPolicySkipsModelsThatTakeTooLong guards against an answer that is dropped
// for one that the caller's deadline cuts.
func TestEscalationPolicySkipsModelsThatTakeTooLong(t *testing.T) {
	l := cascade.EscalationPolicy{Models: 3}
	s := cascade.EscalationInput{TimeLeft: 2 * time.Second, ExpectedTimes: []time.Duration{0, 2 * time.Second, 6 * time.Second}}
	if next, up := l.Next(s); !up || next != 1 {
		t.Errorf("model %d, escalated %v, want the largest that has the time", next, up)
	}
	s.TimeLeft = time.Second / 2
	if _, up := l.Next(s); up {
		t.Error("escalated without the time for any model")
	}
}

// TestEscalationPolicyKeepsAllWhenOverloaded guards against a burst in which each third
// request is read a second time by a large model, while the requests behind it
// miss their deadlines.
func TestEscalationPolicyKeepsAllWhenOverloaded(t *testing.T) {
	l := cascade.EscalationPolicy{Models: 3}
	s := cascade.EscalationInput{Pressure: 5, TimeLeft: time.Minute, ExpectedTimes: make([]time.Duration, 3)}
	if _, up := l.Next(s); up {
		t.Error("escalated at five times the work that the engines can do in time")
	}
	s.Pressure = 1
	if _, up := l.Next(s); !up {
		t.Error("kept a hopeless answer at full pressure")
	}
}
