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

// TestAddressTakenOver guards against requests to an endpoint whose address
// now belongs to another one.
func TestAddressTakenOver(t *testing.T) {
	r := fleet.NewRegistry(grace)
	r.Set(endpoint("a", "1", 1))
	r.Set(endpoint("b", "1", 2))
	if got := ids(r); got != "b" {
		t.Errorf("endpoints %q", got)
	}
	r.Set(endpoint("a", "1", 1)) // a late repeat of the old entry
	if _, ok := r.Endpoint("b"); !ok {
		t.Error("an old entry removed the new owner of its address")
	}
}

// TestLapsedEntriesAreUsedForAWhile guards against a host without endpoints
// after an outage of the store in which all entries lapsed, and against
// endpoints that are kept although they do not come back.
func TestLapsedEntriesAreUsedForAWhile(t *testing.T) {
	r := fleet.NewRegistry(grace)
	r.Set(endpoint("a", "1", 1))
	r.Set(endpoint("b", "2", 2))
	r.Replace(nil, true, start)
	if got := ids(r); got != "ab" {
		t.Fatalf("endpoints %q after the outage", got)
	}
	r.Set(endpoint("a", "1", 5))
	r.Expire(start.Add(grace))
	if got := ids(r); got != "a" {
		t.Errorf("endpoints %q after the grace time", got)
	}
}

// TestRemovedWhileStable guards against requests to an endpoint that has left.
func TestRemovedWhileStable(t *testing.T) {
	r := fleet.NewRegistry(grace)
	r.Set(endpoint("a", "1", 1))
	r.Remove("a", 0, false, start) // the deletion is older than the entry
	if ids(r) != "a" {
		t.Error("an old deletion removed a new entry")
	}
	r.Remove("a", 2, false, start)
	if ids(r) != "" {
		t.Error("the endpoint is still listed")
	}
}

// TestRestartIsReported guards against what is believed of an endpoint outliving
// its process when it starts again under its ID.
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
		t.Errorf("%d restarts reported", restarts)
	}
}

// TestListingsAndChangesAgree guards against a registry that depends on whether
// it learned of a state by single changes or by a listing.
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
