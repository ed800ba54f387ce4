package resource

import (
	"cmp"
	"maps"
	"net/netip"
	"regexp"
	"slices"

	"github.com/cockroachdb/errors"
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

func invalidField(r Resource, field, format string, args ...any) error {
	return errors.Wrapf(errors.Wrapf(ErrInvalid, format, args...), "%s %q: field %s", r.Kind, r.Name, field)
}

// index fills the maps and rejects invalid names and duplicates.
func (s *Snapshot) index() error {
	seen := make(map[Key]bool)
	for _, r := range s.resources {
		if !namePattern.MatchString(r.Name) {
			return invalidField(r, "name", "must match %s", namePattern)
		}
		if seen[r.Key()] {
			return invalidField(r, "name", "declared twice")
		}
		seen[r.Key()] = true
		if err := s.indexResource(r); err != nil {
			return err
		}
	}
	s.indexRanks()
	return nil
}

func (s *Snapshot) indexResource(r Resource) error {
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
		return s.indexKeys(r, spec)
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
			return invalidField(r, "name", "must be %q", TermsName)
		}
		s.Terms = spec
	case *Evacuation:
		s.evacuated[spec.FailureDomain] = true
	default:
		return invalidField(r, "kind", "unknown spec %T", spec)
	}
	return nil
}

