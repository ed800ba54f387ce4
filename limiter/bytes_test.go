package limiter_test

import (
	"bytes"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

// endless is a sender that never stops.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// TestByteBudgetBoundsAllReaders guards against a host that runs out of memory because
// endpoints send without end: buffers together never exceed the budget, the data read
// is complete, and everything is returned at the end.
func TestByteBudgetBoundsAllReaders(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const total = 64 << 10
		b := limiter.NewByteBudget(total)
		var held []limiter.Buffer
		for range rapid.IntRange(1, 20).Draw(rt, "reads") {
			size := rapid.IntRange(0, 40<<10).Draw(rt, "size")
			limit := rapid.Int64Range(0, 32<<10).Draw(rt, "limit")
			expected := rapid.SampledFrom([]int64{-1, int64(size), 100}).Draw(rt, "expected")
			var r io.Reader = bytes.NewReader(bytes.Repeat([]byte("x"), size))
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				r = endless{}
			case 1:
				r = iotest.HalfReader(r)
			case 2:
				r = iotest.DataErrReader(r)
			}
			buf, err := b.Read(r, limit, expected)
			if b.Used() > total {
				rt.Fatalf("%d bytes in use, want at most %d", b.Used(), total)
			}
			switch {
			case err == nil && (r == endless{} || len(buf.Data) != size):
				rt.Fatalf("read %d of %d bytes without an error", len(buf.Data), size)
			case err == nil:
				held = append(held, buf)
			case !errors.Is(err, limiter.ErrTooLong) && !errors.Is(err, limiter.ErrBufferFull):
				rt.Fatal(err)
			case len(buf.Data) != 0:
				rt.Fatal("data after an error")
			}
			if len(held) > 0 && rapid.Bool().Draw(rt, "release") {
				held[0].Release()
				held = held[1:]
			}
		}
		for i := range held {
			held[i].Release()
			held[i].Release() // has no effect
		}
		if b.Used() != 0 {
			rt.Errorf("%d bytes in use at the end", b.Used())
		}
	})
}

// TestRejectedReservationsTakeNoRoom guards against reservations that have no room, and for a moment
// exceed the budget or take the room of others that have.
func TestRejectedReservationsTakeNoRoom(t *testing.T) {
	const total, rounds, rejecting = 100, 100_000, 2
	b := limiter.NewByteBudget(total)
	var wg sync.WaitGroup
	for range rejecting {
		wg.Go(func() {
			for range rounds {
				if b.Reserve(total + 1) {
					t.Error("more than the budget was reserved")
				}
			}
		})
	}
	missed, most := 0, int64(0)
	for range rounds {
		if b.Reserve(total) {
			b.Release(total)
		} else {
			missed++
		}
		most = max(most, b.Used())
	}
	wg.Wait()
	if missed > 0 || most > total {
		t.Errorf("%d reservations that have room were rejected, at most %d of %d bytes in use", missed, most, total)
	}
}
