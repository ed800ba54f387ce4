package resource

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Snapshot is one revision of the configuration, indexed for use on the request
// path. It is immutable and safe for concurrent use.
type Snapshot struct {
	// Revision increases by one with each accepted change.
	Revision int64

	resources []Resource
	Models    map[string]*Model
	Versions  map[string]*Version
	Cascades  map[string]*Cascade
	Teams     map[string]*Team
	Ranks     map[string]*Rank
	Endpoints map[string]*Endpoint
	Services  map[string]*Service
	Rollouts  map[string]*Rollout
	// evacuated holds the failure domains that an Evacuation names.
	evacuated map[string]bool
	// Terms is never nil.
	Terms *Terms

	byModel         map[string][]string // version names by model, sorted
	byVersion       map[string][]string // endpoint names by declared version, sorted
	byService       map[string][]string // endpoint names by service, sorted
	teamByKey       map[string]string   // team names by hex key hash
	ranksByPriority []string            // rank names, most urgent first
	defaultRank     string
}

// NewSnapshot validates the resources, including references between them, and
// indexes them. The error is the first that Problems returns.
func NewSnapshot(revision int64, resources []Resource) (*Snapshot, error) {
	s, found := buildSnapshot(revision, resources)
	if len(found) > 0 {
		return nil, found[0]
	}
	return s, nil
}

// buildSnapshot returns the indexed snapshot, which may be used only if there are no
// problems.
func buildSnapshot(revision int64, resources []Resource) (*Snapshot, problems) {
	s := &Snapshot{
		Revision:  revision,
		resources: slices.Clone(resources),
		Models:    make(map[string]*Model),
		Versions:  make(map[string]*Version),
		Cascades:  make(map[string]*Cascade),
		Teams:     make(map[string]*Team),
		Ranks:     make(map[string]*Rank),
		Endpoints: make(map[string]*Endpoint),
		Services:  make(map[string]*Service),
		Rollouts:  make(map[string]*Rollout),
		Terms:     new(Terms),
		byModel:   make(map[string][]string),
		byVersion: make(map[string][]string),
		byService: make(map[string][]string),
		evacuated: make(map[string]bool),
		teamByKey: make(map[string]string),
	}
	Sort(s.resources)
	var found problems
	s.index(&found)
	s.validate(&found)
	return s, found
}

// Resources returns a copy of the resources, sorted by kind and name.
func (s *Snapshot) Resources() []Resource { return slices.Clone(s.resources) }

// TeamForKey returns the team that owns a bearer key. The map lookup by hash
// reveals nothing useful about the key through its timing, and the final
// comparison takes constant time.
func (s *Snapshot) TeamForKey(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	team, ok := s.teamByKey[hash]
	if !ok {
		return "", false
	}
	for _, h := range s.Teams[team].KeyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(hash)) == 1 {
			return team, true
		}
	}
	return "", false
}

// Allowed reports whether the team may use the version, whatever its state.
func (s *Snapshot) Allowed(team, version string) bool {
	t, v := s.Teams[team], s.Versions[version]
	if t == nil || v == nil || !slices.Contains(t.Models, v.Model) {
		return false
	}
	return len(t.Versions) == 0 || slices.Contains(t.Versions, version)
}

// MayServe reports whether the version may receive new work from the team.
func (s *Snapshot) MayServe(team, version string) bool {
	return s.Allowed(team, version) && s.Versions[version].State != VersionWithdrawn
}

// VersionsOf returns the names of all versions of a model.
func (s *Snapshot) VersionsOf(model string) []string { return s.byModel[model] }

// PickVersion selects the version of a model for new work from the team. hash
// splits requests between the versions of a roll-out. A given hash keeps its
// version until the roll-out's step or state changes.
func (s *Snapshot) PickVersion(team, model string, hash uint64) (string, bool) {
	for _, name := range sortedKeys(s.Rollouts) {
		r := s.Rollouts[name]
		if r.Model != model {
			continue
		}
		if v, ok := s.rolloutVersion(team, r, hash); ok {
			return v, true
		}
	}
	return s.newestVersion(team, model, hash)
}

// newestVersion returns the last version by name that may serve. A suspect
// version gets only a small share of the work, which shows whether it recovers,
// unless no other version may serve.
func (s *Snapshot) newestVersion(team, model string, hash uint64) (string, bool) {
	suspect := ""
	for _, v := range slices.Backward(s.byModel[model]) {
		if !s.MayServe(team, v) {
			continue
		}
		if s.Versions[v].State == VersionServing || hash%shareBuckets < suspectBuckets {
			return v, true
		}
		if suspect == "" {
			suspect = v
		}
	}
	return suspect, suspect != ""
}

// shareBuckets is the number of hash buckets, which sets the resolution of
// shares.
const shareBuckets = 10000

// suspectBuckets is the number of buckets, 1% of all, whose work a suspect version
// keeps.
const suspectBuckets = shareBuckets / 100

// rolloutVersion returns the version that the roll-out selects for the hash, or the
// other version of the roll-out if that one may not serve.
func (s *Snapshot) rolloutVersion(team string, r *Rollout, hash uint64) (string, bool) {
	first, second := r.From, r.To
	if hash%shareBuckets < uint64(r.Share()*shareBuckets) {
		first, second = r.To, r.From
	}
	for _, v := range []string{first, second} {
		if s.Versions[v].State == VersionServing && s.Allowed(team, v) {
			return v, true
		}
	}
	return "", false
}

// Share returns the share of new work, from 0 to 1, that goes to version To.
func (r *Rollout) Share() float64 {
	switch r.State {
	case RolloutDone:
		return 1
	case RolloutRolledBack:
		return 0
	}
	return r.Steps[min(r.Step, len(r.Steps)-1)]
}

// GetsWork reports whether an endpoint may get new work: it is active, and its failure domain
// is not evacuated.
func (s *Snapshot) GetsWork(e *Endpoint) bool {
	return e.State != EndpointLeaving && !s.evacuated[e.FailureDomain]
}

// EndpointsForVersion returns the names of the active endpoints that declare the
// version, sorted.
func (s *Snapshot) EndpointsForVersion(version string) []string { return s.byVersion[version] }

// EndpointsForService returns the names of the active endpoints of a plain
// service, sorted.
func (s *Snapshot) EndpointsForService(service string) []string { return s.byService[service] }

// RankNames returns the names of the ranks, most urgent first.
func (s *Snapshot) RankNames() []string { return s.ranksByPriority }

// RankFor returns the rank of a team's request. This is the requested rank, or the
// default rank if none is requested. It returns false if the rank does not exist
// or the team may not use it.
func (s *Snapshot) RankFor(team, requested string) (string, bool) {
	if requested == "" {
		requested = s.defaultRank
	}
	if _, ok := s.Ranks[requested]; !ok {
		return "", false
	}
	allowed := s.Teams[team].Ranks
	return requested, len(allowed) == 0 || slices.Contains(allowed, requested)
}

// HashKey returns the hash that distributes requests and sessions over versions.
func HashKey(key string) uint64 { return xxhash.Sum64String(key) }
