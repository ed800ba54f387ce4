package cascade_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/cascade"
)

// TestLadderKeepsMoreUnderPressure guards against a cascade that asks large
// models more often the less room there is.
func TestLadderKeepsMoreUnderPressure(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := cascade.Ladder{Models: rapid.IntRange(1, 4).Draw(rt, "models")}
		s := cascade.LadderState{
			Model:      rapid.IntRange(0, l.Models-1).Draw(rt, "model"),
			Confidence: rapid.IntRange(-1, 100).Draw(rt, "confidence"),
			Pressure:   rapid.Float64Range(0, 4).Draw(rt, "pressure"),
			Left:       time.Second,
		}
		for range l.Models {
			s.Needed = append(s.Needed, time.Duration(rapid.IntRange(0, 2000).Draw(rt, "needed"))*time.Millisecond)
		}
		next, escalate := l.Next(s)
		if escalate && (next <= s.Model || next >= l.Models || s.Needed[next] > 2*s.Left) {
			rt.Fatalf("model %d follows %d of %d with %v left for %v", next, s.Model, l.Models, s.Left, s.Needed)
		}
		s.Pressure /= 2
		if _, idle := l.Next(s); escalate && !idle {
			rt.Fatal("escalated under pressure and not without")
		}
	})
}

// TestLadderEscalatesPoorAnswers guards against poor answers that are kept
// although there is room for a larger model.
func TestLadderEscalatesPoorAnswers(t *testing.T) {
	l := cascade.Ladder{Models: 3}
	for confidence, want := range map[int]bool{0: true, 40: true, 90: false, -1: false} {
		if _, got := l.Next(cascade.LadderState{Confidence: confidence, Left: time.Second, Needed: make([]time.Duration, 3)}); got != want {
			t.Errorf("confidence %d: escalated %v", confidence, got)
		}
	}
}

// TestLadderSkipsModelsThatTakeTooLong guards against an answer that is dropped
// for one that the caller's deadline cuts.
func TestLadderSkipsModelsThatTakeTooLong(t *testing.T) {
	l := cascade.Ladder{Models: 3}
	s := cascade.LadderState{Left: 2 * time.Second, Needed: []time.Duration{0, 2 * time.Second, 6 * time.Second}}
	if next, up := l.Next(s); !up || next != 1 {
		t.Errorf("model %d, escalated %v, want the largest that has the time", next, up)
	}
	s.Left = time.Second / 2
	if _, up := l.Next(s); up {
		t.Error("escalated without the time for any model")
	}
}

// TestLadderKeepsAllWhenOverloaded guards against a burst in which each third
// request is read a second time by a large model, while the requests behind it
// miss their deadlines.
func TestLadderKeepsAllWhenOverloaded(t *testing.T) {
	l := cascade.Ladder{Models: 3}
	s := cascade.LadderState{Pressure: 5, Left: time.Minute, Needed: make([]time.Duration, 3)}
	if _, up := l.Next(s); up {
		t.Error("escalated at five times the work that the engines can do in time")
	}
	s.Pressure = 1
	if _, up := l.Next(s); !up {
		t.Error("kept a hopeless answer at full pressure")
	}
}
