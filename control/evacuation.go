package control

import (
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
)

// applyEvacuation applies the order to evacuate a failure domain, or its removal.
func (s *State) applyEvacuation(ev kv.Event, domain string) {
	before := s.fleet.Evacuated()
	if ev.Deleted {
		s.fleet.ClearEvacuated(domain, ev.Entry.Revision)
	} else {
		s.fleet.SetEvacuated(domain, ev.Entry.Revision)
	}
	s.logEvacuations(before)
}

// replaceEvacuated applies the evacuations of a listing at a revision.
func (s *State) replaceEvacuated(listed map[string]int64, revision int64) {
	before, keptBefore := s.fleet.Evacuated(), s.fleet.EvacuationsKept()
	s.fleet.ReplaceEvacuated(listed, revision, s.clock.Now())
	s.logEvacuations(before)
	for _, domain := range s.fleet.EvacuationsKept() {
		if !slices.Contains(keptBefore, domain) {
			s.log.Warn("evacuation kept after a restore", "domain", domain, "revision", revision)
		}
	}
}

// logEvacuations logs the failure domains that have been evacuated or readmitted.
func (s *State) logEvacuations(before []string) {
	now := s.fleet.Evacuated()
	for _, domain := range now {
		if !slices.Contains(before, domain) {
			s.log.Info("domain evacuated", "domain", domain)
		}
	}
	for _, domain := range before {
		if !slices.Contains(now, domain) {
			s.log.Info("domain readmitted", "domain", domain)
		}
	}
}

// decodeEndpoint decodes the entry of an endpoint that arrives now.
func (s *State) decodeEndpoint(e kv.Entry) (fleet.Endpoint, error) {
	ep, err := s.codec.DecodeEndpoint(e)
	if err == nil && ep.ColdFor > 0 {
		ep.ColdUntil = s.clock.Now().Add(ep.ColdFor)
	}
	return ep, err
}

// coldTolerance is how much later an endpoint's cold time may end than was passed on without
// being passed on again. Entries take a varying time to arrive.
const coldTolerance = time.Second

// coldEndChanged reports whether the endpoint with a key has become cold, is cold for longer
// than was passed on to other hosts, or is cold no more. until is zero if it is not cold.
func (s *State) coldEndChanged(key string, until time.Time) bool {
	known, wasCold := s.coldEnds[key]
	if until.IsZero() {
		delete(s.coldEnds, key)
		return wasCold
	}
	if wasCold && until.Sub(known) <= coldTolerance {
		return false
	}
	s.coldEnds[key] = until
	return true
}

// forgetColdEnds drops the endpoints that a listing lacks.
func (s *State) forgetColdEnds(listed []kv.Entry) {
	keep := make(map[string]time.Time, len(s.coldEnds))
	for _, e := range listed {
		if until, ok := s.coldEnds[e.Key]; ok {
			keep[e.Key] = until
		}
	}
	s.coldEnds = keep
}
