package dispatch

import (
	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/resource"
)

// AdmissionConfig returns the ranks and teams of a configuration as the
// admission queue wants them.
func AdmissionConfig(snap *resource.Snapshot) ([]admission.Rank, []admission.Team) {
	var ranks []admission.Rank
	for _, name := range snap.RankNames() {
		r := snap.Ranks[name]
		ranks = append(ranks, admission.Rank{
			Name: name, Priority: r.Priority, Floor: r.Floor, MaxWait: r.MaxWait.D(),
		})
	}
	var teams []admission.Team
	for _, r := range snap.Resources() {
		if t, ok := r.Spec.(*resource.Team); ok {
			teams = append(teams, admission.Team{Name: r.Name, Weight: t.Weight})
		}
	}
	return ranks, teams
}
