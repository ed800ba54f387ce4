package control

import (
	"encoding/binary"

	"github.com/corianderlever/corianderlever/rollout"
)

const (
	// digestHeaderBytes is the size of a digest's header, the order's revision.
	digestHeaderBytes = 8
	// digestEntryBytes is the size of an entry: the key of the source in four bytes, then
	// one byte each for its good, its bad and its slow answers.
	digestEntryBytes = 7
	// maxDigestBytes keeps a service's digest, which JSON encodes in base64, within 512
	// bytes, the size up to which every heartbeat of a large fleet carries a signal.
	maxDigestBytes = 340
	// maxDigestCount is the highest count that fits into an entry.
	maxDigestCount = 255
)

// CanaryTallies returns, by service, a digest of the target's answer counts by
// source: this host's own and those received from peers. They are forwarded because
// a canary gets few answers, spread over hosts that exchange no direct messages.
// The counts of a source only rise, so they may arrive over several paths.
func (r *Rollouts) CanaryTallies() map[string][]byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]byte)
	for name, s := range r.services {
		if !s.hasOrder || isFinal(s.current().State) {
			continue
		}
		s.mergeCanaryTally(r.self.key(), s.ownTallies[s.order.Target])
		digest := binary.BigEndian.AppendUint64(nil, uint64(s.order.Revision))
		for key, t := range s.canaryTallies { // random start, so that repeated digests cover all hosts
			if len(digest)+digestEntryBytes > maxDigestBytes {
				break
			}
			digest = binary.BigEndian.AppendUint32(digest, key)
			digest = append(digest, byte(min(t.Good, maxDigestCount)), byte(min(t.Bad, maxDigestCount)), byte(min(t.Slow, maxDigestCount)))
		}
		if len(digest) > digestHeaderBytes {
			out[name] = digest
		}
	}
	return out
}

// MergeCanaryTallies merges the digests of another host.
func (r *Rollouts) MergeCanaryTallies(host string, digests map[string][]byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, digest := range digests {
		if len(digest) < digestHeaderBytes || (len(digest)-digestHeaderBytes)%digestEntryBytes != 0 {
			r.log.Warn("canary tallies from peer malformed", "from", host, "service", name, "bytes", len(digest))
			continue
		}
		s := r.service(name)
		if !s.hasOrder || binary.BigEndian.Uint64(digest) != uint64(s.order.Revision) {
			continue
		}
		for e := digest[digestHeaderBytes:]; len(e) > 0; e = e[digestEntryBytes:] {
			s.mergeCanaryTally(binary.BigEndian.Uint32(e), rollout.Tally{Good: int(e[4]), Bad: int(e[5]), Slow: int(e[6])})
		}
		r.evaluateTarget(name, s)
	}
}

// mergeCanaryTally keeps the higher of the known and the given counts of a source.
func (s *service) mergeCanaryTally(key uint32, t rollout.Tally) {
	if t == (rollout.Tally{}) {
		return
	}
	s.canaryTallies[key] = s.canaryTallies[key].Max(t)
}
