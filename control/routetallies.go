package control

import (
	"cmp"
	"maps"
	"slices"

	"github.com/corianderlever/corianderlever/rollout"
)

// maxReportedRoutes bounds the routes in a report.
const maxReportedRoutes = 16

// RouteTally holds the answer counts of one route during a roll-out.
type RouteTally struct {
	Target   rollout.Tally `json:"t"`
	Baseline rollout.Tally `json:"b"`
}

func (t RouteTally) add(o RouteTally) RouteTally {
	return RouteTally{Target: t.Target.Add(o.Target), Baseline: t.Baseline.Add(o.Baseline)}
}

func (t RouteTally) max(o RouteTally) RouteTally {
	return RouteTally{Target: t.Target.Max(o.Target), Baseline: t.Baseline.Max(o.Baseline)}
}

// routeTallies holds the answer counts by route. A version may fail on one route only,
// and on some routes all versions fail often, which would hide that in a common count.
type routeTallies struct {
	own map[string]RouteTally
	// peers holds the counts of the hosts that report to this one.
	peers map[source]map[string]RouteTally
}

func newRouteTallies() routeTallies {
	return routeTallies{own: make(map[string]RouteTally), peers: make(map[source]map[string]RouteTally)}
}

// count adds one answer at this host.
func (r routeTallies) count(route string, isTarget bool, answer rollout.Tally) {
	t := r.own[route]
	if isTarget {
		t.Target = t.Target.Add(answer)
	} else {
		t.Baseline = t.Baseline.Add(answer)
	}
	r.own[route] = t
}

// report returns this host's counts of the routes with the most answers of the target.
func (r routeTallies) report() map[string]RouteTally {
	if len(r.own) <= maxReportedRoutes {
		return maps.Clone(r.own)
	}
	routes := slices.SortedFunc(maps.Keys(r.own), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.own[b].Target.Requests(), r.own[a].Target.Requests()), cmp.Compare(a, b))
	})
	out := make(map[string]RouteTally, maxReportedRoutes)
	for _, route := range routes[:maxReportedRoutes] {
		out[route] = r.own[route]
	}
	return out
}

// merge keeps the higher of the known and the reported counts of a source.
func (r routeTallies) merge(from source, reported map[string]RouteTally) {
	known := r.peers[from]
	if known == nil {
		known = make(map[string]RouteTally)
		r.peers[from] = known
	}
	for route, t := range reported {
		known[route] = known[route].max(t)
	}
}

// worse returns a route on which the target is worse than the baseline, or false.
func (r routeTallies) worse() (route string, ok bool) {
	sums := maps.Clone(r.own)
	for _, reported := range r.peers {
		for route, t := range reported {
			sums[route] = sums[route].add(t)
		}
	}
	for route, t := range sums {
		if rollout.IsWorseOnRoute(t.Target, t.Baseline) {
			return route, true
		}
	}
	return "", false
}
