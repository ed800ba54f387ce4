package relay

import (
	"math"
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/upstream"
)

const (
	// silentCheckInterval is the time between two checks of an endpoint that is silent, and
	// silentChecks their number. An endpoint that has crashed is back, or no longer
	// registered, after some seconds.
	silentCheckInterval = time.Second
	silentChecks        = 10
	// servingCheckInterval is the time between two looks at the attempts in flight at an
	// endpoint that refuses connections, and servingChecks their number.
	servingCheckInterval = 100 * time.Millisecond
	servingChecks        = 20
)

// verdict is the result of an investigation.
type verdict int

const (
	// endpointAccepts means that only a connection was lost.
	endpointAccepts verdict = iota
	// endpointDown means that the endpoint refuses connections and others accept them.
	endpointDown
	// endpointSilent means that the endpoint does not answer to a connection attempt and
	// others accept them. It has crashed with its machine, or only this host has lost the
	// path to it.
	endpointSilent
	// linksDown means that this host cannot connect to others either.
	linksDown
)

// investigate finds out after a failure at an endpoint whether the endpoint or the links of
// this host are at fault.
func (ps *paths) investigate(e fleet.Endpoint) verdict {
	err := ps.dial(e)
	if err == nil {
		return endpointAccepts
	}
	others, refused := ps.othersAccept(e), upstream.Refused(err)
	switch {
	case others && refused:
		return endpointDown
	case others:
		return endpointSilent
	case refused && len(ps.reach.Witnesses(e.ID, 1, 0)) == 0:
		return endpointDown // there is no other endpoint to compare with
	}
	return linksDown
}

// crashed reports whether an endpoint has crashed according to an investigation. If the
// endpoint was silent, it waits until the endpoint refuses connections, has started anew or
// is gone. One that accepts connections again, or stays silent, has not crashed as far as
// this host knows. One that was stopped has not, nor one that refuses new connections and goes
// on with its answers.
func (ps *paths) crashed(e fleet.Endpoint, found verdict) bool {
	for range silentChecks {
		if found != endpointSilent {
			break
		}
		ps.pool.relay.Clock.Sleep(silentCheckInterval)
		now, ok := ps.pool.relay.Fleet.Endpoint(e.ID)
		if !ok || now.Started != e.Started {
			return !ps.stops(e)
		}
		found = ps.investigate(e)
	}
	return found == endpointDown && !ps.stops(e) && !ps.servesOn(e.ID)
}

// stops reports whether an endpoint refuses connections because it was stopped: a roll-out has
// ended against its version.
func (ps *paths) stops(e fleet.Endpoint) bool {
	_, replaced := ps.pool.relay.Versions.Successor(ps.pool.service, e.Version)
	return replaced
}

// othersAccept reports whether endpoints other than one that has failed accept connections
// from this host. Calls within checkInterval share the result.
func (ps *paths) othersAccept(failed fleet.Endpoint) bool {
	now := ps.pool.relay.Clock.Now()
	ps.mu.Lock()
	c := ps.checks[failed.FailureDomain]
	if c != nil && now.Sub(c.began) < checkInterval {
		ps.mu.Unlock()
		<-c.done
		return c.opened
	}
	c = &pathCheck{began: now, done: make(chan struct{})}
	ps.checks[failed.FailureDomain] = c
	ps.mu.Unlock()
	defer close(c.done)
	near, far := ps.witnesses(failed)
	errs := ps.dialAll(append(near, far...))
	if len(near) > 0 {
		errs = errs[:len(near)]
	}
	c.opened = slices.Contains(errs, nil)
	return c.opened
}

// witnesses returns endpoints to compare with one that has failed: one of its failure
// domain, and one of another.
func (ps *paths) witnesses(failed fleet.Endpoint) (near, far []fleet.Endpoint) {
	for _, id := range ps.reach.Witnesses(failed.ID, math.MaxInt, ps.pool.relay.random()) {
		e, ok := ps.pool.relay.Fleet.Endpoint(id)
		switch {
		case !ok:
		case e.FailureDomain == failed.FailureDomain && len(near) == 0:
			near = append(near, e)
		case e.FailureDomain != failed.FailureDomain && len(far) == 0:
			far = append(far, e)
		}
	}
	return near, far
}

// servesOn reports whether an endpoint goes on with attempts of this host some time after it
// has refused a connection. If its process has ended, so have all of them.
func (ps *paths) servesOn(id string) bool {
	refused := ps.pool.relay.Clock.Now()
	for range servingChecks {
		ps.mu.Lock()
		running, heard := ps.running[id] > 0, ps.heard[id].After(refused)
		ps.mu.Unlock()
		if !running || heard {
			return running
		}
		ps.pool.relay.Clock.Sleep(servingCheckInterval)
	}
	return true
}
