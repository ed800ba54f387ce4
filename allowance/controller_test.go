package allowance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 3, 1, 12, 0, 30, 0, time.UTC)

const (
	testAllowance = 100.0
	tolerance     = 1e-6
)

// testHost is one host of the fleet. Its controller is replaced when it fails.
type testHost struct {
	controller  *Controller
	incarnation int64
	skew        time.Duration
}

// fleetModel simulates hosts, allocators (replaced ones stay active), and a network
// that loses, duplicates and reorders messages.
type fleetModel struct {
	now        time.Time
	hosts      []*testHost
	failed     []*Controller
	allocators []*Allocator
	reports    []Report
	grants     []Grant
	spent      map[Minute]float64 // consumption by the supplier's clock
}

func (f *fleetModel) localTime(h *testHost) time.Time { return f.now.Add(h.skew) }

func (f *fleetModel) startHost(t *rapid.T, i int) {
	h := f.hosts[i]
	h.incarnation++
	c, err := NewController(f.localTime(h), Config{
		Host: fmt.Sprint(i), Incarnation: h.incarnation, Members: len(f.hosts),
		Terms: Terms{PeakPrice: 1, Allowance: testAllowance},
	}, rand.New(rand.NewPCG(1, uint64(i))))
	if err != nil {
		t.Fatal(err)
	}
	h.controller = c
}

// TestSharesNeverExceedAllowance guards against shares that add up to more than
// the allowance under a combination of grants, failed hosts, replaced allocators,
// message faults and clock skew.
func TestSharesNeverExceedAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetModel{now: testStart, spent: map[Minute]float64{}, allocators: []*Allocator{NewAllocator(1)}}
		for range rapid.IntRange(2, 4).Draw(t, "hosts") {
			skew := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skewMillis")) * time.Millisecond
			f.hosts = append(f.hosts, &testHost{skew: skew})
		}
		for i := range f.hosts {
			f.startHost(t, i)
		}
		f.now = f.now.Add(2 * time.Minute)
		t.Repeat(map[string]func(*rapid.T){
			"round":  f.round,
			"round2": f.round,
			"round3": f.round,
			"edge": func(t *rapid.T) {
				// Just before and after a minute boundary, where clocks disagree on the
				// minute.
				edge := (MinuteOf(f.now) + 1).Start().Add(-MaxClockSkew * 3 / 4)
				for range 3 {
					f.now = edge
					f.round(t)
					edge = edge.Add(MaxClockSkew * 3 / 4)
				}
			},
			"newAllocator": func(*rapid.T) {
				f.allocators = append(f.allocators, NewAllocator(int64(len(f.allocators)+1)))
			},
			"hostFails": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
				f.failed = append(f.failed, f.hosts[i].controller)
				f.startHost(t, i)
			},
			"": f.check,
		})
	})
}

// round advances the time. Hosts admit requests and exchange messages, which may be
// lost, delayed and duplicated.
func (f *fleetModel) round(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "millis")) * time.Millisecond)
	for _, h := range f.hosts {
		f.spend(t, h, rapid.SampledFrom([]int{0, 0, 1, 20}).Draw(t, "requests"))
		fence := int64(len(f.allocators) - rapid.IntRange(0, min(1, len(f.allocators)-1)).Draw(t, "old"))
		f.reports = append(f.reports, h.controller.Report(f.localTime(h), fence))
	}
	for _, r := range sampleMessages(t, f.reports, "report") {
		a := rapid.SampledFrom(f.allocators).Draw(t, "allocator")
		if r.Fence > 0 && rapid.IntRange(0, 3).Draw(t, "rightAllocator") > 0 {
			a = f.allocators[r.Fence-1]
		}
		if err := a.Observe(r); err != nil {
			t.Fatal(err)
		}
		for _, h := range f.hosts {
			if err := h.controller.ObservePeer(f.localTime(h), r); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, a := range f.allocators {
		f.grants = append(f.grants, a.Allocate(MinuteOf(f.now), func(string) bool { return true })...)
	}
	for _, g := range sampleMessages(t, f.grants, "grant") {
		for _, h := range f.hosts {
			h.controller.ApplyGrant(f.localTime(h), g)
		}
	}
}

// sampleMessages draws from the latest 8 messages, each 0 to 2 times.
func sampleMessages[T any](t *rapid.T, all []T, label string) []T {
	var delivered []T
	for i := max(0, len(all)-8); i < len(all); i++ {
		for range rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(t, label) {
			delivered = append(delivered, all[i])
		}
	}
	return delivered
}

// spend runs requests that cannot wait and are worth nothing. They must never exceed
// the share.
func (f *fleetModel) spend(t *rapid.T, h *testHost, requests int) {
	for range requests {
		req := Request{Cost: rapid.Float64Range(0.1, 10).Draw(t, "cost")}
		d := h.controller.Decide(f.localTime(h), req)
		if d.Overrun != nil {
			t.Fatalf("a request that is worth nothing exceeded the share: %+v", d.Overrun)
		}
		if d.Action == Admit {
			actual := rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "part") * req.Cost
			h.controller.Settle(f.localTime(h), d.Commitment, actual)
			f.spent[MinuteOf(f.now)] += actual
		}
	}
}

func (f *fleetModel) check(t *rapid.T) {
	running := MinuteOf(f.now)
	for m := running - 1; m <= running+1; m++ {
		sum := 0.0
		for _, h := range f.hosts {
			sum += h.controller.share.Limit(m)
		}
		for _, c := range f.failed {
			sum += c.share.Limit(m)
		}
		if sum > testAllowance+tolerance || f.spent[m] > testAllowance+tolerance {
			t.Fatalf("minute %d after the current one: shares add up to %v, consumption is %v, want at most the allowance %v", m-running, sum, f.spent[m], testAllowance)
		}
	}
}

