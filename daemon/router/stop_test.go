package router

import (
	"log/slog"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// TestGracePeriodThatChangesDuringAStop guards against a stop that cuts all requests at once
// because its settings lack a grace period, or that outlasts a grace period which was
// shortened.
func TestGracePeriodThatChangesDuringAStop(t *testing.T) {
	const second = time.Second
	for name, test := range map[string]struct {
		before, after time.Duration // the grace period at the signal and a second later
		open, cut     time.Duration // after the signal
	}{
		"unchanged":        {8 * second, 8 * second, 7300 * time.Millisecond, 7400 * time.Millisecond},
		"gone":             {8 * second, 0, 7300 * time.Millisecond, 7400 * time.Millisecond},
		"negative":         {8 * second, -second, 7300 * time.Millisecond, 7400 * time.Millisecond},
		"longer":           {8 * second, 20 * second, 7300 * time.Millisecond, 7400 * time.Millisecond},
		"shorter":          {8 * second, 4 * second, 3400 * time.Millisecond, 3500 * time.Millisecond},
		"already over":     {8 * second, second / 2, second, second + time.Millisecond},
		"unknown":          {0, 0, 4300 * time.Millisecond, 4400 * time.Millisecond},
		"unknown at first": {0, 8 * second, 4300 * time.Millisecond, 4400 * time.Millisecond},
		"unknown, shorter": {0, 4 * second, 3400 * time.Millisecond, 3500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			h := &Host{opts: Options{Clock: clock, Logger: slog.New(slog.DiscardHandler)}}
			h.servers = newServerService(h)
			h.SetBounds(Bounds{GracePeriod: test.before})
			s := h.beginStop()
			defer s.cancel()
			clock.Advance(second)
			if test.open >= second && s.requests.Err() != nil {
				t.Fatal("the requests are cut before the change")
			}
			h.SetBounds(Bounds{GracePeriod: test.after})
			if test.open > second {
				clock.Advance(test.open - second)
				if s.requests.Err() != nil {
					t.Errorf("the requests are cut within %v", test.open)
				}
			}
			clock.Advance(test.cut - max(test.open, second))
			select {
			case <-s.requests.Done():
			case <-time.After(5 * time.Second):
				t.Errorf("the requests are not cut after %v", test.cut)
			}
			if left := s.untilCut(); left > 0 {
				t.Errorf("got %v until the cut, want none", left)
			}
		})
	}
}
