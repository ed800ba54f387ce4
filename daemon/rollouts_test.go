package daemon

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/rollout"
)

// TestNewHolderClearsVersionOnlyWithEvidence guards against a new holder of the
// role that clears a version which other hosts suspect, because it has received
// their rated answers but not their verdict yet. Also guards against a version that
// stays suspect after the verdict has ended, or when no host has the verdict any
// more.
func TestNewHolderClearsVersionOnlyWithEvidence(t *testing.T) {
	clock := clockwork.NewFakeClock()
	snap, err := resource.NewSnapshot(1, []resource.Resource{
		{Kind: resource.KindModel, Name: "m", Spec: &resource.Model{}},
		{Kind: resource.KindVersion, Name: "v", Spec: &resource.Version{Model: "m", State: resource.VersionSuspect}},
	})
	if err != nil {
		t.Fatal(err)
	}
	newHolder := func() *rolloutManager {
		s := &rolloutManager{
			opts:     &Options{Clock: clock, Logger: slog.New(slog.DiscardHandler)},
			detector: rollout.NewDetector(rollout.Config{Host: "new"}, clock),
		}
		s.merge(t, 0, 900, 100)
		return s
	}
	check := func(s *rolloutManager, cleared bool, when string) {
		t.Helper()
		if got := len(s.verdicts(snap)) > 0; got != cleared {
			t.Errorf("%s: cleared=%t, want %t", when, got, cleared)
		}
	}

	s := newHolder()
	check(s, false, "with old answers and no verdict")
	clock.Advance(time.Minute)
	check(s, false, "a minute later")
	s.merge(t, 1, 900, 100)
	check(s, false, "with the verdict")
	s.merge(t, 2, 900, 100)
	check(s, true, "with the end of the verdict")

	s = newHolder()
	check(s, false, "a second holder at first")
	clock.Advance(clearDelay)
	s.merge(t, 0, 900+rollout.MinRatedAnswers, 100)
	check(s, true, "with new answers and a verdict that no host has any more")
}

// merge merges a summary of another host with counts of rated answers and the epoch of
// its verdict.
func (s *rolloutManager) merge(t *testing.T, epoch int64, pass, fail uint64) {
	t.Helper()
	err := s.detector.Merge(rollout.Summary{Host: "other", Incarnation: 1, Classes: []rollout.ClassSummary{{
		Version: "v", Kind: "k", Pass: pass, Fail: fail, Epoch: epoch, Suspect: epoch%2 == 1, Drop: 0.4, Reference: 0.9,
	}}})
	if err != nil {
		t.Fatal(err)
	}
}