// TestEachOverrunIsJustified guards against unjustified consumption above the
// share, requests deferred past their latest start, and rejection of requests
// that are worth more than the increase of the bill.
func TestEachOverrunIsJustified(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		c, err := NewController(now.Add(-2*time.Minute), Config{Host: "h", Incarnation: 1, Members: 2,
			Terms: Terms{PeakPrice: 10, Allowance: testAllowance}}, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		justified := map[Minute]float64{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
			req := Request{
				Cost:             rapid.Float64Range(0, 20).Draw(t, "cost"),
				Worth:            rapid.Float64Range(0, 400).Draw(t, "worth"),
				ExpectedDuration: time.Duration(rapid.IntRange(0, 5).Draw(t, "expected")) * time.Second,
				Deferred:         rapid.Bool().Draw(t, "deferred"),
			}
			if rapid.Bool().Draw(t, "hasDeadline") {
				req.Deadline = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "deadline")) * time.Second)
			}
			first, last := possibleMinutes(now)
			d := c.Decide(now, req)
			switch {
			case d.Action == Defer && (!d.Until.After(now) || d.Until.After(req.latestStart())):
				t.Fatalf("request deferred from %v until %v, want after now and before the latest start %v", now, d.Until, req.latestStart())
			case d.Action == Reject && req.Worth >= 10*req.Cost:
				t.Fatalf("rejected a request that is worth raising the peak: %+v", req)
			}
			if d.Overrun != nil {
				if d.Overrun.Reason != ReasonWorthExceedsRise && d.Overrun.Reason != ReasonBacklogDue || d.Overrun.Units <= 0 {
					t.Fatalf("overrun without units or with a wrong reason: %+v", d.Overrun)
				}
				for m := first; m <= last; m++ {
					justified[m] += d.Overrun.Units
				}
			}
			for m := first; m <= last; m++ {
				if unjustified := c.meter.UsedUpperBound(m) - justified[m] - c.share.Limit(m); unjustified > tolerance {
					t.Fatalf("%v units above the share without a recorded overrun", unjustified)
				}
			}
		}
	})
}

// TestStandingPeak guards against a standing peak that is missed, lost or carried
// over into the next month.
func TestStandingPeak(t *testing.T) {
	now := time.Date(2026, 3, 31, 23, 50, 10, 0, time.UTC)
	c, err := NewController(now.Add(-3*time.Minute), Config{Host: "h", Incarnation: 1, Members: 1,
		Terms: Terms{PeakPrice: 1, Allowance: testAllowance, StandingPeak: 120}}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	d := c.Decide(now, Request{Cost: 90, Worth: 1e9})
	c.Settle(now.Add(2*time.Minute), d.Commitment, 110) // 20 more than estimated, after the minute closed
	if s := c.State(now.Add(2 * time.Minute)); s.Used != 20 || s.FleetLimit != 120 {
		t.Fatalf("state after a late correction: %+v, want 20 used and fleet limit 120", s)
	}
	now = now.Add(2 * time.Minute)
	peer := Report{Host: "p", Minute: MinuteOf(now), PreviousUsed: 50}
	if err := c.ObservePeer(now, peer); err != nil {
		t.Fatal(err)
	}
	if s := c.State(now); s.Peak != 120 {
		t.Fatalf("a minute below the peak changed the peak, want 120: %+v", s)
	}
	peer.PreviousUsed = 130
	if err := c.ObservePeer(now, peer); err != nil {
		t.Fatal(err)
	}
	if s := c.State(now); s.Peak != 130 || s.FleetLimit != 130 {
		t.Fatalf("a minute above the peak did not raise the peak and fleet limit to 130: %+v", s)
	}
	now = time.Date(2026, 4, 1, 0, 0, 10, 0, time.UTC)
	if s := c.State(now); s.Peak != 0 || s.FleetLimit != testAllowance {
		t.Fatalf("the peak of the previous month still applies: %+v", s)
	}
	if s := c.State(now.Add(time.Minute)); s.Peak != 0 {
		t.Fatalf("the first minute of the new month raised its peak, want 0: %+v", s)
	}
}

// BenchmarkDecide measures Decide with an hour of deferred work.
func BenchmarkDecide(b *testing.B) {
	c, err := NewController(testStart.Add(-3*time.Minute), Config{Host: "h", Incarnation: 1, Members: 7,
		Terms: Terms{PeakPrice: 10, Allowance: testAllowance}}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		b.Fatal(err)
	}
	i := 0
	b.ReportAllocs()
	for b.Loop() {
		i++
		now := testStart.Add(time.Duration(i) * time.Microsecond)
		deadline := now.Add(time.Duration(2+i%60) * time.Minute)
		c.Decide(now, Request{Cost: 1, Worth: 20, Deadline: deadline})
	}
}

// TestShareCountsFailedMembers guards against a share that grows while a failed
// member may still use its share.
func TestShareCountsFailedMembers(t *testing.T) {
	now := testStart
	c, err := NewController(now.Add(-3*time.Minute), Config{Host: "h", Incarnation: 1, Members: 4,
		Terms: Terms{PeakPrice: 1, Allowance: testAllowance}}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	c.SetMembers(now, 2)
	if got := c.State(now.Add(time.Minute)).Limit; got != testAllowance/4 {
		t.Fatalf("got share %v one minute after members failed, want a quarter of the allowance", got)
	}
	if got := c.State(now.Add(memberCountWindow + 2*time.Minute)).Limit; got != testAllowance/2 {
		t.Fatalf("got share %v after memberCountWindow, want half of the allowance", got)
	}
}
