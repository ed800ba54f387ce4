package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// bookingActs are what endpoints may do with an attempt, runningActs those in which they run it,
// endingActs those in which the request ends at its host meanwhile.
var (
	bookingActs = []string{"answers", "loses the answer", "ends the request, loses the answer", "is not reached", "rejects", "ends the request, is not reached"}
	runningActs = map[string]bool{"answers": true, "loses the answer": true, "ends the request, loses the answer": true}
	endingActs  = map[string]bool{"ends the request, loses the answer": true, "ends the request, is not reached": true}
)

// booking is one request for a booking, with the acts of the endpoints at its attempts.
type booking struct {
	acts     []string
	attempts int
	runs     int
	end      context.CancelCauseFunc
	cause    error
}

type bookingKey struct{}

// actingEngines is a dispatch.Engines whose endpoints act as the booking in the context says.
type actingEngines struct{ dispatch.Engines }

func (actingEngines) Call(ctx context.Context, _, _, _, _, _ string, _ []byte) (engine.Reply, error) {
	b := ctx.Value(bookingKey{}).(*booking)
	act := b.acts[b.attempts%len(b.acts)]
	b.attempts++
	if runningActs[act] {
		b.runs++
	}
	if endingActs[act] {
		b.end(b.cause)
	}
	switch {
	case act == "answers":
		return engine.Reply{Status: 200}, nil
	case runningActs[act]:
		return engine.Reply{}, &engine.Error{Outcome: api.OutcomeUnknown, Lost: true, Err: errors.New("lost")}
	}
	return engine.Reply{}, &engine.Error{Outcome: api.OutcomeNotRun, Busy: act == "rejects", Err: errors.New("not run")}
}

// TestRepeatedBookingRunsOnce guards against a booking that runs twice because its caller repeats
// it at another host, at the same time or later, and against one that is said not to have run
// which has: endpoints fail, requests end in the middle, and the answers of the store are lost.
func TestRepeatedBookingRunsOnce(t *testing.T) {
	var ran atomic.Int64
	rapid.Check(t, func(rt *rapid.T) {
		hosts := []*rig{newRig(t, 2), newRig(t, 2)}
		for i, r := range hosts {
			r.d.Engines = actingEngines{r.d.Engines}
			for range 100 {
				r.d.Retries.RecordRequest() // so that the budget allows retries
			}
			r.d.Claims = claim.New(hosts[0].kv, clockwork.NewRealClock(), rand.New(rand.NewPCG(testSeed, uint64(i))), fmt.Sprint("host-", i), slog.New(slog.NewTextHandler(io.Discard, nil)))
		}
		key := uuid.Must(uuid.NewV7()).String()
		together := rapid.Bool().Draw(rt, "together")
		var wg sync.WaitGroup
		bookings := make([]booking, rapid.IntRange(2, 4).Draw(rt, "requests"))
		errs := make([]error, len(bookings))
		for i := range bookings {
			b := &bookings[i]
			b.acts = rapid.SliceOfN(rapid.SampledFrom(bookingActs), 1, 3).Draw(rt, "acts")
			b.cause = rapid.SampledFrom([]error{drain.ErrStopping, context.Canceled}).Draw(rt, "cause of an end")
			host := hosts[rapid.IntRange(0, 1).Draw(rt, "host")]
			if fault := rapid.SampledFrom([]memkv.Fault{memkv.None, memkv.ReplyLost, memkv.RequestLost, memkv.Outage}).Draw(rt, "fault of the store"); fault != memkv.None {
				hosts[0].kv.Inject(fault, rapid.IntRange(1, 3).Draw(rt, "calls"))
			}
			ctx, end := context.WithCancelCause(context.WithValue(t.Context(), bookingKey{}, b))
			b.end = end
			wg.Go(func() {
				defer end(nil)
				_, errs[i] = host.d.Service(ctx, dispatch.ServiceRequest{
					ID: key, Key: key, Team: "workshop", Service: "booking", Operation: "book", Body: []byte("{}"),
				})
			})
			if !together {
				wg.Wait()
			}
		}
		wg.Wait()
		total := 0
		for i := range bookings {
			total += bookings[i].runs
			var failure *api.Error
			if errors.As(errs[i], &failure) && failure.Outcome == api.OutcomeNotRun && bookings[i].runs > 0 {
				rt.Fatalf("request %d: %d runs, error %v", i, bookings[i].runs, errs[i])
			}
		}
		if ran.Add(int64(total)); total > 1 {
			rt.Fatalf("%d runs", total)
		}
	})
	if ran.Load() == 0 {
		t.Error("no booking has run")
	}
}
