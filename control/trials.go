package control

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// trialHeader is the revision of the order at the head of a digest.
	trialHeader = 8
	// trialEntry is the size of an entry: the host's key in four bytes, its good
	// and its bad answers.
	trialEntry = 6
	// maxTrialBytes keeps the digests within the 512 bytes up to which every
	// heartbeat of a large fleet carries a signal.
	maxTrialBytes = 340
	// maxTrialCount bounds the answers that one host tells of.
	maxTrialCount = 255
)

func hostKey(host string) uint32 { return uint32(xxhash.Sum64String(host)) }

// CanaryTallies returns, by service, what hosts have seen of a version on trial: own
// answers and those that others have told of. Few answers decide there, at hosts
// that do not hear of each other directly. A host's counts only rise, so that they
// may come by several ways.
func (r *Rollouts) CanaryTallies() map[string][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]byte)
	for name, s := range r.services {
		if !s.ordered || final(s.current().State) {
			continue
		}
		s.noteTrial(hostKey(r.self), s.own[s.order.Target])
		digest := binary.BigEndian.AppendUint64(nil, uint64(s.order.Revision))
		for key, t := range s.trial { // from a random place, so that all get their turn
			if len(digest)+trialEntry > maxTrialBytes {
				break
			}
			digest = binary.BigEndian.AppendUint32(digest, key)
			digest = append(digest, byte(min(t.Good, maxTrialCount)), byte(min(t.Bad, maxTrialCount)))
		}
		if len(digest) > trialHeader {
			out[name] = digest
		}
	}
	return out
}

// MergeCanaryTallies takes over what another host has told of versions on trial.
func (r *Rollouts) MergeCanaryTallies(host string, trials map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, digest := range trials {
		if len(digest) < trialHeader || (len(digest)-trialHeader)%trialEntry != 0 {
			r.log.Warn("evidence of a host not read", "from", host, "service", name, "bytes", len(digest))
			continue
		}
		s := r.service(name)
		if !s.ordered || binary.BigEndian.Uint64(digest) != uint64(s.order.Revision) {
			continue
		}
		for e := digest[trialHeader:]; len(e) > 0; e = e[trialEntry:] {
			s.noteTrial(binary.BigEndian.Uint32(e), rollout.Tally{Good: int(e[4]), Bad: int(e[5])})
		}
		r.judge(name, s)
	}
}

// noteTrial takes over the newer of two counts of one host.
func (s *service) noteTrial(key uint32, t rollout.Tally) {
	if t == (rollout.Tally{}) {
		return
	}
	k := s.trial[key]
	s.trial[key] = rollout.Tally{Good: max(k.Good, t.Good), Bad: max(k.Bad, t.Bad)}
}
