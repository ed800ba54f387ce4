package check

import (
	"fmt"
	"slices"

	"github.com/corianderlever/corianderlever/resource"
)

// The checks in this file find entries that never take effect. A kind that is missing
// altogether gives no findings about what lacks it, because such files are the parts
// of a configuration that is kept in several.

// mayAnswer reports whether the version may get new work at some endpoint.
func (c *checker) mayAnswer(version string) bool {
	return c.Versions[version].State != resource.VersionWithdrawn &&
		(len(c.Endpoints) == 0 || len(c.EndpointsForVersion(version)) > 0)
}

// anyTeam reports whether a team has the property. Without teams it is true.
func (c *checker) anyTeam(has func(name string, t *resource.Team) bool) bool {
	for name, t := range c.Teams {
		if has(name, t) {
			return true
		}
	}
	return len(c.Teams) == 0
}

// usable reports whether some team may use the version, whatever its state.
func (c *checker) usable(version string) bool {
	return c.anyTeam(func(team string, _ *resource.Team) bool { return c.Allowed(team, version) })
}

func (c *checker) withdrawn(version string) bool {
	return c.Versions[version].State == resource.VersionWithdrawn
}

func (c *checker) checkModel(r resource.Resource) {
	versions := c.VersionsOf(r.Name)
	switch {
	case !slices.ContainsFunc(versions, func(v string) bool { return !c.withdrawn(v) }):
		c.warn(r, CodeModelUnserved, "", "has no version that is not withdrawn, so all requests for it are rejected")
	case !slices.ContainsFunc(versions, c.usable):
		c.warn(r, CodeModelUnused, "", "no team may use any of its versions")
	}
}

func (c *checker) checkVersion(r resource.Resource, v *resource.Version) {
	if c.withdrawn(r.Name) {
		return
	}
	if !c.mayAnswer(r.Name) {
		c.warn(r, CodeVersionUnserved, "", "no active endpoint declares it")
	}
	if !c.usable(r.Name) && slices.ContainsFunc(c.VersionsOf(v.Model), c.usable) {
		c.warn(r, CodeVersionUnused, "", "no team that may use model %q may use this version", v.Model)
	}
}

func (c *checker) checkCascade(r resource.Resource, cascade *resource.Cascade) {
	var unserved []int
	for i, m := range cascade.Models {
		if !slices.ContainsFunc(c.VersionsOf(m), c.mayAnswer) {
			unserved = append(unserved, i)
		}
	}
	if len(unserved) == len(cascade.Models) {
		c.warn(r, CodeCascadeUnserved, "models", "no model has a version that an active endpoint may serve")
		return
	}
	for _, i := range unserved {
		c.warn(r, CodeCascadeUnserved, fmt.Sprintf("models[%d]", i), "model %q has no version that an active endpoint may serve", cascade.Models[i])
	}
	c.checkQuality(r, cascade)
	usable := func(m string) bool {
		return slices.ContainsFunc(c.VersionsOf(m), func(v string) bool { return !c.withdrawn(v) && c.usable(v) })
	}
	if !slices.ContainsFunc(cascade.Models, usable) {
		c.warn(r, CodeCascadeUnused, "models", "no team may use any of the models")
	}
}

func (c *checker) checkTeam(r resource.Resource, t *resource.Team) {
	if len(t.KeyHashes) == 0 {
		c.warn(r, CodeTeamUnused, "key_hashes", "is empty, so no request can belong to the team")
	}
	if len(t.Models) == 0 && len(t.Services) == 0 {
		c.warn(r, CodeTeamUnused, "models, services", "are empty, so all requests of the team are rejected")
	}
	for i, v := range t.Versions {
		if model := c.Versions[v].Model; !slices.Contains(t.Models, model) {
			c.warn(r, CodeTeamIgnored, fmt.Sprintf("versions[%d]", i), "version %q is of model %q, which the team may not use", v, model)
		}
	}
	for i, m := range t.Models {
		allowed := func(v string) bool { return c.Allowed(r.Name, v) }
		if versions := c.VersionsOf(m); len(versions) > 0 && !slices.ContainsFunc(versions, allowed) {
			c.warn(r, CodeTeamIgnored, fmt.Sprintf("models[%d]", i), "the field versions leaves no version of model %q", m)
		}
	}
}

