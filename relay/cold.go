package relay

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/route"
)

const (
	// readmitColdTime is the time for which endpoints count as cold after their failure
	// domain was evacuated. They may be cold then, and their entries may say so up to two
	// of their heartbeats (1.2 s) later; meanwhile they are empty and look best to all hosts.
	readmitColdTime = 3 * time.Second
	// coldAdvantage is how many times sooner a cold endpoint must be expected to complete a
	// request than a warm one to be preferred: the estimates do not know how slow it is.
	coldAdvantage = 2
	// maxColdDenials is the number of cold endpoints of which a request asks for a permit.
	maxColdDenials = 8
)

// coldRule is what a service says of its cold endpoints.
type coldRule struct {
	rate float64 // that a cold endpoint bears from all hosts together; zero for no limit
	time time.Duration
}

func coldRuleOf(svc *route.Service) coldRule {
	return coldRule{rate: svc.ColdRate, time: svc.ColdStart}
}

// coldEndpoints holds the ends of the cold times of a service's endpoints.
type coldEndpoints struct {
	mu        sync.Mutex
	rule      coldRule
	until     map[string]time.Time
	evacuated map[string]bool
	// readmitted holds the ends of readmitColdTime of the endpoints that were evacuated.
	readmitted map[string]time.Time
}

// set takes over the endpoints of the service. Endpoints of a service without a rule for
// cold ones do not count as cold.
func (c *coldEndpoints) set(endpoints []fleet.Endpoint, rule coldRule, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	evacuated := make(map[string]bool)
	readmitted, until := make(map[string]time.Time), make(map[string]time.Time)
	for _, e := range endpoints {
		switch {
		case e.Evacuated:
			evacuated[e.ID] = true
		case c.evacuated[e.ID]:
			readmitted[e.ID] = now.Add(readmitColdTime)
		case now.Before(c.readmitted[e.ID]):
			readmitted[e.ID] = c.readmitted[e.ID]
		}
		end := e.ColdUntil
		if again := readmitted[e.ID]; again.After(end) {
			end = again
		}
		if rule != (coldRule{}) && now.Before(end) && !e.Evacuated && !e.Draining {
			until[e.ID] = end
		}
	}
	c.rule, c.until, c.evacuated, c.readmitted = rule, until, evacuated, readmitted
}

// end returns the end of the cold time of an endpoint; zero if it is not cold.
func (c *coldEndpoints) end(id string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.until[id]
}

// cold returns the endpoints that are cold.
func (c *coldEndpoints) cold(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	return slices.Collect(maps.Keys(c.until))
}

// setCold takes over which endpoints of the service are cold or evacuated, and returns those
// that may get requests.
func (p *pool) setCold(svc *route.Service) []fleet.Endpoint {
	registered, now := p.relay.Fleet.Service(p.service), p.relay.Clock.Now()
	p.cold.set(registered, coldRuleOf(svc), now)
	open := make([]fleet.Endpoint, 0, len(registered))
	evacuated := 0
	for _, e := range registered {
		p.relay.Permits.SetCold(e.ID, svc.ColdRate, p.cold.end(e.ID))
		switch {
		case e.Draining:
		case e.Evacuated:
			evacuated++
		default:
			open = append(open, e)
		}
	}
	p.allEvacuated.Store(evacuated > 0 && len(open) == 0)
	p.relay.metrics.evacuated.WithLabelValues(p.service).Set(float64(evacuated))
	p.relay.metrics.cold.WithLabelValues(p.service).Set(float64(len(p.cold.cold(now))))
	return open
}

// weight returns the weight of an endpoint in the choice. Permits alone limit a cold one, so
// the ejector's slow start does not count there.
func (p *pool) weight(id string) float64 {
	weight := p.ejector.Weight(id)
	if weight > 0 && p.relay.Clock.Now().Before(p.cold.end(id)) {
		return 1
	}
	return weight
}

// chooseAmong picks an endpoint that is not excluded, a warm one if it serves the request as
// well. A request that a cold endpoint got no permit for takes a cold one only if there is no
// other.
func (p *pool) chooseAmong(j *job, version string, exclude []string) (*slot, error) {
	cold := p.cold.cold(p.relay.Clock.Now())
	if len(cold) == 0 {
		return p.chooseFrom(j, version, exclude)
	}
	warmOnly := append(slices.Clone(exclude), cold...)
	if len(j.coldDenied) > 0 || p.prefersWarm(j, version, exclude, warmOnly, len(cold)) {
		if sl, err := p.chooseFrom(j, version, warmOnly); err == nil {
			return sl, nil
		}
	}
	if len(j.coldDenied) >= maxColdDenials {
		return nil, balance.ErrNoEndpoint
	}
	return p.chooseFrom(j, version, append(slices.Clone(exclude), j.coldDenied...))
}

// prefersWarm reports whether a warm endpoint serves the request as well as a cold one. An
// engine does unless a cold one is expected to be coldAdvantage times faster; the endpoints of
// a plain service do as long as they are the majority.
func (p *pool) prefersWarm(j *job, version string, exclude, warmOnly []string, cold int) bool {
	if j.service.Engine == nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		return 2*cold <= len(p.endpointIDs)
	}
	warm, _, err := p.chooseEngine(j, version, warmOnly)
	if err != nil {
		return false
	}
	best, _, err := p.chooseEngine(j, version, exclude)
	return err != nil || coldAdvantage*best.choice.Completion >= warm.choice.Completion
}

// handleColdDenial handles a cold endpoint that bears no more requests now. Another endpoint
// serves the request, which has not been sent; this does not count as one of its denials.
func (j *job) handleColdDenial(sl *slot) *ErrorResponse {
	j.addStep(sl.endpoint.ID, j.model, "cold")
	j.count("cold")
	j.coldDenied = append(j.coldDenied, sl.endpoint.ID)
	return nil
}

// countColdPermit counts the answer to a request for the permit of a cold endpoint.
func (j *job) countColdPermit(sl *slot, granted bool) {
	if j.relay.Permits.Cold(sl.endpoint.ID) {
		j.relay.metrics.permits.WithLabelValues(j.pool.service, strconv.FormatBool(granted)).Inc()
	}
}

// coldWait returns the shortest time until a cold endpoint may take a request that got no
// permit; zero if all its denials had other reasons.
func (j *job) coldWait() time.Duration {
	if len(j.coldDenied) == 0 {
		return 0
	}
	return max(j.pool.shortestDenial(), shortRetryAfter)
}

// evacuatedRetryAfter is the Retry-After while all endpoints of a service are in evacuated
// failure domains. An evacuation lasts for seconds or longer.
const evacuatedRetryAfter = time.Second

// reasonEvacuated is the reason of an error response if all endpoints of the service are in
// evacuated failure domains.
const reasonEvacuated = "service_evacuated"

// evacuated reports whether the endpoint of the slot has been evacuated since it was chosen.
func (sl *slot) evacuated() bool {
	e, known := sl.pool.relay.Fleet.Endpoint(sl.endpoint.ID)
	return known && e.Evacuated
}
