package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/configstore"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/rollout"
)

// systemAuthor is the author of changes that the system makes itself.
const systemAuthor = "corianderlever"

// rolloutManager advances roll-outs and writes verdicts on versions into the
// configuration. Losing its state only causes delay: a new holder waits for the
// duration of the current step again.
type rolloutManager struct {
	opts     *Options
	config   *configurationService
	detector *rollout.Detector
	steps    map[string]observedStep
	suspects map[string]observedSuspect
}

// observedSuspect is the time at which this holder first saw a version as suspect
// in the configuration, and the number of rated answers at that time.
type observedSuspect struct {
	since time.Time
	rated uint64
}

// clearDelay is the time in which the verdicts of the other hosts reach a new
// holder. It covers several heartbeats.
const clearDelay = 5 * time.Second

// observedStep is the time at which this holder first saw a step in force.
type observedStep struct {
	step  int
	since time.Time
	// rated is the number of rated answers of the new version at that time.
	rated uint64
}

// act writes at most one change of the configuration. The next round sees its
// result.
func (s *rolloutManager) act(ctx context.Context, _ int64) error {
	snap := s.config.Current()
	set := s.verdicts(snap)
	for _, r := range snap.Resources() {
		spec, ok := r.Spec.(*resource.Rollout)
		if !ok {
			continue
		}
		changed, err := s.step(r.Name, spec)
		if err != nil {
			return errors.Wrapf(err, "daemon: roll-out %q", r.Name)
		}
		if changed != nil {
			set = append(set, resource.Resource{Kind: resource.KindRollout, Name: r.Name, Spec: changed})
		}
	}
	if len(set) == 0 {
		return nil
	}
	revision, err := s.config.Apply(ctx, configstore.Change{ExpectRevision: snap.Revision, Set: set, Author: systemAuthor})
	if errors.Is(err, configstore.ErrConflict) {
		return nil // another change came first; the next round decides again
	}
	if err != nil {
		return errors.Wrap(err, "daemon: write verdicts and steps")
	}
	s.opts.Logger.Info("verdicts and steps written", "revision", revision, "resources", len(set))
	return nil
}

// verdicts returns the versions whose state differs from the detector's verdict,
// with the new state.
func (s *rolloutManager) verdicts(snap *resource.Snapshot) []resource.Resource {
	var out []resource.Resource
	for _, r := range snap.Resources() {
		v, ok := r.Spec.(*resource.Version)
		if !ok || v.State == resource.VersionWithdrawn {
			continue
		}
		state := s.detector.VersionState(r.Name)
		want := resource.VersionServing
		if state.Suspect {
			want = resource.VersionSuspect
		}
		if v.State == resource.VersionServing {
			delete(s.suspects, r.Name)
		}
		if v.State == want || (want == resource.VersionServing && !s.canClear(r.Name, state.Rated)) {
			continue
		}
		s.opts.Logger.Warn("version "+string(want), "version", r.Name, "rated", state.Rated, "suspicion", state.Suspicion)
		changed := *v
		changed.State = want
		out = append(out, resource.Resource{Kind: r.Kind, Name: r.Name, Spec: &changed})
	}
	return out
}

// canClear reports whether this holder may clear a suspect version that its own
// detector does not suspect. It may if it has received the end of the verdict, or,
// in case no host still has the verdict, MinRatedAnswers rated answers since it
// first saw the version as suspect. Earlier answers do not count, because a
// restarted host may receive them before the verdict.
func (s *rolloutManager) canClear(version string, rated uint64) bool {
	now := s.opts.Clock.Now()
	seen, ok := s.suspects[version]
	if !ok {
		if s.suspects == nil {
			s.suspects = make(map[string]observedSuspect)
		}
		seen = observedSuspect{since: now, rated: rated}
		s.suspects[version] = seen
	}
	if now.Sub(seen.since) < clearDelay {
		return false
	}
	ended := slices.ContainsFunc(s.detector.Verdicts(), func(v rollout.Verdict) bool { return v.Version == version && !v.Suspect })
	return ended || rated >= seen.rated+rollout.MinRatedAnswers
}

// step returns the changed roll-out, or nil if it stays as it is.
func (s *rolloutManager) step(name string, r *resource.Rollout) (*resource.Rollout, error) {
	state := s.detector.VersionState(r.To)
	seen := s.observeStep(name, r.Step, state.Rated)
	spec := rollout.Spec{Steps: r.Steps, StepDuration: r.StepDuration.AsDuration(), Step: r.Step, Phase: rollout.Phase(r.State)}
	action, err := rollout.Decide(spec, rollout.Progress{
		Since: seen.since, Rated: state.Rated - min(seen.rated, state.Rated), Suspect: state.Suspect, Suspicion: state.Suspicion,
	}, s.opts.Clock.Now())
	if err != nil || action.Kind == rollout.ActionNone {
		return nil, err
	}
	next := spec.Apply(action)
	s.opts.Logger.Info("roll-out "+string(action.Kind), "rollout", name, "step", next.Step, "reason", action.Reason)
	changed := *r
	changed.Step, changed.State, changed.Reason = next.Step, resource.RolloutState(next.Phase), action.Reason
	return &changed, nil
}

// observeStep returns the time at which the step of a roll-out was first seen in
// force, and the number of rated answers at that time.
func (s *rolloutManager) observeStep(name string, step int, rated uint64) observedStep {
	if s.steps == nil {
		s.steps = make(map[string]observedStep)
	}
	seen, ok := s.steps[name]
	if !ok || seen.step != step {
		seen = observedStep{step: step, since: s.opts.Clock.Now(), rated: rated}
		s.steps[name] = seen
	}
	return seen
}
