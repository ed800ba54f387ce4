package balance

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrMalformedDigest reports a load digest that cannot be decoded.
var ErrMalformedDigest = errors.New("balance: malformed load digest")

// digestUnit is the resolution of the backlogs in a digest.
const digestUnit = 10 * time.Millisecond

// A digest is a sequence of entries, one per engine:
//
//   - the hash of the engine's ID, four bytes
//   - the number of running requests
//   - one byte: the first priority with a backlog in the high four bits, the number
//     of priorities from there in the low four
//   - the backlog of each of these priorities, in units of digestUnit
//
// The numbers of running requests and the backlogs are unsigned varints.

// engineKey returns the key of an engine in digests, from the hash of its ID.
func engineKey(idHash uint64) uint32 { return uint32(idHash) }

// EncodeLoads encodes loads, by engine ID, as a digest of at most limit bytes. If
// they do not fit, it leaves out the engines with the smallest backlogs.
func EncodeLoads(loads map[string]EngineLoad, limit int) []byte {
	byKey := make(map[uint32]EngineLoad, len(loads))
	for id, l := range loads {
		byKey[engineKey(hashString(id))] = l
	}
	return encodeDigest(byKey, limit)
}

// encodeDigest encodes loads by engineKey, see EncodeLoads.
func encodeDigest(loads map[uint32]EngineLoad, limit int) []byte {
	type engineEntry struct {
		key       uint32
		load      EngineLoad
		backlogMS int64
	}
	var list []engineEntry
	for key, l := range loads {
		item := engineEntry{key: key, load: l}
		for _, ms := range l.BacklogMS {
			item.backlogMS += ms
		}
		list = append(list, item)
	}
	slices.SortFunc(list, func(a, b engineEntry) int {
		return cmp.Or(cmp.Compare(b.backlogMS, a.backlogMS), cmp.Compare(b.load.Running, a.load.Running), cmp.Compare(a.key, b.key))
	})
	var out []byte
	for _, item := range list {
		next := appendEntry(out, item.key, item.load)
		if len(next) > limit {
			break
		}
		out = next
	}
	return out
}

func appendEntry(out []byte, key uint32, l EngineLoad) []byte {
	first := slices.IndexFunc(l.BacklogMS, func(ms int64) bool { return ms > 0 })
	var backlogs []int64
	if first >= 0 {
		backlogs = l.BacklogMS[first:]
	}
	out = binary.BigEndian.AppendUint32(out, key)
	out = binary.AppendUvarint(out, uint64(l.Running))
	out = append(out, byte(max(first, 0)<<4|len(backlogs)))
	for _, ms := range backlogs {
		out = binary.AppendUvarint(out, uint64(time.Duration(ms)*time.Millisecond/digestUnit))
	}
	return out
}

// ObserveDigest records another host's load digest. hosts is the number of hosts
// in the fleet.
func (e *EngineChooser) ObserveDigest(host string, digest []byte, hosts int) error {
	loads, err := decodeDigest(digest)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = hosts
	now := e.clock.Now()
	e.peers[host] = peerLoad{at: now, loads: loads}
	for h, p := range e.peers {
		if now.Sub(p.at) > peerLoadTTL {
			delete(e.peers, h)
		}
	}
	return nil
}

// decodeDigest returns the loads in a digest by engineKey.
func decodeDigest(digest []byte) (map[uint32]EngineLoad, error) {
	loads := make(map[uint32]EngineLoad)
	for len(digest) > 0 {
		key, l, rest, err := readEntry(digest)
		if err != nil {
			return nil, err
		}
		loads[key], digest = l, rest
	}
	return loads, nil
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
