package dispatch

import (
	"net/http"
	"slices"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

// target holds the rank and the versions with which a request may run.
type target struct {
	rankName string
	rank     *resource.Rank
	// versions are the allowed versions, at most one for each model.
	versions []string
	// quality is the target pass rate of the answers; zero if the caller requested
	// a single model.
	quality float64
	// urgent is set for the most urgent rank.
	urgent bool
	// pin is the session and the version that it uses; zero without a session token.
	pin session.Pin
	// movedFrom is the version that the session used before it was moved; empty if it
	// was not moved.
	movedFrom string
}

// resolve checks the request against the configuration in force.
func (d *Dispatcher) resolve(req ChatRequest) (target, error) {
	snap := d.Config.Current()
	if !d.Config.Fresh() {
		return target{}, staleError()
	}
	t, err := resolveRank(snap, req.Team, req.Rank)
	if err != nil {
		return t, err
	}
	if req.Session != "" {
		return d.resolvePin(snap, req, t)
	}
	return d.resolveModels(snap, req, t)
}

// staleError is the error for a request that comes, or would be sent, while the configuration
// is not fresh.
func staleError() *api.Error {
	return apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "this host cannot confirm that its configuration is current")
}

func resolveRank(snap *resource.Snapshot, team, requested string) (target, error) {
	name, ok := snap.RankFor(team, requested)
	if name == "" || snap.Ranks[name] == nil {
		return target{}, apiError(http.StatusBadRequest, api.CodeUnknownRank, "unknown rank %q", requested)
	}
	if !ok {
		return target{}, apiError(http.StatusForbidden, api.CodeForbidden, "team %q may not use rank %q", team, name)
	}
	return target{rankName: name, rank: snap.Ranks[name], urgent: name == snap.RankNames()[0]}, nil
}

// resolvePin keeps a session on its version. The session moves to another version
// only if its version may no longer serve the team.
func (d *Dispatcher) resolvePin(snap *resource.Snapshot, req ChatRequest, t target) (target, error) {
	pin, err := d.Signer.Verify(req.Team, req.Session)
	if err != nil {
		return t, apiError(http.StatusBadRequest, api.CodeBadSession, "%v", err)
	}
	if req.Body.Model != pin.Model && req.Body.Model != resource.ModelAuto && req.Body.Model != "" {
		return t, apiError(http.StatusBadRequest, api.CodeBadSession, "the session is for model %q", pin.Model)
	}
	t.pin = pin
	if snap.MayServe(req.Team, pin.Version) {
		t.versions = []string{pin.Version}
		return t, nil
	}
	v, ok := d.pickVersion(snap, req.Team, pin.Model, req.Kind, resource.HashKey(pin.ID))
	if !ok {
		return t, apiError(http.StatusForbidden, api.CodeForbidden, "no version of model %q is allowed and serving", pin.Model)
	}
	t.movedFrom = pin.Version
	t.pin.Version = v
	t.versions = []string{v}
	return t, nil
}

func (d *Dispatcher) resolveModels(snap *resource.Snapshot, req ChatRequest, t target) (target, error) {
	models, quality, err := requestedModels(snap, req)
	if err != nil {
		return t, err
	}
	t.quality = quality
	hash := resource.HashKey(req.ID)
	for _, m := range models {
		if v, ok := d.pickVersion(snap, req.Team, m, req.Kind, hash); ok {
			t.versions = append(t.versions, v)
		}
	}
	if len(t.versions) == 0 {
		return t, apiError(http.StatusForbidden, api.CodeForbidden, "no version of %q is allowed and serving", req.Body.Model)
	}
	return t, nil
}

// suspectBuckets is the resolution of the traffic share of a suspect version.
const suspectBuckets = 10000

// pickVersion chooses the version of a model for a new request or session. A version
// that the detector suspects keeps only a share of the traffic. The rest goes to
// another version of the model, if there is one.
func (d *Dispatcher) pickVersion(snap *resource.Snapshot, team, model, kind string, hash uint64) (string, bool) {
	picked, ok := snap.PickVersion(team, model, hash)
	if !ok {
		return "", false
	}
	if snap.Versions[picked].State == resource.VersionSuspect {
		return picked, true // the snapshot has already reduced its share
	}
	share := d.Detector.Share(picked, kind)
	// Snapshot.PickVersion has already used the remainder of the hash to choose within
	// the roll-out step, so this choice uses the higher bits.
	if share >= 1 || float64(hash>>20%suspectBuckets) < share*suspectBuckets {
		return picked, true
	}
	for _, v := range slices.Backward(snap.VersionsOf(model)) {
		serving := snap.Versions[v].State == resource.VersionServing
		if v != picked && serving && snap.Allowed(team, v) && d.Detector.Share(v, kind) >= 1 {
			return v, true
		}
	}
	return picked, true
}

// requestedModels returns the models for the model name of a request and the quality
// target. "auto" stands for the first cascade by name that has a model of the team,
// or for all models of the team if there is none.
func requestedModels(snap *resource.Snapshot, req ChatRequest) ([]string, float64, error) {
	name := req.Body.Model
	if snap.Models[name] != nil {
		return []string{name}, 0, nil
	}
	if c := snap.Cascades[name]; c != nil {
		return c.Models, c.QualityTarget, nil
	}
	if name != resource.ModelAuto && name != "" {
		return nil, 0, apiError(http.StatusNotFound, api.CodeUnknownModel, "unknown model %q", name)
	}
	for _, c := range sortedCascades(snap) {
		if slices.ContainsFunc(c.Models, func(m string) bool { return slices.Contains(snap.Teams[req.Team].Models, m) }) {
			return c.Models, c.QualityTarget, nil
		}
	}
	return snap.Teams[req.Team].Models, 0, nil
}

func sortedCascades(snap *resource.Snapshot) []*resource.Cascade {
	var out []*resource.Cascade
	for _, r := range snap.Resources() {
		if c, ok := r.Spec.(*resource.Cascade); ok {
			out = append(out, c)
		}
	}
	return out
}
