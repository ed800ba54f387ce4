package resource

import (
	"cmp"
	"maps"
	"net/netip"
	"regexp"
	"slices"
)

// TermsName is the required name of the Terms resource.
const TermsName = "terms"

// ModelAuto is the model name by which a caller leaves the choice of the model to
// the router.
const ModelAuto = "auto"

var (
	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// index fills the maps and reports invalid names and duplicates.
func (s *Snapshot) index(p *problems) {
	seen := make(map[Key]bool)
	for _, r := range s.resources {
		if !namePattern.MatchString(r.Name) {
			p.add(r, "name", "must match %s", namePattern)
		}
		if seen[r.Key()] {
			p.add(r, "name", "declared twice")
			continue
		}
		seen[r.Key()] = true
		s.indexResource(p, r)
	}
	s.indexRanks()
}

func (s *Snapshot) indexResource(p *problems, r Resource) {
	switch spec := r.Spec.(type) {
	case *Model:
		s.Models[r.Name] = spec
	case *Version:
		s.Versions[r.Name] = spec
		s.byModel[spec.Model] = append(s.byModel[spec.Model], r.Name)
	case *Cascade:
		s.Cascades[r.Name] = spec
	case *Team:
		s.Teams[r.Name] = spec
		s.indexKeys(p, r, spec)
	case *Rank:
		s.Ranks[r.Name] = spec
	case *Endpoint:
		s.Endpoints[r.Name] = spec
		s.indexEndpoint(r.Name, spec)
	case *Service:
		s.Services[r.Name] = spec
	case *Rollout:
		s.Rollouts[r.Name] = spec
	case *Terms:
		if r.Name != TermsName {
			p.add(r, "name", "must be %q", TermsName)
		}
		s.Terms = spec
	case *Evacuation:
		s.evacuated[spec.FailureDomain] = true
	default:
		p.add(r, "kind", "unknown spec %T", spec)
	}
}

func (s *Snapshot) indexKeys(p *problems, r Resource, team *Team) {
	for i, h := range team.KeyHashes {
		if !hashPattern.MatchString(h) {
			p.add(r, element("key_hashes", i), "%q is not a hex SHA-256 hash", h)
		}
		if other, ok := s.teamByKey[h]; ok {
			p.add(r, element("key_hashes", i), "key is also a key of team %q", other)
			continue
		}
		s.teamByKey[h] = r.Name
	}
}

func (s *Snapshot) indexEndpoint(name string, e *Endpoint) {
	if e.State == EndpointLeaving {
		return
	}
	for _, v := range e.Versions {
		s.byVersion[v] = append(s.byVersion[v], name)
	}
	if e.Service != "" {
		s.byService[e.Service] = append(s.byService[e.Service], name)
	}
}

func (s *Snapshot) indexRanks() {
	s.ranksByPriority = slices.SortedFunc(maps.Keys(s.Ranks), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Ranks[a].Priority, s.Ranks[b].Priority), cmp.Compare(a, b))
	})
	for _, name := range s.ranksByPriority {
		if s.Ranks[name].Default {
			s.defaultRank = name
		}
	}
	if s.defaultRank == "" && len(s.ranksByPriority) > 0 {
		s.defaultRank = s.ranksByPriority[len(s.ranksByPriority)-1]
	}
}

// validate checks each resource, including its references to other resources.
func (s *Snapshot) validate(p *problems) {
	for _, r := range s.resources {
		s.validateResource(p, r)
	}
	s.validateFloors(p)
}

func (s *Snapshot) validateResource(p *problems, r Resource) {
	switch spec := r.Spec.(type) {
	case *Version:
		s.validateVersion(p, r, spec)
	case *Cascade:
		s.validateCascade(p, r, spec)
	case *Team:
		s.validateTeam(p, r, spec)
	case *Rank:
		validateRank(p, r, spec)
	case *Endpoint:
		s.validateEndpoint(p, r, spec)
	case *Service:
		validateService(p, r, spec)
	case *Evacuation:
		if spec.FailureDomain == "" {
			p.add(r, "failure_domain", "is empty")
		}
	case *Rollout:
		s.validateRollout(p, r, spec)
	case *Terms:
		if spec.PeakPrice < 0 || spec.StandingPeak < 0 || spec.Allowance < 0 {
			p.add(r, "peak_price, standing_peak, allowance", "must not be negative")
		}
	case *Model:
		if _, ok := s.Cascades[r.Name]; ok || r.Name == ModelAuto {
			p.add(r, "name", "must not be reserved or the name of a cascade")
		}
	}
}

func (s *Snapshot) validateVersion(p *problems, r Resource, v *Version) {
	if _, ok := s.Models[v.Model]; !ok {
		p.add(r, "model", "unknown model %q", v.Model)
	}
	if v.InputCost < 0 || v.OutputCost < 0 {
		p.add(r, "input_cost, output_cost", "must not be negative")
	}
	if v.PassRate < 0 || v.PassRate > 1 {
		p.add(r, "pass_rate", "must be between 0 and 1")
	}
	if v.MemoryGB < 0 {
		p.add(r, "memory_gb", "must not be negative")
	}
	switch v.State {
	case VersionServing, VersionSuspect, VersionWithdrawn:
	default:
		p.add(r, "state", "unknown state %q", v.State)
	}
}

