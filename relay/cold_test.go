package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/route"
)

// TestNoRequestIsSentToAnEvacuatedDomain guards against a choice of an endpoint in a domain
// that the host knows to be evacuated: of either kind of service, while endpoints come, drain
// and turn cold, are excluded, avoided or without permits, and domains are evacuated and
// readmitted in any order.
func TestNoRequestIsSentToAnEvacuatedDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, clock := newTestPool(0, &Settings{})
		fleetOf, revision := p.relay.Fleet, int64(0)
		svc := &route.Service{Name: "s", ColdRate: rapid.SampledFrom([]float64{0, 2}).Draw(t, "cold rate"), ColdStart: 5 * time.Second}
		if rapid.Bool().Draw(t, "engines") {
			svc.Engine = &route.Engine{Slots: 4, KVCacheTokens: 1000, TokensPerEvent: 1}
		}
		id := rapid.Custom(func(t *rapid.T) string { return fmt.Sprint("e", rapid.IntRange(0, 8).Draw(t, "endpoint")) })
		domain := rapid.SampledFrom([]string{"a", "b", "c"})
		evacuated := make(map[string]bool)
		t.Repeat(map[string]func(*rapid.T){
			"endpoint": func(t *rapid.T) {
				revision++
				e := fleet.Endpoint{ID: id.Draw(t, "id"), Service: "s", FailureDomain: domain.Draw(t, "domain"), Slots: 4, Revision: revision}
				e.Address, e.Draining = e.ID, rapid.IntRange(0, 4).Draw(t, "draining") == 0
				if rapid.Bool().Draw(t, "cold") {
					e.ColdFor, e.ColdUntil = time.Second, clock.Now().Add(time.Second)
				}
				fleetOf.Set(e)
			},
			"evacuate": func(t *rapid.T) {
				revision++
				d := domain.Draw(t, "domain")
				evacuated[d] = true
				fleetOf.SetEvacuated(d, revision)
			},
			"readmit": func(t *rapid.T) {
				revision++
				d := domain.Draw(t, "domain")
				delete(evacuated, d)
				fleetOf.ClearEvacuated(d, revision)
			},
			"wait": func(t *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 1000).Draw(t, "ms")) * time.Millisecond)
			},
			"request": func(t *rapid.T) {
				j := &job{relay: p.relay, service: svc, pool: p, route: &route.Route{}, req: &Request{}}
				j.exclude, j.avoid = rapid.SliceOfN(id, 0, 3).Draw(t, "excluded"), rapid.SliceOfN(id, 0, 3).Draw(t, "avoided")
				j.coldDenied = rapid.SliceOfN(id, 0, maxColdDenials).Draw(t, "without permit")
				sl, err := p.choose(j, anyVersion)
				if err == nil && evacuated[sl.endpoint.FailureDomain] {
					t.Fatalf("chose %s in the evacuated domain %s", sl.endpoint.ID, sl.endpoint.FailureDomain)
				}
				usable := slices.ContainsFunc(fleetOf.Service("s"), func(e fleet.Endpoint) bool { return !e.Draining && !evacuated[e.FailureDomain] })
				if err != nil && usable && len(j.exclude)+len(j.coldDenied) == 0 {
					t.Fatalf("got error %v although an endpoint is usable", err)
				}
				if err == nil {
					sl.release(limiter.OutcomeOK)
				}
			},
		})
	})
}

// TestReadmittedEndpointsCountAsCold guards against a burst of requests to the empty endpoints
// of a domain whose evacuation ends before their entries say that they are cold, and against
// limits for a service without a rule for cold endpoints.
func TestReadmittedEndpointsCountAsCold(t *testing.T) {
	for _, svc := range []route.Service{{Name: "s"}, {Name: "s", ColdStart: time.Second, ColdRate: 5}} {
		p, clock := newTestPool(3, &Settings{})
		p.relay.Fleet.SetEvacuated("", 100)
		p.refresh(&svc)
		if !p.allEvacuated.Load() {
			t.Error("not all endpoints count as evacuated")
		}
		p.relay.Fleet.ClearEvacuated("", 101)
		p.refresh(&svc)
		limited := svc.ColdRate > 0
		if got := p.relay.Permits.Cold("e0"); got != limited || p.allEvacuated.Load() {
			t.Errorf("cold rate %v: a readmitted endpoint is limited: %v, want %v", svc.ColdRate, got, limited)
		}
		clock.Advance(readmitColdTime)
		p.refresh(&svc)
		if p.relay.Permits.Cold("e0") {
			t.Errorf("a readmitted endpoint is still limited after %v", readmitColdTime)
		}
	}
}

// TestColdEndpointsGetWhatWarmOnesCannotServe guards against requests that go to cold
// endpoints, because these are empty, while warm ones serve them as well.
func TestColdEndpointsGetWhatWarmOnesCannotServe(t *testing.T) {
	for _, engine := range []*route.Engine{nil, {Slots: 4, KVCacheTokens: 1000, TokensPerEvent: 1}} {
		p, clock := newTestPool(2, &Settings{})
		svc := &route.Service{Name: "s", ColdStart: time.Minute, Engine: engine}
		cold := fleet.Endpoint{ID: "e1", Service: "s", Address: "1", Slots: 4, Revision: 3, ColdFor: time.Minute, ColdUntil: clock.Now().Add(time.Minute)}
		p.relay.Fleet.Set(cold)
		j := &job{relay: p.relay, service: svc, pool: p, route: &route.Route{}, req: &Request{}}
		for range 4 {
			if sl, err := p.choose(j, anyVersion); err != nil || sl.endpoint.ID != "e0" {
				t.Fatalf("engines %v: got %+v, %v; want the warm endpoint", engine != nil, sl, err)
			}
		}
		j.exclude = []string{"e0"}
		if sl, err := p.choose(j, anyVersion); err != nil || sl.endpoint.ID != "e1" {
			t.Errorf("engines %v: got %+v, %v; want the cold endpoint, the only one left", engine != nil, sl, err)
		}
	}
}
