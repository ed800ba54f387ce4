package fleet_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
)

// TestEvacuationsFollowTheStore guards against a host whose evacuations differ from those of
// the store after any series of orders, removals, listings, also late ones, and restores;
// against a restored store that ends an evacuation in less than 10 s; and against one that
// lasts longer although it is not ordered again.
func TestEvacuationsFollowTheStore(t *testing.T) {
	const keepTime = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		r, now, era, number := fleet.NewRegistry(grace), start, int64(0), int64(0)
		domains := []string{"a", "b", "c"}
		stored, held := make(map[string]int64), make(map[string]time.Time) // held: missing in the restored store, until when kept
		next := func() int64 { number++; return kv.MakeRevision(era, number) }
		for _, d := range domains {
			r.Set(fleet.Endpoint{ID: d, Service: "s", Address: d, FailureDomain: d, Revision: next()})
		}
		domain := rapid.SampledFrom(domains)
		t.Repeat(map[string]func(*rapid.T){
			"order": func(t *rapid.T) {
				d, at := domain.Draw(t, "domain"), next()
				stored[d] = at
				delete(held, d)
				r.SetEvacuated(d, at)
			},
			"remove": func(t *rapid.T) {
				d := domain.Draw(t, "domain")
				at := next()
				delete(stored, d)
				delete(held, d)
				r.ClearEvacuated(d, at)
			},
			"list": func(*rapid.T) { r.ReplaceEvacuated(stored, next(), now) },
			"list late": func(t *rapid.T) {
				at, d, later := next(), domain.Draw(t, "domain"), next()
				stored[d] = later
				delete(held, d)
				r.SetEvacuated(d, later)
				listed := make(map[string]int64)
				for other, ordered := range stored {
					if other != d {
						listed[other] = ordered
					}
				}
				r.ReplaceEvacuated(listed, at, now)
			},
			"restore": func(t *rapid.T) {
				copied := rapid.SliceOfDistinct(domain, rapid.ID[string]).Draw(t, "copied")
				era++
				for d := range stored {
					delete(held, d)
					if stored[d] = next(); !slices.Contains(copied, d) {
						delete(stored, d)
						held[d] = now.Add(keepTime)
					}
				}
				r.ReplaceEvacuated(stored, next(), now)
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
				r.Expire(now)
			},
			"": func(t *rapid.T) {
				for _, d := range domains {
					_, ordered := stored[d]
					want := ordered || now.Before(held[d])
					if e, _ := r.Endpoint(d); e.Evacuated != want || r.Service("s")[slices.Index(domains, d)].Evacuated != want {
						t.Fatalf("endpoint %+v, want evacuated %v", e, want)
					}
				}
			},
		})
	})
}
