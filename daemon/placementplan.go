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

// dryWork is the work per second for which a version that no engine has loaded
// counts as urgent, whatever its rank: enough for a place, too little to take
// one from urgent demand.
const dryWork = 0.1

// decide returns at most one order for each engine that is not blocked.
func (p *placer) decide(snap *resource.Snapshot, reports map[string]engine.LoadReport, blocked func(name string) bool) []endpointOrder {
	out := p.unloads(snap, reports, blocked)
	busy := make(map[string]bool)
	for name := range reports {
		busy[name] = blocked(name)
	}
	for _, o := range out {
		busy[o.endpoint] = true
	}
	for _, o := range p.planner.Plan(p.state(snap, reports, busy)) {
		next := endpointOrder{endpoint: o.Engine, kind: engine.OrderLoad, version: o.Load}
		next.reason = fmt.Sprintf("demand of priority %d is not served", o.Priority)
		if len(o.Unload) > 0 {
			// One order at a time: the load follows once the room is free.
			next.kind, next.version = engine.OrderUnload, o.Unload[0]
			next.reason = fmt.Sprintf("room for %s, whose demand of priority %d is not served", o.Load, o.Priority)
		}
		out = append(out, next)
	}
	return out
}

// unloads returns the orders for withdrawn versions.
func (p *placer) unloads(snap *resource.Snapshot, reports map[string]engine.LoadReport, blocked func(name string) bool) []endpointOrder {
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

// state describes engines and demand to the planner. Engines in busy serve
// and get no order from it.
func (p *placer) state(snap *resource.Snapshot, reports map[string]engine.LoadReport, busy map[string]bool) placement.State {
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
	out.Demands = demands(snap, p.demand.total(), loaded)
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

// demands turns the hosts' demand into that of the planner. A version that no
// engine has loaded counts as urgent for a little of its demand.
func demands(snap *resource.Snapshot, total map[demandKey]float64, loaded map[string]bool) []placement.Demand {
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
			work[0] = max(work[0], min(sum, dryWork))
		}
		for i, rate := range work {
			if rate > 0 {
				out = append(out, placement.Demand{Version: version, Priority: i, Rate: rate})
			}
		}
	}
	return out
}
