package check

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/resource"
)

// hashes cover every step of the generated roll-outs and the share of a suspect version.
var hashes = []uint64{0, 50, 500, 4999, 5001, 9999}

// drawConfiguration returns a valid configuration with few names, so that entries
// often refer to each other.
func drawConfiguration(t *rapid.T) []resource.Resource {
	var out []resource.Resource
	add := func(kind resource.Kind, name string, spec any) {
		out = append(out, resource.Resource{Kind: kind, Name: name, Spec: spec})
	}
	some := func(label string, names []string) []string {
		return slices.DeleteFunc(slices.Clone(names), func(string) bool { return rapid.Bool().Draw(t, label) })
	}
	models, versions := []string{"m", "n"}, []string{}
	for _, m := range models {
		add(resource.KindModel, m, &resource.Model{})
		for i := range rapid.IntRange(0, 3).Draw(t, "versions") {
			name := fmt.Sprintf("%s-%d", m, i)
			versions = append(versions, name)
			state := rapid.SampledFrom([]resource.VersionState{resource.VersionServing, resource.VersionSuspect, resource.VersionWithdrawn}).Draw(t, "state")
			add(resource.KindVersion, name, &resource.Version{Model: m, State: state, PassRate: rapid.Float64Range(0, 1).Draw(t, "pass rate")})
		}
		if slices.Contains(versions, m+"-2") {
			for _, name := range []string{"a", "b"} {
				pair := rapid.Permutation([]string{m + "-0", m + "-1", m + "-2"}).Draw(t, "pair")
				state := rapid.SampledFrom([]resource.RolloutState{resource.RolloutRunning, resource.RolloutDone, resource.RolloutRolledBack}).Draw(t, "state")
				add(resource.KindRollout, name+m, &resource.Rollout{Model: m, From: pair[0], To: pair[1], Steps: []float64{0.5, 1}, State: state})
			}
		}
	}
	add(resource.KindCascade, "c", &resource.Cascade{Models: models[:rapid.IntRange(1, 2).Draw(t, "models")], QualityTarget: 0.9})
	ranks := []string{"r", "s"}
	for i, name := range ranks {
		wait := resource.Duration(rapid.IntRange(1, 3).Draw(t, "wait"))
		add(resource.KindRank, name, &resource.Rank{Priority: i, Floor: 0.5, Deadline: 2, MaxWait: wait, Default: rapid.Bool().Draw(t, "default")})
	}
	for i := range rapid.IntRange(0, 2).Draw(t, "teams") {
		add(resource.KindTeam, fmt.Sprint("t", i), &resource.Team{
			KeyHashes: []string{strings.Repeat(fmt.Sprint(i), 64)}, Weight: 1,
			Models: some("model", models), Versions: some("version", versions), Ranks: some("rank", ranks),
		})
	}
	if list := some("served", versions); len(list) > 0 {
		add(resource.KindEndpoint, "e", &resource.Endpoint{
			Address: "127.0.0.1:1", FailureDomain: "a", Versions: list, Concurrency: 1, State: resource.EndpointActive,
		})
	}
	return out
}

// TestFindingsAgreeWithTheSnapshot guards against errors about a valid configuration,
// and against a finding about an entry that does take effect: what the snapshot
// decides for requests is the oracle.
func TestFindingsAgreeWithTheSnapshot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawConfiguration(t)
		snap, err := resource.NewSnapshot(1, list)
		if err != nil {
			t.Fatalf("the generated configuration is invalid: %v", err)
		}
		for _, f := range Run(list) {
			if f.Severity == SeverityError || takesEffect(t, snap, f) {
				t.Errorf("false finding: %v", f)
			}
		}
	})
}

func takesEffect(t *rapid.T, snap *resource.Snapshot, f Finding) bool {
	picked := func(s *resource.Snapshot, model string) (all []string) {
		for _, team := range teamNames(s) {
			for _, h := range hashes {
				v, _ := s.PickVersion(team, model, h)
				all = append(all, v)
			}
		}
		return all
	}
	served := func(model string) bool {
		return slices.ContainsFunc(picked(snap, model), func(v string) bool { return v != "" })
	}
	anyTeam := func(has func(team string) bool) bool { return slices.ContainsFunc(teamNames(snap), has) }
	switch f.Code {
	case CodeModelUnserved, CodeModelUnused:
		return served(f.Name)
	case CodeCascadeUnused:
		return slices.ContainsFunc(snap.Cascades[f.Name].Models, served)
	case CodeVersionUnserved:
		return len(snap.EndpointsForVersion(f.Name)) > 0
	case CodeVersionUnused:
		return anyTeam(func(team string) bool { return snap.Allowed(team, f.Name) })
	case CodeRankUnused:
		return anyTeam(func(team string) bool { _, ok := snap.RankFor(team, f.Name); return ok })
	case CodeDefaultIgnored:
		return anyTeam(func(team string) bool { name, _ := snap.RankFor(team, ""); return name == f.Name })
	case CodeRolloutTarget:
		return slices.Contains(picked(snap, snap.Rollouts[f.Name].Model), snap.Rollouts[f.Name].To)
	case CodeRolloutShadowed:
		model := snap.Rollouts[f.Name].Model
		rest := slices.DeleteFunc(snap.Resources(), func(r resource.Resource) bool { return r.Name == f.Name })
		without, err := resource.NewSnapshot(1, rest)
		if err != nil {
			t.Fatal(err)
		}
		return !slices.Equal(picked(snap, model), picked(without, model))
	case CodeEndpointUnused:
		return slices.ContainsFunc(snap.Endpoints[f.Name].Versions, func(v string) bool { return snap.Versions[v].State != resource.VersionWithdrawn })
	case CodeTeamIgnored:
		field, index, team := "", 0, snap.Teams[f.Name]
		if _, err := fmt.Sscanf(strings.NewReplacer("[", " ", "]", " ").Replace(f.Field), "%s %d", &field, &index); err != nil {
			t.Fatal(err)
		}
		if field == "versions" {
			return snap.Allowed(f.Name, team.Versions[index])
		}
		return slices.ContainsFunc(snap.VersionsOf(team.Models[index]), func(v string) bool { return snap.Allowed(f.Name, v) })
	}
	return false
}

func teamNames(s *resource.Snapshot) (names []string) {
	for name := range s.Teams {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
