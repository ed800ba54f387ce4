package fleet_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
)

// keepTime is the time for which a restored store keeps an evacuation that it does not list.
const keepTime = 10 * time.Second

// TestRestoredStoreKeepsAnEvacuation guards against requests to an evacuated domain because the
// store was restored from a copy from before the order, against an evacuation that lasts
// although it is not ordered again, and against one that outlasts its removal.
func TestRestoredStoreKeepsAnEvacuation(t *testing.T) {
	for name, c := range map[string]struct {
		listing int64                   // revision of the listing that lacks the order
		then    func(r *fleet.Registry) // within keepTime of the listing
		during  bool                    // whether the domain is evacuated after that
		after   bool                    // and keepTime after the listing
	}{
		"restored":                     {listing: restoredAt(5), then: func(*fleet.Registry) {}, during: true},
		"restored and ordered again":   {listing: restoredAt(5), then: func(r *fleet.Registry) { r.SetEvacuated("a", restoredAt(6)) }, during: true, after: true},
		"restored and removed":         {listing: restoredAt(5), then: func(r *fleet.Registry) { r.ClearEvacuated("a", restoredAt(6)) }},
		"restored and listed again":    {listing: restoredAt(5), then: func(r *fleet.Registry) { r.ReplaceEvacuated(nil, restoredAt(7), start) }, during: true},
		"removed in the same era":      {listing: 20, then: func(*fleet.Registry) {}},
		"listing older than the order": {listing: 5, then: func(*fleet.Registry) {}, during: true, after: true},
	} {
		r := fleet.NewRegistry(grace)
		r.Set(fleet.Endpoint{ID: "e", Service: "s", FailureDomain: "a", Revision: 1})
		r.SetEvacuated("a", 10)
		r.ReplaceEvacuated(nil, c.listing, start)
		c.then(r)
		for _, check := range []struct {
			after time.Duration
			want  bool
		}{{keepTime - time.Millisecond, c.during}, {keepTime, c.after}} {
			r.Expire(start.Add(check.after))
			if e, _ := r.Endpoint("e"); e.Evacuated != check.want || r.Service("s")[0].Evacuated != check.want {
				t.Errorf("%s: evacuated %v after %v, want %v", name, e.Evacuated, check.after, check.want)
			}
		}
	}
}

// TestEvacuationsFollowTheStore guards against a host whose evacuations differ from those of
// the store after any series of orders, removals, listings, outages and restores, and against
// a restored store that ends an evacuation in less than keepTime.
func TestEvacuationsFollowTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now, era, number := fleet.NewRegistry(grace), start, int64(0), int64(0)
		stored := make(map[string]int64)
		held := make(map[string]time.Time) // known, not in the restored store; until when
		next := func() int64 { number++; return kv.MakeRevision(era, number) }
		domain := rapid.SampledFrom([]string{"a", "b", "c"})
		expire := func() {
			for d, until := range held {
				if !now.Before(until) {
					delete(held, d)
				}
			}
			r.Expire(now)
		}
		list := func(*rapid.T) {
			r.ReplaceEvacuated(stored, next(), now)
			expire()
		}
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				d, at := domain.Draw(t, "domain"), next()
				stored[d] = at
				delete(held, d)
				r.SetEvacuated(d, at)
			},
			"remove": func(t *rapid.T) {
				d := domain.Draw(t, "domain")
				if _, ok := stored[d]; ok {
					delete(stored, d)
					r.ClearEvacuated(d, next())
				}
			},
			"list": list,
			"restore": func(t *rapid.T) {
				copied := rapid.SliceOfDistinct(domain, rapid.ID[string]).Draw(t, "copied")
				era++
				for d := range stored {
					if !slices.Contains(copied, d) {
						delete(stored, d)
						held[d] = now.Add(keepTime)
					} else {
						stored[d] = next()
					}
				}
				list(t)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
				expire()
			},
			"": func(t *rapid.T) {
				var want []string
				for _, d := range []string{"a", "b", "c"} {
					_, ordered := stored[d]
					_, kept := held[d]
					if ordered || kept {
						want = append(want, d)
					}
				}
				if got := r.Evacuated(); !slices.Equal(got, want) {
					t.Fatalf("evacuated %v, want %v", got, want)
				}
			},
		})
	})
}
