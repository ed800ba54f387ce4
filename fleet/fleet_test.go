package fleet_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/fleet"
)

const grace = 2 * time.Second

var start = time.Unix(1000, 0)

func endpoint(id, addr string, revision int64) fleet.Endpoint {
	return fleet.Endpoint{ID: id, Service: "s", Address: addr, Revision: revision}
}

func ids(r *fleet.Registry) string {
	out := ""
	for _, e := range r.Service("s") {
		out += e.ID
	}
	return out
}

// TestReusedAddressRemovesOldEndpoint guards against requests to an endpoint whose
// address now belongs to another one.
func TestReusedAddressRemovesOldEndpoint(t *testing.T) {
	r := fleet.NewRegistry(grace)
	r.Set(endpoint("a", "1", 1))
	r.Set(endpoint("b", "1", 2))
	if got := ids(r); got != "b" {
		t.Errorf("got endpoints %q, want only b", got)
	}
	r.Set(endpoint("a", "1", 1)) // a late duplicate of the old entry
	if _, ok := r.Endpoint("b"); !ok {
		t.Error("an old entry removed the new owner of its address")
	}
}

// TestExpiredEntriesAreKeptForGraceTime guards against a host without endpoints after
// an outage of the store in which all leases expired, and against endpoints that are
// kept although they do not register again.
func TestExpiredEntriesAreKeptForGraceTime(t *testing.T) {
	r := fleet.NewRegistry(grace)
	r.Set(endpoint("a", "1", 1))
	r.Set(endpoint("b", "2", 2))
	r.Replace(nil, true, start)
	if got := ids(r); got != "ab" {
		t.Fatalf("got endpoints %q after the outage, want ab", got)
	}
	r.Set(endpoint("a", "1", 5))
	r.Expire(start.Add(grace))
	if got := ids(r); got != "a" {
		t.Errorf("got endpoints %q after the grace time, want a", got)
	}
}

// TestRemoveWithoutOutage guards against requests to an endpoint that has left.
func TestRemoveWithoutOutage(t *testing.T) {
	r := fleet.NewRegistry(grace)
	r.Set(endpoint("a", "1", 1))
	r.Remove("a", 0, false, start) // the deletion is older than the entry
	if ids(r) != "a" {
		t.Error("an old deletion removed a newer entry")
	}
	r.Remove("a", 2, false, start)
	if ids(r) != "" {
		t.Error("the endpoint is still listed")
	}
}

// TestRestartIsReported guards against estimates for an endpoint that outlive its
// process when it restarts with the same ID.
func TestRestartIsReported(t *testing.T) {
	r := fleet.NewRegistry(grace)
	restarts := 0
	r.OnChange(func(c fleet.Change) {
		if c.Restarted() {
			restarts++
		}
	})
	for i, started := range []int64{10, 10, 20} {
		e := endpoint("a", "1", int64(i+1))
		e.Started = started
		r.Set(e)
	}
	if restarts != 1 {
		t.Errorf("%d restarts reported, want 1", restarts)
	}
}

// TestListingsAndChangesAgree guards against a registry whose content depends on
// whether a state arrived as single changes or as a listing.
func TestListingsAndChangesAgree(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		byChange := fleet.NewRegistry(grace)
		model := map[string]fleet.Endpoint{}
		rev := int64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"set": func(rt *rapid.T) {
				rev++
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
				e := endpoint(id, id, rev)
				model[id] = e
				byChange.Set(e)
			},
			"remove": func(rt *rapid.T) {
				rev++
				id := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "id")
				delete(model, id)
				byChange.Remove(id, rev, false, start)
			},
			"": func(rt *rapid.T) {
				listed := fleet.NewRegistry(grace)
				var all []fleet.Endpoint
				for _, e := range model {
					all = append(all, e)
				}
				listed.Replace(all, false, start)
				if ids(listed) != ids(byChange) {
					rt.Fatalf("%q by listing, %q by changes", ids(listed), ids(byChange))
				}
			},
		})
	})
}
