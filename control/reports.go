package control

import (
	"maps"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/rollout"
)

// Report is one host's view of the roll-out of a service, sent to its peers.
type Report struct {
	// Order is the store revision of the order.
	Order int64 `json:"order"`
	Step  Step  `json:"step"`
	// ElapsedMS is the shortest time in milliseconds since the order, as known to this
	// host. Peers need it because a restarted host has lost the time of the order.
	ElapsedMS int64 `json:"elapsed_ms"`
	// MaxElapsedMS is the longest time in milliseconds since the order, by what this host
	// itself has heard; zero if it is not known, and in reports of releases that do not send it.
	MaxElapsedMS int64 `json:"max_elapsed_ms,omitempty"`
	// Started is the start time of the host's process in Unix nanoseconds; zero in reports of
	// releases that do not send it. The counts begin anew with each start.
	Started int64 `json:"started,omitempty"`
	// Tallies are the host's own answer counts by version.
	Tallies map[string]rollout.Tally `json:"tallies,omitempty"`
	// Routes are the host's own answer counts by route.
	Routes map[string]RouteTally `json:"routes,omitempty"`
}

// source is one process that counts answers.
type source struct {
	host    string
	started int64
}

// key returns the key of the source in digests.
func (s source) key() uint32 {
	if s.started == 0 {
		return uint32(xxhash.Sum64String(s.host))
	}
	return uint32(xxhash.Sum64String(s.host + "/" + strconv.FormatInt(s.started, 10)))
}

// Reports returns this host's reports for its peers, by service.
func (r *Rollouts) Reports() map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Report)
	now := r.clock.Now()
	for name, s := range r.services {
		if !s.hasOrder {
			continue
		}
		e := Report{
			Order: s.order.Revision, Started: r.self.started, Step: s.step, ElapsedMS: s.age.atLeast(now).Milliseconds(),
			Tallies: maps.Clone(s.ownTallies), Routes: s.routes.report(),
		}
		if most, ok := s.age.ownLimit(now); ok {
			e.MaxElapsedMS = most.Milliseconds() + 1 // rounded up
		}
		out[name] = e
	}
	return out
}

// MergeReports merges the reports of another host.
func (r *Rollouts) MergeReports(host string, reports map[string]Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, e := range reports {
		s := r.service(name)
		r.mergeStep(name, s, e.Step, host)
		if s.hasOrder && e.Order == s.order.Revision {
			s.mergeAge(e, r.clock.Now())
			from := source{host: host, started: e.Started}
			s.mergePeerTallies(from, e.Tallies)
			s.routes.merge(from, e.Routes)
			s.mergeCanaryTally(from.key(), e.Tallies[s.order.Target])
			r.evaluateTarget(name, s)
		}
	}
}

// mergeAge adopts what another host knows of the time since the order.
func (s *service) mergeAge(e Report, now time.Time) {
	s.age.raise(milliseconds(e.ElapsedMS), now)
	if e.MaxElapsedMS > 0 {
		s.age.limit(milliseconds(e.MaxElapsedMS), now)
	}
}

// tallies returns the answer counts of the target from all hosts, and of the
// other versions from this host and those that report to it directly.
func (s *service) tallies(self source) (target, baseline rollout.Tally) {
	s.mergeCanaryTally(self.key(), s.ownTallies[s.order.Target])
	for _, t := range s.canaryTallies {
		target = target.Add(t)
	}
	add := func(tallies map[string]rollout.Tally) {
		for version, t := range tallies {
			if version != s.order.Target {
				baseline = baseline.Add(t)
			}
		}
	}
	add(s.ownTallies)
	for _, tallies := range s.peerTallies {
		add(tallies)
	}
	return target, baseline
}

// requests estimates the requests for the service since the order at a number of hosts,
// of which some report to this one.
func (s *service) requests(hosts int) float64 {
	sum := 0
	for _, t := range s.ownTallies {
		sum += t.Requests()
	}
	reported := make(map[string]bool)
	for from, tallies := range s.peerTallies {
		reported[from.host] = true
		for _, t := range tallies {
			sum += t.Requests()
		}
	}
	reporting := 1 + len(reported)
	return float64(sum) * float64(max(hosts, reporting)) / float64(reporting)
}

// mergePeerTallies keeps the higher of the known and the reported counts of a
// source. Its counts only rise, so an older report changes nothing.
func (s *service) mergePeerTallies(from source, tallies map[string]rollout.Tally) {
	known := maps.Clone(s.peerTallies[from])
	if known == nil {
		known = make(map[string]rollout.Tally)
	}
	for version, t := range tallies {
		known[version] = known[version].Max(t)
	}
	s.peerTallies[from] = known
}
