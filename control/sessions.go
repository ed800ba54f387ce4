package control

import (
	"maps"
	"math"
	"time"
)

const (
	// maxSessions bounds the sessions remembered for a service.
	maxSessions = 256
	// maxSessionsTold bounds those in one message. Signals of up to 512 bytes are
	// sent with every heartbeat in a fleet of any size.
	maxSessionsTold = 40
	// longAnswer is the time after which a request has usually been answered.
	longAnswer = 10 * time.Second
)

// sessions remembers the sessions that a version not on trial has served of
// late. The first stage of a roll-out takes few sessions and must not take those:
// they would change their version under way. Only sessions whose points lie below
// the largest share of a first stage are kept.
type sessions struct {
	seen map[uint32]time.Time
}

func newSessions() *sessions { return &sessions{seen: make(map[uint32]time.Time)} }

// sessionKey identifies a session by its point in [0, 1).
func sessionKey(point float64) uint32 { return uint32(point * (math.MaxUint32 + 1)) }

// add records that a session was served now, and drops those that are over.
func (s *sessions) add(key uint32, now time.Time, life time.Duration) {
	s.seen[key] = now
	if len(s.seen) <= maxSessions {
		return
	}
	maps.DeleteFunc(s.seen, func(_ uint32, at time.Time) bool { return now.Sub(at) > life })
	for k := range s.seen {
		if len(s.seen) <= maxSessions {
			return
		}
		delete(s.seen, k)
	}
}

// some returns sessions below a share that may go on. The map is walked from a
// random place, so that all get their turn.
func (s *sessions) some(share float64, now time.Time, life time.Duration) []uint32 {
	var out []uint32
	for k, at := range s.seen {
		if len(out) == maxSessionsTold {
			break
		}
		if k < sessionKey(share) && now.Sub(at) <= life {
			out = append(out, k)
		}
	}
	return out
}

// held reports whether a session is known.
func (s *sessions) held(key uint32) bool {
	_, ok := s.seen[key]
	return ok
}

// sessionLife returns how long after its start a request keeps its session.
func (r *Rollouts) sessionLife() time.Duration { return longAnswer + r.stage().SessionTTL }

// BaselineSessions returns, by service, sessions that stay on their version while a
// roll-out is in its first stage.
func (r *Rollouts) BaselineSessions() map[string][]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]uint32)
	for name, s := range r.services {
		step := s.current()
		if !s.ordered || final(step.State) || step.Share > r.stage().MaxCanaryShare() {
			continue
		}
		if told := s.others.some(step.Share, r.clock.Now(), r.sessionLife()); len(told) > 0 {
			out[name] = told
		}
	}
	return out
}

// MergeBaselineSessions takes over the sessions that another host knows of.
func (r *Rollouts) MergeBaselineSessions(told map[string][]uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, keys := range told {
		others := r.service(name).others
		for _, k := range keys {
			if !others.held(k) {
				others.add(k, r.clock.Now(), r.sessionLife())
			}
		}
	}
}
