package control

import (
	"maps"
	"math"
	"time"
)

const (
	// maxSessions bounds the sessions kept for a service.
	maxSessions = 256
	// maxSessionsPerSignal bounds the sessions in one heartbeat signal, because
	// signals of up to 512 bytes go out with every heartbeat in a fleet of any size.
	maxSessionsPerSignal = 40
	// longRequestTime is the duration up to which requests are usually answered.
	longRequestTime = 10 * time.Second
	// canaryShareMargin is the factor by which the share of the first stage may exceed what a
	// host expects by its own requests.
	canaryShareMargin = 2
)

// sessions holds the sessions that the baseline has served recently. The first
// (canary) stage of a roll-out must not move them to the target, because a session
// would change its version midway. Only sessions whose points lie below the maximum
// share of a canary are kept.
type sessions struct {
	lastSeen map[uint32]time.Time
}

func newSessions() *sessions { return &sessions{lastSeen: make(map[uint32]time.Time)} }

// sessionKey converts a session's point in [0, 1) to its key.
func sessionKey(point float64) uint32 { return uint32(point * (math.MaxUint32 + 1)) }

// add records that a session was served now. Above maxSessions it removes the
// sessions that have ended and then arbitrary ones.
func (s *sessions) add(key uint32, now time.Time, lifetime time.Duration) {
	s.lastSeen[key] = now
	if len(s.lastSeen) <= maxSessions {
		return
	}
	s.forgetEnded(now, lifetime)
	for k := range s.lastSeen {
		if len(s.lastSeen) <= maxSessions {
			return
		}
		delete(s.lastSeen, k)
	}
}

// sample returns up to maxSessionsPerSignal sessions that lie below a share and
// may still be active. Map iteration starts at a random place, so that repeated
// calls cover all of them.
func (s *sessions) sample(share float64, now time.Time, lifetime time.Duration) []uint32 {
	var out []uint32
	for k, at := range s.lastSeen {
		if len(out) == maxSessionsPerSignal {
			break
		}
		if k < sessionKey(share) && now.Sub(at) <= lifetime {
			out = append(out, k)
		}
	}
	return out
}

// forgetEnded removes the sessions that have ended.
func (s *sessions) forgetEnded(now time.Time, lifetime time.Duration) {
	maps.DeleteFunc(s.lastSeen, func(_ uint32, at time.Time) bool { return now.Sub(at) > lifetime })
}

// addAll adds the sessions of o with the times at which they were last seen.
func (s *sessions) addAll(o *sessions) {
	for k, at := range o.lastSeen {
		if at.After(s.lastSeen[k]) {
			s.lastSeen[k] = at
		}
	}
}

func (s *sessions) contains(key uint32) bool {
	_, ok := s.lastSeen[key]
	return ok
}

// sessionLifetime returns the time for which a session counts as active after the
// start of its last request.
func (r *Rollouts) sessionLifetime() time.Duration { return longRequestTime + r.stage().SessionTTL }

// beginOrder makes the sessions of the last target, which may be the new baseline, sessions of
// the baseline. It forgets those that have ended: other hosts don't hear of them.
func (s *service) beginOrder(now time.Time, lifetime time.Duration) {
	s.baselineSessions.addAll(s.targetSessions)
	s.baselineSessions.forgetEnded(now, lifetime)
	s.targetSessions = newSessions()
}

// canaryShareBound returns the share below which the first stage may move sessions.
func (r *Rollouts) canaryShareBound(s *service, step Step) float64 {
	if step.Share > 0 {
		return step.Share
	}
	expected := r.stage().CanaryShare(s.rate(r.clock.Now(), r.hosts()))
	return min(r.stage().MaxCanaryShare(), canaryShareMargin*expected)
}

// addBaselineSession records that the baseline serves a session now. It reports whether the
// other hosts must hear of it at once: the first stage may begin before the next heartbeat.
func (r *Rollouts) addBaselineSession(s *service, point float64) (announce bool) {
	now, key := r.clock.Now(), sessionKey(point)
	begins := !s.baselineSessions.contains(key)
	s.baselineSessions.add(key, now, r.sessionLifetime())
	if !begins || !s.hasOrder {
		return false
	}
	step := s.current()
	ahead := step.Share == 0 || !r.stage().CanaryStarted(s.order, s.age.atLeast(now))
	return ahead && !isFinal(step.State) && point < r.canaryShareBound(s, step)
}

// BaselineSessions returns, by service, sessions that stay on the baseline while
// a roll-out is in its first (canary) stage.
func (r *Rollouts) BaselineSessions() map[string][]uint32 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]uint32)
	for name, s := range r.services {
		step := s.current()
		if !s.hasOrder || isFinal(step.State) || step.Share > r.stage().MaxCanaryShare() {
			continue
		}
		if sampled := s.baselineSessions.sample(r.canaryShareBound(s, step), r.clock.Now(), r.sessionLifetime()); len(sampled) > 0 {
			out[name] = sampled
		}
	}
	return out
}

// MergeBaselineSessions adds the sessions that another host has sampled.
func (r *Rollouts) MergeBaselineSessions(sampled map[string][]uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, keys := range sampled {
		known := r.service(name).baselineSessions
		for _, k := range keys {
			if !known.contains(k) {
				known.add(k, r.clock.Now(), r.sessionLifetime())
			}
		}
	}
}
