package retryloans_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/retryloans"
	"github.com/corianderlever/corianderlever/membership"
)

// TestBorrowAsksLiveHostsOnly guards against a loan that fails because one host does not know the
// method or does not answer, and against a host that asks itself or hosts that are gone.
func TestBorrowAsksLiveHostsOnly(t *testing.T) {
	clock := clockwork.NewFakeClock()
	handler := retryloans.Handler(func(service string, retries int) int {
		if service != "s" {
			t.Errorf("asked for retries of %q, want s", service)
		}
		return min(2, retries)
	})
	b := retryloans.New(retryloans.Options{
		Self: "self",
		Members: func() []membership.Member {
			return []membership.Member{
				{Host: "self", PeerAddress: "self"}, {Host: "a", PeerAddress: "lends"}, {Host: "b", PeerAddress: "lends", State: membership.Leaving},
				{Host: "c", PeerAddress: "old"}, {Host: "d", PeerAddress: "silent"}, {Host: "e", PeerAddress: "gone", State: membership.Failed},
			}
		},
		Call: func(ctx context.Context, address, _ string, params, result any) error {
			switch address {
			case "lends":
				data, _ := json.Marshal(params)
				reply, err := handler(ctx, "self", data)
				*result.(*retryloans.Reply) = reply.(retryloans.Reply)
				return err
			case "old":
				return errors.New("method not found")
			case "silent":
				<-ctx.Done()
				return ctx.Err()
			}
			t.Errorf("%s was asked", address)
			return nil
		},
		Clock: clock, Rand: rand.New(rand.NewPCG(1, 1)), Logger: slog.New(slog.DiscardHandler),
	})
	lent := make(chan int)
	go func() { lent <- b.Borrow(t.Context(), "s") }()
	if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	clock.Advance(time.Second)
	if got := <-lent; got != 4 {
		t.Errorf("%d retries borrowed, want two of each of two hosts", got)
	}
}
