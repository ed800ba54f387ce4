package limiter_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/limiter"
)

var epoch = time.Unix(1_700_000_000, 0)

// TestRetryBudgetHoldsOverAnyMinute guards against more than 1.1 attempts per
// request in any minute that ends at a retry, for any traffic and with every
// attempt failing.
func TestRetryBudgetHoldsOverAnyMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(epoch)
		budget := limiter.NewRetryBudget(clock)
		var requests, retries []time.Time
		within := func(times []time.Time) int {
			n := 0
			for _, at := range times {
				if clock.Now().Sub(at) < time.Minute {
					n++
				}
			}
			return n
		}
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			clock.Advance(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 60).Draw(t, "requests") {
				budget.RecordRequest()
				requests = append(requests, clock.Now())
			}
			for range 20 {
				if !budget.TryRetry() {
					break
				}
				retries = append(retries, clock.Now())
				if 10*within(retries) > within(requests) {
					t.Fatalf("%d retries for %d requests, want at most a tenth", within(retries), within(requests))
				}
			}
		}
	})
}

// TestRetryBudgetAllowsItsShare guards against a budget that allows fewer
// retries than stated.
func TestRetryBudgetAllowsItsShare(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	budget := limiter.NewRetryBudget(clock)
	retries := 0
	for range 12_000 { // two minutes of 100 requests/s
		clock.Advance(10 * time.Millisecond)
		budget.RecordRequest()
		if budget.TryRetry() {
			retries++
		}
	}
	if retries < 960 || retries > 1200 {
		t.Fatalf("%d retries for 12000 requests, want 8%% to 10%%", retries)
	}
}

// TestEjectorCapAndSlowStart guards against ejecting more than the capped
// share, and against an ejected endpoint that never returns or returns at full
// weight immediately.
func TestEjectorCapAndSlowStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(epoch)
		ejector := limiter.NewEjector(clock)
		n := rapid.IntRange(1, 12).Draw(t, "endpoints")
		ids := make([]string, n)
		for i := range ids {
			ids[i] = string(rune('a' + i))
		}
		ejector.SetEndpoints(ids)
		limit := n * 34 / 100
		if n >= 2 {
			limit = max(1, limit)
		}
		for range rapid.IntRange(1, 300).Draw(t, "reports") {
			id := rapid.SampledFrom(ids).Draw(t, "endpoint")
			before := ejector.Weight(id)
			outcome := rapid.SampledFrom([]limiter.Outcome{limiter.OutcomeError, limiter.OutcomeError, limiter.OutcomeOK}).Draw(t, "outcome")
			ejector.Report(id, outcome)
			if got := ejector.Ejected(); got > limit {
				t.Fatalf("%d of %d endpoints ejected, want at most %d", got, n, limit)
			}
			if before > 0 && !ejector.Allowed(id) {
				if outcome != limiter.OutcomeError {
					t.Fatalf("endpoint ejected by a successful attempt")
				}
			}
			step := rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, time.Second, 6 * time.Second}).Draw(t, "step")
			clock.Advance(step)
			if before == 0 && ejector.Allowed(id) && ejector.Weight(id) > 0.5 {
				t.Fatalf("weight %v right after the ejection, want at most 0.5", ejector.Weight(id))
			}
		}
		clock.Advance(2 * time.Minute)
		for _, id := range ids {
			if ejector.Weight(id) != 1 {
				t.Fatalf("endpoint %s is not back at weight 1 after 2 minutes", id)
			}
		}
	})
}

// TestEjectorEjectsFailingEndpoint guards against an endpoint that always fails
// and is never ejected.
func TestEjectorEjectsFailingEndpoint(t *testing.T) {
	ejector := limiter.NewEjector(clockwork.NewFakeClockAt(epoch))
	ejector.SetEndpoints([]string{"a", "b", "c"})
	for range 5 {
		ejector.Report("a", limiter.OutcomeError)
	}
	if ejector.Allowed("a") || !ejector.Allowed("b") {
		t.Fatal("want a ejected and b allowed")
	}
}

