package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformedDigest reports loads that cannot be read.
var ErrMalformedDigest = errors.New("balance: malformed digest of loads")

// digestUnit is the resolution of backlogs in a digest.
const digestUnit = 10 * time.Millisecond

// A digest is a sequence of entries: the hash of the engine's id in four bytes,
// the number of running requests, the first level with work and the number of
// levels from there in one byte, and the work of each level in digestUnit.
// Numbers are unsigned varints.

// engineKey names an engine in digests by the hash of its id.
func engineKey(idHash uint64) uint32 { return uint32(idHash) }

// EncodeLoads packs loads into at most limit bytes. What does not fit are the
// engines with the least work.
func EncodeLoads(loads map[string]EngineLoad, limit int) []byte {
	type loaded struct {
		id   string
		load EngineLoad
		work int64
	}
	var list []loaded
	for id, l := range loads {
		one := loaded{id: id, load: l}
		for _, ms := range l.BacklogMS {
			one.work += ms
		}
		list = append(list, one)
	}
	slices.SortFunc(list, func(a, b loaded) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(b.load.Running, a.load.Running), cmp.Compare(a.id, b.id))
	})
	var out []byte
	for _, one := range list {
		next := appendEntry(out, engineKey(hashText(one.id)), one.load)
		if len(next) > limit {
			break
		}
		out = next
	}
	return out
}

func appendEntry(out []byte, key uint32, l EngineLoad) []byte {
	first := slices.IndexFunc(l.BacklogMS, func(ms int64) bool { return ms > 0 })
	var levels []int64
	if first >= 0 {
		levels = l.BacklogMS[first:]
	}
	out = binary.BigEndian.AppendUint32(out, key)
	out = binary.AppendUvarint(out, uint64(l.Running))
	out = append(out, byte(max(first, 0)<<4|len(levels)))
	for _, ms := range levels {
		out = binary.AppendUvarint(out, uint64(time.Duration(ms)*time.Millisecond/digestUnit))
	}
	return out
}

// ObserveDigest takes in another host's load, in a fleet of a number of hosts.
func (e *EngineChooser) ObserveDigest(host string, digest []byte, hosts int) error {
	loads := make(map[uint32]EngineLoad)
	for len(digest) > 0 {
		key, l, rest, err := readEntry(digest)
		if err != nil {
			return err
		}
		loads[key], digest = l, rest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = hosts
	now := e.clock.Now()
	e.peers[host] = peerLoad{at: now, loads: loads}
	for h, p := range e.peers {
		if now.Sub(p.at) > peerLoadLife {
			delete(e.peers, h)
		}
	}
	return nil
}

func readEntry(b []byte) (key uint32, l EngineLoad, rest []byte, err error) {
	const keyBytes = 4
	if len(b) < keyBytes {
		return 0, l, nil, ErrMalformedDigest
	}
	key, b = binary.BigEndian.Uint32(b), b[keyBytes:]
	running, n := binary.Uvarint(b)
	if n <= 0 || n >= len(b) {
		return 0, l, nil, ErrMalformedDigest
	}
	l.Running = int(running)
	first, count := int(b[n]>>4), int(b[n]&0xf)
	b = b[n+1:]
	if count > 0 {
		l.BacklogMS = make([]int64, first, first+count)
	}
	for range count {
		units, n := binary.Uvarint(b)
		if n <= 0 {
			return 0, l, nil, ErrMalformedDigest
		}
		l.BacklogMS = append(l.BacklogMS, (time.Duration(units) * digestUnit).Milliseconds())
		b = b[n:]
	}
	return key, l, b, nil
}
