package balance

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

// PaceSum holds the paces of the engines of a service that several hosts measured.
type PaceSum struct {
	// Digest holds the paces, see LocalPaces.
	Digest []byte
}

// A digest of paces is a sequence of entries, one per engine:
//
//   - the hash of the engine's ID, four bytes
//   - the number of streams measured there and the number of hosts that measured them
//   - the mean gap of these streams, one byte on a logarithmic scale
//   - the tokens of the requests there, in units of paceTokenUnit
//
// The numbers and the tokens are unsigned varints.

const (
	// paceTokenUnit is the resolution of the tokens in a digest.
	paceTokenUnit = 128
	// gapSteps is the number of steps on the scale of gaps for a factor of two, which
	// makes a step 6%. The scale begins at minDigestGap seconds.
	gapSteps     = 12
	minDigestGap = 0.001
)

// pace is what one host or several have measured at an engine.
type pace struct {
	streams, hosts int
	gap            float64 // in seconds; zero without streams
	tokens         int
}

// sourcePaces are the paces that one source has reported, by engineKey.
type sourcePaces map[uint32]pace

// maxGapFactor is the factor by which the gap that a single host reports may differ from
// that of the others. It keeps bad links of one host from driving an engine out of use.
const maxGapFactor = 4

// clipGap returns the gap within maxGapFactor of a reference, which may be unknown (zero).
func clipGap(gap, reference float64) float64 {
	if reference <= 0 {
		return gap
	}
	return min(max(gap, reference/maxGapFactor), reference*maxGapFactor)
}

// sumPaces adds up the paces of several sources. The gap of a single host is clipped by the
// median of all. Of two sources, the lower gap is the median, since bad links only make gaps
// longer.
func sumPaces(sources []sourcePaces) sourcePaces {
	total := make(sourcePaces)
	gaps := make(map[uint32][]float64)
	for _, s := range sources {
		for key, p := range s {
			t := total[key]
			t.streams, t.hosts, t.tokens = t.streams+p.streams, t.hosts+p.hosts, t.tokens+p.tokens
			total[key] = t
			if p.streams > 0 {
				gaps[key] = append(gaps[key], p.gap)
			}
		}
	}
	sums := make(map[uint32]time.Duration, len(gaps)) // integers, so that the order does not matter
	for key := range gaps {
		slices.Sort(gaps[key])
	}
	for _, s := range sources {
		for key, p := range s {
			if all := gaps[key]; p.hosts == 1 && len(all) > 0 {
				p.gap = clipGap(p.gap, all[(len(all)-1)/2])
			}
			sums[key] += time.Duration(p.streams) * time.Duration(p.gap*float64(time.Second))
		}
	}
	for key, t := range total {
		if t.streams > 0 {
			t.gap = sums[key].Seconds() / float64(t.streams)
		}
		total[key] = t
	}
	return total
}

// encodePaces encodes paces in at most limit bytes. If they do not fit, it leaves out the
// engines with the fewest streams.
func encodePaces(paces sourcePaces, limit int) []byte {
	keys := make([]uint32, 0, len(paces))
	for key := range paces {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(paces[b].streams, paces[a].streams), cmp.Compare(paces[b].tokens, paces[a].tokens), cmp.Compare(a, b))
	})
	var out []byte
	for _, key := range keys {
		p := paces[key]
		next := binary.BigEndian.AppendUint32(out, key)
		next = binary.AppendUvarint(next, uint64(p.streams))
		next = binary.AppendUvarint(next, uint64(p.hosts))
		next = append(next, gapCode(p.gap))
		next = binary.AppendUvarint(next, uint64((max(0, p.tokens)+paceTokenUnit/2)/paceTokenUnit))
		if len(next) > limit {
			break
		}
		out = next
	}
	return out
}

func gapCode(gap float64) byte {
	if gap <= minDigestGap {
		return 0
	}
	return byte(min(math.MaxUint8, math.Round(gapSteps*math.Log2(gap/minDigestGap))))
}

func gapOf(code byte) float64 { return minDigestGap * math.Exp2(float64(code)/gapSteps) }

// decodePaces returns the paces in a digest.
func decodePaces(digest []byte) (sourcePaces, error) {
	const keyBytes, maxCount = 4, 1 << 24
	out := make(sourcePaces)
	for b := digest; len(b) > 0; {
		if len(b) < keyBytes {
			return nil, ErrMalformedDigest
		}
		key := binary.BigEndian.Uint32(b)
		b = b[keyBytes:]
		var numbers [3]int // streams, hosts, tokens
		var p pace
		for i := range numbers {
			v, n := binary.Uvarint(b)
			if n <= 0 || v > maxCount {
				return nil, ErrMalformedDigest
			}
			numbers[i], b = int(v), b[n:]
			if i == 1 {
				if len(b) == 0 {
					return nil, ErrMalformedDigest
				}
				p.gap, b = gapOf(b[0]), b[1:]
			}
		}
		p.streams, p.hosts, p.tokens = numbers[0], numbers[1], numbers[2]*paceTokenUnit
		if p.streams == 0 {
			p.gap = 0
		}
		out[key] = p
	}
	return out, nil
}
