package limiter_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

// TestWindowBudgetHoldsInEveryWindow guards against bursts at the edge of a
// window: with each repeat, those of the window that ends there stay within the
// share of its requests and the extra.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 10 * time.Second
		clock := clockwork.NewFakeClock()
		cfg := limiter.WindowConfig{Window: window, RetryRatio: 0.8, ExtraRetries: 3}
		b := limiter.NewWindowBudget(clock, cfg)
		type event struct {
			at     time.Time
			repeat bool
		}
		var events []event
		rt.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				b.Request()
				events = append(events, event{clock.Now(), false})
			},
			"repeat": func(*rapid.T) {
				if !b.TryRetry() {
					return
				}
				events = append(events, event{clock.Now(), true})
				requests, repeats := 0, 0
				for _, e := range events {
					if clock.Now().Sub(e.at) > window {
						continue
					}
					if e.repeat {
						repeats++
					} else {
						requests++
					}
				}
				if float64(repeats) > cfg.RetryRatio*float64(requests)+cfg.ExtraRetries {
					rt.Fatalf("%d repeats of %d requests in one window", repeats, requests)
				}
			},
			"wait": func(rt *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 30_000).Draw(rt, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestWindowBudgetRecovers guards against a budget that stays used up after a
// long time without requests.
func TestWindowBudgetRecovers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := limiter.NewWindowBudget(clock, limiter.WindowConfig{Window: time.Second, RetryRatio: 1, ExtraRetries: 2})
	for b.TryRetry() {
	}
	clock.Advance(time.Hour)
	granted := 0
	for b.TryRetry() {
		granted++
	}
	if granted != 2 {
		t.Errorf("%d repeats after a long pause, want the extra two", granted)
	}
}

// TestWindowBudgetKeepsRepeatsOverAReload guards against repeats that are
// forgotten when a reload changes the window.
func TestWindowBudgetKeepsRepeatsOverAReload(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := limiter.WindowConfig{Window: 10 * time.Second, ExtraRetries: 3}
	b := limiter.NewWindowBudget(clock, cfg)
	clock.Advance(7 * time.Second)
	for b.TryRetry() {
	}
	cfg.Window = 2 * time.Second
	b.SetConfig(cfg)
	if b.TryRetry() {
		t.Error("a repeat beyond the bound after the window changed")
	}
	clock.Advance(3 * time.Second)
	if !b.TryRetry() {
		t.Error("no repeat after the new window")
	}
}
