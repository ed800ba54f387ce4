package balance_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/balance"
)

// TestDigestPreservesLoad guards against loads that are changed by encoding and
// decoding, and against digests larger than their limit.
func TestDigestPreservesLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		from, to := engines(clock, 30), engines(clock, 30)
		for i := range rapid.IntRange(0, 120).Draw(rt, "requests") {
			req := prompt(fmt.Sprint("s", i%7), 2000, rapid.IntRange(1, 9000).Draw(rt, "own"), i)
			req.Priority = rapid.IntRange(0, balance.PriorityLevels-1).Draw(rt, "priority")
			c, err := from.Choose(req)
			if err != nil {
				rt.Fatal(err)
			}
			from.Start(c, req)
		}
		limit := rapid.IntRange(0, 1000).Draw(rt, "limit")
		digest := balance.EncodeLoads(from.LocalLoads(), limit)
		if len(digest) > limit {
			rt.Fatalf("digest of %d bytes, want at most %d", len(digest), limit)
		}
		if err := to.ObserveDigest("from", digest, 2); err != nil {
			rt.Fatal(err)
		}
		if got, want := to.MeanBacklog("", 9), from.MeanBacklog("", 9); limit == 1000 && (got > want || want-got > balance.PriorityLevels*10e6) {
			rt.Errorf("decoded a backlog of %v, want %v less the rounding", got, want)
		}
	})
}

// TestMalformedDigests guards against a panic on a malformed digest, and against loads
// taken from one.
func TestMalformedDigests(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		e := engines(clockwork.NewFakeClock(), 3)
		digest := rapid.SliceOfN(rapid.Byte(), 1, 40).Draw(rt, "digest")
		err := e.ObserveDigest("faulty", digest, 2)
		if err != nil && !errors.Is(err, balance.ErrMalformedDigest) {
			rt.Errorf("got error %v, want ErrMalformedDigest", err)
		}
		if err != nil && e.MeanBacklog("", 9) != 0 {
			rt.Error("the load of a malformed digest is counted")
		}
	})
}
