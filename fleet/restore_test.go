package fleet_test

import (
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
)

// restoredAt returns the revision of an entry in a store that has been restored once.
func restoredAt(number int64) int64 { return kv.MakeRevision(1, number) }

// TestRestoredStoreBringsNoEndpointBack guards against requests to an endpoint that has
// left, drains or has restarted, because the store was restored from a copy that is older.
func TestRestoredStoreBringsNoEndpointBack(t *testing.T) {
	now := time.Unix(1000, 0)
	r := fleet.NewRegistry(2 * time.Second)
	old := []fleet.Endpoint{
		{ID: "left", Service: "s", Address: "a:1", Started: 1, Revision: 10},
		{ID: "drains", Service: "s", Address: "b:1", Started: 1, Revision: 11},
		{ID: "restarted", Service: "s", Address: "c:1", Started: 1, Slots: 1, Revision: 12},
	}
	r.Replace(old, false, now)
	r.Remove("left", 20, false, now)
	r.Set(fleet.Endpoint{ID: "successor", Service: "s", Address: "a:1", Started: 2, Revision: 21})
	r.Set(fleet.Endpoint{ID: "drains", Service: "s", Address: "b:1", Started: 1, Draining: true, Revision: 22})
	r.Set(fleet.Endpoint{ID: "restarted", Service: "s", Address: "c:1", Started: 2, Slots: 2, Revision: 23})
	var restored []fleet.Endpoint
	for _, e := range old {
		e.Revision = restoredAt(e.Revision)
		restored = append(restored, e)
	}
	r.Replace(restored, true, now)
	if _, ok := r.Endpoint("left"); ok {
		t.Error("an endpoint that has left is back")
	}
	if _, ok := r.Endpoint("successor"); !ok {
		t.Error("the endpoint that has taken over an address is gone")
	}
	if e, _ := r.Endpoint("drains"); !e.Draining {
		t.Error("a draining endpoint takes requests again")
	}
	if e, _ := r.Endpoint("restarted"); e.Started != 2 || e.Slots != 2 {
		t.Errorf("restarted endpoint %+v, want its second start", e)
	}
	r.Set(fleet.Endpoint{ID: "restarted", Service: "s", Address: "c:1", Started: 2, Slots: 3, Revision: restoredAt(15)})
	if e, _ := r.Endpoint("restarted"); e.Slots != 3 {
		t.Errorf("restarted endpoint %+v, want what it has written after the restore", e)
	}
	r.Remove("left", restoredAt(16), false, now)
	r.Expire(now.Add(time.Minute))
	if _, ok := r.Endpoint("left"); ok {
		t.Error("an endpoint that has left is back after its entry was deleted again")
	}
}

// TestEndpointReturnsAfterARestore guards against an endpoint that is never used again,
// because its entry had expired before a restore and is the same afterwards.
func TestEndpointReturnsAfterARestore(t *testing.T) {
	now := time.Unix(1000, 0)
	e := fleet.Endpoint{ID: "e", Service: "s", Address: "a:1", Started: 1, Revision: 10}
	for _, writes := range []bool{false, true} {
		r := fleet.NewRegistry(2 * time.Second)
		r.Set(e)
		r.Remove("e", 20, false, now)
		again := e
		again.Revision = restoredAt(10)
		r.Replace([]fleet.Endpoint{again}, true, now)
		if writes {
			again.Revision = restoredAt(30)
			r.Set(again)
		} else {
			r.Expire(now.Add(10 * time.Second)) // nobody has deleted the entry
		}
		if _, ok := r.Endpoint("e"); !ok {
			t.Errorf("writes its entry again: %t, endpoint not used", writes)
		}
	}
}
