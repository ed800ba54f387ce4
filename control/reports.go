package control

import (
	"maps"

	"github.com/corianderlever/corianderlever/rollout"
)

// Report is one host's view of the roll-out of a service, sent to its peers.
type Report struct {
	// Order is the store revision of the order.
	Order int64 `json:"order"`
	Step  Step  `json:"step"`
	// ElapsedMS is the time in milliseconds since the order, as measured by this
	// host. Peers need it because a restarted host has lost the time of the order.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Tallies are the host's own answer counts by version.
	Tallies map[string]rollout.Tally `json:"tallies,omitempty"`
	// Routes are the host's own answer counts by route.
	Routes map[string]RouteTally `json:"routes,omitempty"`
}

// Reports returns this host's reports for its peers, by service.
func (r *Rollouts) Reports() map[string]Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string]Report)
	for name, s := range r.services {
		if s.hasOrder {
			out[name] = Report{
				Order: s.order.Revision, Step: s.step, ElapsedMS: s.elapsed(r.clock.Now()).Milliseconds(),
				Tallies: maps.Clone(s.ownTallies), Routes: s.routes.report(),
			}
		}
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
			s.raiseElapsed(e.ElapsedMS, r.clock.Now())
			s.mergePeerTallies(host, e.Tallies)
			s.routes.merge(host, e.Routes)
			s.mergeCanaryTally(hostKey(host), e.Tallies[s.order.Target])
			r.evaluateTarget(name, s)
		}
	}
}

// tallies returns the answer counts of the target from all hosts, and of the
// other versions from this host and those that report to it directly.
func (s *service) tallies(self string) (target, baseline rollout.Tally) {
	s.mergeCanaryTally(hostKey(self), s.ownTallies[s.order.Target])
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
	for _, tallies := range s.peerTallies {
		for _, t := range tallies {
			sum += t.Requests()
		}
	}
	reporting := 1 + len(s.peerTallies)
	return float64(sum) * float64(max(hosts, reporting)) / float64(reporting)
}

// mergePeerTallies keeps the higher of the known and the reported counts of a
// host. Its counts only rise, so an older report changes nothing.
func (s *service) mergePeerTallies(host string, tallies map[string]rollout.Tally) {
	known := maps.Clone(s.peerTallies[host])
	if known == nil {
		known = make(map[string]rollout.Tally)
	}
	for version, t := range tallies {
		known[version] = known[version].Max(t)
	}
	s.peerTallies[host] = known
}