func (s *Snapshot) validateCascade(p *problems, r Resource, c *Cascade) {
	if len(c.Models) == 0 {
		p.add(r, "models", "must not be empty")
	}
	for i, m := range c.Models {
		if _, ok := s.Models[m]; !ok {
			p.add(r, element("models", i), "unknown model %q", m)
		}
	}
	if c.QualityTarget < 0 || c.QualityTarget > 1 {
		p.add(r, "quality_target", "must be between 0 and 1")
	}
}

func (s *Snapshot) validateTeam(p *problems, r Resource, t *Team) {
	if t.Weight <= 0 {
		p.add(r, "weight", "must be positive")
	}
	for i, m := range t.Models {
		if _, ok := s.Models[m]; !ok {
			p.add(r, element("models", i), "unknown model %q", m)
		}
	}
	for i, v := range t.Versions {
		if _, ok := s.Versions[v]; !ok {
			p.add(r, element("versions", i), "unknown version %q", v)
		}
	}
	for i, name := range t.Services {
		if _, ok := s.Services[name]; !ok {
			p.add(r, element("services", i), "unknown service %q", name)
		}
	}
	for i, name := range t.Ranks {
		if _, ok := s.Ranks[name]; !ok {
			p.add(r, element("ranks", i), "unknown rank %q", name)
		}
	}
}

func validateRank(p *problems, r Resource, rank *Rank) {
	if rank.Priority < 0 {
		p.add(r, "priority", "must not be negative")
	}
	if rank.Floor < 0 || rank.Floor > 1 {
		p.add(r, "floor", "must be between 0 and 1")
	}
	if rank.Deadline <= 0 || rank.MaxWait <= 0 {
		p.add(r, "deadline, max_wait", "must be positive")
	}
}

// floorRounding allows for the rounding error of decimal floors that add up to 1.
const floorRounding = 1e-9

// validateFloors adds the floors up in the order of the ranks, so that the rounding
// error, and with it the verdict, is the same at all hosts.
func (s *Snapshot) validateFloors(p *problems) {
	sum, last := 0.0, ""
	for _, name := range s.ranksByPriority {
		if floor := s.Ranks[name].Floor; floor > 0 {
			sum += floor
			last = name
		}
	}
	if sum > 1+floorRounding {
		p.add(Resource{Kind: KindRank, Name: last}, "floor", "the floors of all ranks add up to %.3f, which is more than 1", sum)
	}
}

func (s *Snapshot) validateEndpoint(p *problems, r Resource, e *Endpoint) {
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		p.add(r, "address", "%q is not an IP address and port", e.Address)
	}
	if e.FailureDomain == "" {
		p.add(r, "failure_domain", "must not be empty")
	}
	if e.Concurrency <= 0 {
		p.add(r, "concurrency", "must be positive")
	}
	if e.MemoryGB < 0 {
		p.add(r, "memory_gb", "must not be negative")
	}
	if e.State != EndpointActive && e.State != EndpointLeaving {
		p.add(r, "state", "unknown state %q", e.State)
	}
	if (e.Service == "") == (len(e.Versions) == 0) {
		p.add(r, "versions, service", "exactly one must be set")
	}
	for i, v := range e.Versions {
		if _, ok := s.Versions[v]; !ok {
			p.add(r, element("versions", i), "unknown version %q", v)
		}
	}
	if _, ok := s.Services[e.Service]; e.Service != "" && !ok {
		p.add(r, "service", "unknown service %q", e.Service)
	}
}

func validateService(p *problems, r Resource, svc *Service) {
	seen := make(map[string]bool)
	for i, op := range svc.Operations {
		if !namePattern.MatchString(op.Name) || seen[op.Name] {
			p.add(r, element("operations", i), "operation %q is malformed or declared twice", op.Name)
		}
		if op.Cost < 0 || op.Timeout < 0 {
			p.add(r, element("operations", i), "cost and timeout of %q must not be negative", op.Name)
		}
		seen[op.Name] = true
	}
}

func (s *Snapshot) validateRollout(p *problems, r Resource, ro *Rollout) {
	from, to := s.Versions[ro.From], s.Versions[ro.To]
	if from == nil || to == nil || from.Model != ro.Model || to.Model != ro.Model || ro.From == ro.To {
		p.add(r, "from, to", "must be two versions of model %q", ro.Model)
	}
	if len(ro.Steps) == 0 || !slices.IsSorted(ro.Steps) || ro.Steps[0] < 0 || ro.Steps[len(ro.Steps)-1] != 1 {
		p.add(r, "steps", "must rise from 0 or more to 1")
	}
	if ro.Step < 0 || ro.Step >= len(ro.Steps) {
		p.add(r, "step", "must be an index into steps")
	}
	switch ro.State {
	case RolloutRunning, RolloutHalted, RolloutDone, RolloutRolledBack:
	default:
		p.add(r, "state", "unknown state %q", ro.State)
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// Operation returns the operation of the service with the given name.
func (svc *Service) Operation(name string) (Operation, bool) {
	for _, op := range svc.Operations {
		if op.Name == name {
			return op, true
		}
	}
	return Operation{}, false
}