func (c *checker) checkRank(r resource.Resource, rank *resource.Rank) {
	mayRequest := func(team string, _ *resource.Team) bool { _, ok := c.RankFor(team, r.Name); return ok }
	if !c.anyTeam(mayRequest) {
		c.warn(r, CodeRankUnused, "", "no team may request it")
	}
	later := c.RankNames()[slices.Index(c.RankNames(), r.Name)+1:]
	if i := slices.IndexFunc(later, func(name string) bool { return c.Ranks[name].Default }); rank.Default && i >= 0 {
		c.warn(r, CodeDefaultIgnored, "default", "rank %q is less urgent and takes precedence as the default", later[i])
	}
	if rank.MaxWait > rank.Deadline {
		c.warn(r, CodeWaitOverDeadline, "max_wait", "%v is longer than the deadline of %v, which ends the wait before",
			rank.MaxWait.AsDuration(), rank.Deadline.AsDuration())
	}
}

func (c *checker) checkEndpoint(r resource.Resource, e *resource.Endpoint) {
	if e.State == resource.EndpointActive && e.Service == "" && !slices.ContainsFunc(e.Versions, func(v string) bool { return !c.withdrawn(v) }) {
		c.warn(r, CodeEndpointUnused, "versions", "all are withdrawn, so the endpoint gets no new requests")
	}
	for i, v := range e.Versions {
		if need := c.Versions[v].MemoryGB; e.MemoryGB > 0 && need > e.MemoryGB {
			c.warn(r, CodeVersionTooLarge, fmt.Sprintf("versions[%d]", i), "version %q needs %g GB, the endpoint has %g GB", v, need, e.MemoryGB)
		}
	}
}

func (c *checker) checkService(r resource.Resource, svc *resource.Service) {
	if len(c.Endpoints) > 0 && len(c.EndpointsForService(r.Name)) == 0 {
		c.warn(r, CodeServiceUnserved, "", "no active endpoint is an instance of it")
	}
	if len(svc.Operations) == 0 {
		c.warn(r, CodeServiceUnused, "operations", "is empty, so all calls are rejected")
	}
	if !c.anyTeam(func(_ string, t *resource.Team) bool { return slices.Contains(t.Services, r.Name) }) {
		c.warn(r, CodeServiceUnused, "", "no team may call it")
	}
	c.checkTimeouts(r, svc)
}

func (c *checker) checkRollout(r resource.Resource, ro *resource.Rollout) {
	if ro.State != resource.RolloutRunning {
		return
	}
	if c.withdrawn(ro.To) {
		c.warn(r, CodeRolloutTarget, "to", "version %q is withdrawn, so the roll-out moves no work to it", ro.To)
	}
	for _, other := range c.Resources() {
		first, ok := other.Spec.(*resource.Rollout)
		if ok && first.Model == ro.Model && other.Name < r.Name && c.decidesFor(first, ro) {
			c.warn(r, CodeRolloutShadowed, "model", "roll-out %q comes first by name and decides for model %q; delete it if it is over", other.Name, ro.Model)
			return
		}
	}
}

// decidesFor reports whether the first of two roll-outs of a model chooses the version
// for every team that may use a version of the second.
func (c *checker) decidesFor(first, second *resource.Rollout) bool {
	if len(c.Teams) == 0 {
		return c.Versions[first.From].State == resource.VersionServing || c.Versions[first.To].State == resource.VersionServing
	}
	serves := func(team, v string) bool {
		return c.Versions[v].State == resource.VersionServing && c.Allowed(team, v)
	}
	concerned := false
	for team := range c.Teams {
		if !c.Allowed(team, second.From) && !c.Allowed(team, second.To) {
			continue
		}
		if !serves(team, first.From) && !serves(team, first.To) {
			return false
		}
		concerned = true
	}
	return concerned
}
