package daemon

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/placement"
	"github.com/corianderlever/corianderlever/resource"
)

// unloadedWork is the part of the work per second demanded from a version that
// counts as urgent while no engine has the version loaded, whatever the rank of its
// requests. It suffices to get the version loaded on one engine, and is too little
// to take an engine from urgent demand.
const unloadedWork = 0.1

// decide returns the orders of one round, at most one per engine and none for
// blocked engines.
func (p *placer) decide(snap *resource.Snapshot, reports map[string]engine.LoadReport, blocked func(name string) bool) []endpointOrder {
	out := p.withdrawnUnloads(snap, reports, blocked)
	busy := make(map[string]bool)
	for name := range reports {
		busy[name] = blocked(name)
	}
	for _, o := range out {
		busy[o.endpoint] = true
	}
	for _, o := range p.planner.Plan(p.plannerState(snap, reports, busy)) {
		next := endpointOrder{endpoint: o.Engine, kind: engine.OrderLoad, version: o.Load}
		next.reason = fmt.Sprintf("demand of priority %d is not served", o.Priority)
		if len(o.Unload) > 0 {
			// An engine gets one order at a time. The load follows once memory is free.
			next.kind, next.version = engine.OrderUnload, o.Unload[0]
			next.reason = fmt.Sprintf("room for %s, whose demand of priority %d is not served", o.Load, o.Priority)
		}
		out = append(out, next)
	}
	return out
}

// withdrawnUnloads returns the orders that unload withdrawn versions.
func (p *placer) withdrawnUnloads(snap *resource.Snapshot, reports map[string]engine.LoadReport, blocked func(name string) bool) []endpointOrder {
	now := p.opts.Clock.Now()
	for name, v := range snap.Versions {
		if v.State != resource.VersionWithdrawn {
			delete(p.withdrawn, name)
		} else if _, ok := p.withdrawn[name]; !ok {
			p.withdrawn[name] = now
		}
	}
	var out []endpointOrder
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		if blocked(name) || reports[name].Leaving {
			continue
		}
		for _, v := range reports[name].Versions {
			if since, ok := p.withdrawn[v]; ok && now.Sub(since) >= withdrawalGrace {
				out = append(out, endpointOrder{endpoint: name, kind: engine.OrderUnload, version: v, reason: "the version is withdrawn"})
				break
			}
		}
	}
	return out
}

// plannerState returns the planner's view of engines and demand. Engines in busy
// count as serving and receive no orders.
func (p *placer) plannerState(snap *resource.Snapshot, reports map[string]engine.LoadReport, busy map[string]bool) placement.State {
	out := placement.State{Memory: make(map[string]float64)}
	for name, v := range snap.Versions {
		if v.State != resource.VersionWithdrawn {
			out.Memory[name] = v.MemoryGB
		}
	}
	loaded := make(map[string]bool)
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		e := p.engineState(name, snap.Endpoints[name], reports[name])
		for _, v := range append(slices.Clone(e.Loaded), e.Loading) {
			loaded[v] = true
		}
		e.Leaving = e.Leaving || busy[name]
		out.Engines = append(out.Engines, e)
	}
	out.Demands = plannerDemands(snap, p.demand.total(), loaded)
	return out
}

func (p *placer) engineState(name string, spec *resource.Endpoint, r engine.LoadReport) placement.Engine {
	e := placement.Engine{
		ID: name, Memory: spec.MemoryGB, Capacity: float64(spec.Concurrency), Leaving: r.Leaving,
		Allowed: spec.Versions, Loaded: slices.Clone(r.Versions),
	}
	if e.Memory == 0 {
		e.Memory = math.MaxFloat32
	}
	if o, ok := p.pending[name]; ok && o.kind == engine.OrderLoad {
		e.Loading = o.version
	}
	return e
}

// plannerDemands converts the demand at all hosts to the planner's form. Up to
// unloadedWork of the demand for a version that no engine has loaded counts as
// urgent.
func plannerDemands(snap *resource.Snapshot, total map[demandKey]float64, loaded map[string]bool) []placement.Demand {
	ranks := snap.RankNames()
	var out []placement.Demand
	for version := range snap.Versions {
		work := make([]float64, len(ranks))
		sum := 0.0
		for i, rank := range ranks {
			work[i] = total[demandKey{version, rank}]
			sum += work[i]
		}
		if sum > 0 && !loaded[version] {
			work[0] = max(work[0], min(sum, unloadedWork))
		}
		for i, rate := range work {
			if rate > 0 {
				out = append(out, placement.Demand{Version: version, Priority: i, Rate: rate})
			}
		}
	}
	return out
}
