package limiter_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

// TestWindowBudgetHoldsInEveryWindow guards against bursts at the edge of a
// window: the retries in the window that ends at a retry must stay within
// RetryRatio of its requests plus ExtraRetries.
func TestWindowBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const window = 10 * time.Second
		clock := clockwork.NewFakeClock()
		cfg := limiter.WindowConfig{Window: window, RetryRatio: 0.8, ExtraRetries: 3}
		b := limiter.NewWindowBudget(clock, cfg)
		type event struct {
			at    time.Time
			retry bool
		}
		var events []event
		rt.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				b.RecordRequest()
				events = append(events, event{clock.Now(), false})
			},
			"retry": func(*rapid.T) {
				if !b.TryRetry() {
					return
				}
				events = append(events, event{clock.Now(), true})
				requests, retries := 0, 0
				for _, e := range events {
					if clock.Now().Sub(e.at) > window {
						continue
					}
					if e.retry {
						retries++
					} else {
						requests++
					}
				}
				if float64(retries) > cfg.RetryRatio*float64(requests)+cfg.ExtraRetries {
					rt.Fatalf("%d retries for %d requests in one window exceed the budget", retries, requests)
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
		t.Errorf("got %d retries after a long pause, want the 2 extra retries", granted)
	}
}

// TestWindowBudgetKeepsRetriesOnReload guards against retries that are
// forgotten when a configuration reload changes the window.
func TestWindowBudgetKeepsRetriesOnReload(t *testing.T) {
	clock := clockwork.NewFakeClock()
	cfg := limiter.WindowConfig{Window: 10 * time.Second, ExtraRetries: 3}
	b := limiter.NewWindowBudget(clock, cfg)
	clock.Advance(7 * time.Second)
	for b.TryRetry() {
	}
	cfg.Window = 2 * time.Second
	b.SetConfig(cfg)
	if b.TryRetry() {
		t.Error("got a retry beyond the limit after the window changed")
	}
	clock.Advance(3 * time.Second)
	if !b.TryRetry() {
		t.Error("got no retry after the new window, want one")
	}
}