// TestConcurrencyFollowsLatencyAndErrors guards against a limit that is
// exceeded, that does not react to errors or a rise in latency, or that stays
// low after the cause is gone.
func TestConcurrencyFollowsLatencyAndErrors(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	c := limiter.NewConcurrency(clock, limiter.ConcurrencyConfig{Initial: 20, Min: 2, Max: 40})
	run := func(rounds int, latency time.Duration, outcome limiter.Outcome) int {
		for range rounds {
			taken := 0
			for c.TryAcquire() {
				taken++
			}
			if taken != c.Limit() || c.InFlight() != taken {
				t.Fatalf("acquired %d slots at limit %d", taken, c.Limit())
			}
			clock.Advance(250 * time.Millisecond)
			for range taken {
				c.Release(latency, outcome)
			}
		}
		return c.Limit()
	}
	normal := run(100, 100*time.Millisecond, limiter.OutcomeOK)
	slow := run(40, time.Second, limiter.OutcomeOK)
	if normal != 40 || slow > normal/2 {
		t.Fatalf("limit %d at normal latency, want 40, and %d at 10 times the latency, want at most half", normal, slow)
	}
	recovered := run(100, 100*time.Millisecond, limiter.OutcomeOK)
	failing := run(30, 0, limiter.OutcomeError)
	if recovered != 40 || failing != 2 {
		t.Fatalf("limit %d after recovery, want 40, and %d under errors, want 2", recovered, failing)
	}
	if got := run(1000, 3*time.Second, limiter.OutcomeOK); got > 20 {
		t.Fatalf("limit %d under a standing queue, want at most 20: the base latency rose with the queue", got)
	}
}

// TestSilenceDetectorGivesUpOnlyBrokenConnections guards against a broken
// connection that is detected later than 5 s after the last byte, and against
// giving up a response that is only slow, for any arrival of bytes.
func TestSilenceDetectorGivesUpOnlyBrokenConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := epoch
		d := limiter.NewSilenceDetector(now)
		silentFrom := epoch.Add(time.Duration(rapid.IntRange(0, 30_000).Draw(t, "silent")) * time.Millisecond)
		gap := time.Duration(rapid.IntRange(50, 20_000).Draw(t, "gap")) * time.Millisecond
		kind := rapid.SampledFrom([]string{"gone", "stuck", "undelivered", "unreachable"}).Draw(t, "kind")
		lost := rapid.IntRange(0, 2).Draw(t, "lost") // index modulo 3 of the probes that are lost
		var sent, progress uint64
		lastByte, probes := now, 0
		for {
			now = now.Add(10 * time.Millisecond)
			silent := now.After(silentFrom)
			if !silent || kind == "undelivered" {
				progress++
			}
			if now.Sub(lastByte) >= gap {
				lastByte = now
				sent++
				if !silent {
					d.RecordReceived(now, 1)
				}
			}
			action := d.Poll(now)
			if action == limiter.SilenceProbe {
				probes++
				reachable := !(silent && kind == "unreachable") && probes%3 != lost
				result := limiter.ProbeResult{Running: !(silent && kind == "gone"), Progress: progress, Sent: sent}
				if reachable {
					action = d.HandleProbeResult(now, result)
				}
			}
			if action == limiter.SilenceGiveUp {
				if !silent {
					t.Fatalf("slow response given up after %v", now.Sub(epoch))
				}
				return
			}
			bound := 5 * time.Second
			if kind == "undelivered" {
				bound += gap // the fault shows only when the next token is sent
			}
			if now.Sub(silentFrom) > bound {
				t.Fatalf("fault %q not detected after %v", kind, now.Sub(silentFrom))
			}
		}
	})
}

func BenchmarkRetryBudget(b *testing.B) {
	budget := limiter.NewRetryBudget(clockwork.NewRealClock())
	b.ReportAllocs()
	for b.Loop() {
		budget.RecordRequest()
		budget.TryRetry()
	}
}

func BenchmarkConcurrency(b *testing.B) {
	c := limiter.NewConcurrency(clockwork.NewRealClock(), limiter.ConcurrencyConfig{Initial: 8, Max: 64})
	b.ReportAllocs()
	for b.Loop() {
		c.TryAcquire()
		c.Release(time.Millisecond, limiter.OutcomeOK)
	}
}

func BenchmarkCrashGuardAdmit(b *testing.B) {
	guard := limiter.NewCrashGuard(clockwork.NewRealClock(), time.Second)
	guard.RecordCrash("a", []limiter.Hash{1, 2, 3})
	b.ReportAllocs()
	for b.Loop() {
		guard.Admit(4)
	}
}
