package dispatch

import (
	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/resource"
)

// AdmissionConfig converts the ranks and teams of a configuration for the admission
// queue.
func AdmissionConfig(snap *resource.Snapshot) ([]admission.Rank, []admission.Team) {
	var ranks []admission.Rank
	for _, name := range snap.RankNames() {
		r := snap.Ranks[name]
		ranks = append(ranks, admission.Rank{
			Name: name, Priority: r.Priority, Floor: r.Floor, MaxWait: r.MaxWait.AsDuration(),
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