func (s *Snapshot) indexKeys(r Resource, team *Team) error {
	for _, h := range team.KeyHashes {
		if !hashPattern.MatchString(h) {
			return invalidField(r, "key_hashes", "%q is not a hex SHA-256 hash", h)
		}
		if other, ok := s.teamByKey[h]; ok {
			return invalidField(r, "key_hashes", "key is also a key of team %q", other)
		}
		s.teamByKey[h] = r.Name
	}
	return nil
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
func (s *Snapshot) validate() error {
	for _, r := range s.resources {
		if err := s.validateResource(r); err != nil {
			return err
		}
	}
	return s.validateFloors()
}

func (s *Snapshot) validateResource(r Resource) error {
	switch spec := r.Spec.(type) {
	case *Version:
		return s.validateVersion(r, spec)
	case *Cascade:
		return s.validateCascade(r, spec)
	case *Team:
		return s.validateTeam(r, spec)
	case *Rank:
		return validateRank(r, spec)
	case *Endpoint:
		return s.validateEndpoint(r, spec)
	case *Service:
		return validateService(r, spec)
	case *Evacuation:
		if spec.FailureDomain == "" {
			return invalidField(r, "failure_domain", "is empty")
		}
		return nil
	case *Rollout:
		return s.validateRollout(r, spec)
	case *Terms:
		if spec.PeakPrice < 0 || spec.StandingPeak < 0 || spec.Allowance < 0 {
			return invalidField(r, "peak_price, standing_peak, allowance", "must not be negative")
		}
	case *Model:
		if _, ok := s.Cascades[r.Name]; ok || r.Name == ModelAuto {
			return invalidField(r, "name", "must not be reserved or the name of a cascade")
		}
	}
	return nil
}

func (s *Snapshot) validateVersion(r Resource, v *Version) error {
	if _, ok := s.Models[v.Model]; !ok {
		return invalidField(r, "model", "unknown model %q", v.Model)
	}
	if v.InputCost < 0 || v.OutputCost < 0 {
		return invalidField(r, "input_cost, output_cost", "must not be negative")
	}
	if v.PassRate < 0 || v.PassRate > 1 {
		return invalidField(r, "pass_rate", "must be between 0 and 1")
	}
	if v.MemoryGB < 0 {
		return invalidField(r, "memory_gb", "must not be negative")
	}
	switch v.State {
	case VersionServing, VersionSuspect, VersionWithdrawn:
		return nil
	}
	return invalidField(r, "state", "unknown state %q", v.State)
}

func (s *Snapshot) validateCascade(r Resource, c *Cascade) error {
	if len(c.Models) == 0 {
		return invalidField(r, "models", "must not be empty")
	}
	for _, m := range c.Models {
		if _, ok := s.Models[m]; !ok {
			return invalidField(r, "models", "unknown model %q", m)
		}
	}
	if c.QualityTarget < 0 || c.QualityTarget > 1 {
		return invalidField(r, "quality_target", "must be between 0 and 1")
	}
	return nil
}

func (s *Snapshot) validateTeam(r Resource, t *Team) error {
	if t.Weight <= 0 {
		return invalidField(r, "weight", "must be positive")
	}
	for _, m := range t.Models {
		if _, ok := s.Models[m]; !ok {
			return invalidField(r, "models", "unknown model %q", m)
		}
	}
	for _, v := range t.Versions {
		if _, ok := s.Versions[v]; !ok {
			return invalidField(r, "versions", "unknown version %q", v)
		}
	}
	for _, name := range t.Services {
		if _, ok := s.Services[name]; !ok {
			return invalidField(r, "services", "unknown service %q", name)
		}
	}
	for _, name := range t.Ranks {
		if _, ok := s.Ranks[name]; !ok {
			return invalidField(r, "ranks", "unknown rank %q", name)
		}
	}
	return nil
}

func validateRank(r Resource, rank *Rank) error {
	if rank.Priority < 0 {
		return invalidField(r, "priority", "must not be negative")
	}
	if rank.Floor < 0 || rank.Floor > 1 {
		return invalidField(r, "floor", "must be between 0 and 1")
	}
	if rank.Deadline <= 0 || rank.MaxWait <= 0 {
		return invalidField(r, "deadline, max_wait", "must be positive")
	}
	return nil
}

func (s *Snapshot) validateFloors() error {
	sum := 0.0
	for _, rank := range s.Ranks {
		sum += rank.Floor
	}
	if sum > 1 {
		return errors.Wrapf(ErrInvalid, "the floors of all ranks add up to %.3f, which is more than 1", sum)
	}
	return nil
}

func (s *Snapshot) validateEndpoint(r Resource, e *Endpoint) error {
	if _, err := netip.ParseAddrPort(e.Address); err != nil {
		return invalidField(r, "address", "%q is not an IP address and port", e.Address)
	}
	if e.FailureDomain == "" {
		return invalidField(r, "failure_domain", "must not be empty")
	}
	if e.Concurrency <= 0 {
		return invalidField(r, "concurrency", "must be positive")
	}
	if e.MemoryGB < 0 {
		return invalidField(r, "memory_gb", "must not be negative")
	}
	if e.State != EndpointActive && e.State != EndpointLeaving {
		return invalidField(r, "state", "unknown state %q", e.State)
	}
	if (e.Service == "") == (len(e.Versions) == 0) {
		return invalidField(r, "versions, service", "exactly one must be set")
	}
	for _, v := range e.Versions {
		if _, ok := s.Versions[v]; !ok {
			return invalidField(r, "versions", "unknown version %q", v)
		}
	}
	if _, ok := s.Services[e.Service]; e.Service != "" && !ok {
		return invalidField(r, "service", "unknown service %q", e.Service)
	}
	return nil
}

func validateService(r Resource, svc *Service) error {
	seen := make(map[string]bool)
	for _, op := range svc.Operations {
		if !namePattern.MatchString(op.Name) || seen[op.Name] {
			return invalidField(r, "operations", "operation %q is malformed or declared twice", op.Name)
		}
		if op.Cost < 0 || op.Timeout < 0 {
			return invalidField(r, "operations", "cost and timeout of %q must not be negative", op.Name)
		}
		seen[op.Name] = true
	}
	return nil
}

func (s *Snapshot) validateRollout(r Resource, ro *Rollout) error {
	from, to := s.Versions[ro.From], s.Versions[ro.To]
	if from == nil || to == nil || from.Model != ro.Model || to.Model != ro.Model || ro.From == ro.To {
		return invalidField(r, "from, to", "must be two versions of model %q", ro.Model)
	}
	if len(ro.Steps) == 0 || !slices.IsSorted(ro.Steps) || ro.Steps[0] < 0 || ro.Steps[len(ro.Steps)-1] != 1 {
		return invalidField(r, "steps", "must rise from 0 or more to 1")
	}
	if ro.Step < 0 || ro.Step >= len(ro.Steps) {
		return invalidField(r, "step", "must be an index into steps")
	}
	switch ro.State {
	case RolloutRunning, RolloutHalted, RolloutDone, RolloutRolledBack:
		return nil
	}
	return invalidField(r, "state", "unknown state %q", ro.State)
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
