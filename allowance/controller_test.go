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

// testHost is one place of the fleet; its controller is replaced when it dies.
type testHost struct {
	controller  *Controller
	incarnation int64
	skew        time.Duration
}

// fleetMachine runs hosts, allocators of which old ones go on acting, and a
// network that loses, repeats and reorders messages.
type fleetMachine struct {
	now        time.Time
	hosts      []*testHost
	dead       []*Controller
	allocators []*Allocator
	reports    []Report
	grants     []Grant
	spent      map[Minute]float64 // by the supplier's clock
}

func (f *fleetMachine) local(h *testHost) time.Time { return f.now.Add(h.skew) }

func (f *fleetMachine) boot(t *rapid.T, i int) {
	h := f.hosts[i]
	h.incarnation++
	c, err := NewController(f.local(h), Config{
		Host: fmt.Sprint(i), Incarnation: h.incarnation, Members: len(f.hosts),
		Terms: Terms{PeakPrice: 1, Allowance: testAllowance},
	}, rand.New(rand.NewPCG(1, uint64(i))))
	if err != nil {
		t.Fatal(err)
	}
	h.controller = c
}

// Guards against shares that add up to more than the allowance when grants,
// lapses, deaths of hosts and allocators, message faults and skewed clocks meet.
func TestSharesNeverExceedAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetMachine{now: testStart, spent: map[Minute]float64{}, allocators: []*Allocator{NewAllocator(1)}}
		for range rapid.IntRange(2, 4).Draw(t, "hosts") {
			skew := time.Duration(rapid.IntRange(-1000, 1000).Draw(t, "skewMillis")) * time.Millisecond
			f.hosts = append(f.hosts, &testHost{skew: skew})
		}
		for i := range f.hosts {
			f.boot(t, i)
		}
		f.now = f.now.Add(2 * time.Minute)
		t.Repeat(map[string]func(*rapid.T){
			"round":  f.round,
			"round2": f.round,
			"round3": f.round,
			"edge": func(t *rapid.T) {
				// Just before and after the edge, where clocks disagree on the minute.
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
			"hostDies": func(t *rapid.T) {
				i := rapid.IntRange(0, len(f.hosts)-1).Draw(t, "host")
				f.dead = append(f.dead, f.hosts[i].controller)
				f.boot(t, i)
			},
			"": f.check,
		})
	})
}

// round lets some time pass in which hosts spend and messages are exchanged,
// lost, delayed and repeated.
func (f *fleetMachine) round(t *rapid.T) {
	f.now = f.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "millis")) * time.Millisecond)
	for _, h := range f.hosts {
		f.spend(t, h, rapid.SampledFrom([]int{0, 0, 1, 20}).Draw(t, "requests"))
		fence := int64(len(f.allocators) - rapid.IntRange(0, min(1, len(f.allocators)-1)).Draw(t, "old"))
		f.reports = append(f.reports, h.controller.Report(f.local(h), fence))
	}
	for _, r := range pickSome(t, f.reports, "report") {
		a := rapid.SampledFrom(f.allocators).Draw(t, "allocator")
		if r.Fence > 0 && rapid.IntRange(0, 3).Draw(t, "right") > 0 {
			a = f.allocators[r.Fence-1]
		}
		if err := a.Observe(r); err != nil {
			t.Fatal(err)
		}
		for _, h := range f.hosts {
			if err := h.controller.ObservePeer(f.local(h), r); err != nil {
				t.Fatal(err)
			}
		}
	}
	for _, a := range f.allocators {
		f.grants = append(f.grants, a.Allocate(MinuteOf(f.now), func(string) bool { return true })...)
	}
	for _, g := range pickSome(t, f.grants, "grant") {
		for _, h := range f.hosts {
			h.controller.ApplyGrant(f.local(h), g)
		}
	}
}

// pickSome draws messages, mostly of the latest.
func pickSome[T any](t *rapid.T, all []T, label string) []T {
	var some []T
	for i := max(0, len(all)-8); i < len(all); i++ {
		for range rapid.SampledFrom([]int{0, 1, 1, 2}).Draw(t, label) {
			some = append(some, all[i])
		}
	}
	return some
}

// spend asks for units that are worth no rise and cannot wait.
func (f *fleetMachine) spend(t *rapid.T, h *testHost, requests int) {
	for range requests {
		req := Request{Cost: rapid.Float64Range(0.1, 10).Draw(t, "cost")}
		d := h.controller.Decide(f.local(h), req)
		if d.Overrun != nil {
			t.Fatalf("work that is worth nothing raised: %+v", d.Overrun)
		}
		if d.Action == Admit {
			actual := rapid.SampledFrom([]float64{0.5, 1}).Draw(t, "part") * req.Cost
			h.controller.Settle(f.local(h), d.Commitment, actual)
			f.spent[MinuteOf(f.now)] += actual
		}
	}
}

func (f *fleetMachine) check(t *rapid.T) {
	running := MinuteOf(f.now)
	for m := running - 1; m <= running+1; m++ {
		sum := 0.0
		for _, h := range f.hosts {
			sum += h.controller.share.Limit(m)
		}
		for _, c := range f.dead {
			sum += c.share.Limit(m)
		}
		if sum > testAllowance+tolerance || f.spent[m] > testAllowance+tolerance {
			t.Fatalf("minute %d: shares %v, spent %v, allowance %v", m-running, sum, f.spent[m], testAllowance)
		}
	}
}

// Guards against consumption above the share without a reason, against a
// deferral past the deadline, and against a refusal of work that is worth more
// than the rise.
func TestEachRiseHasAReason(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		c, err := NewController(now.Add(-2*time.Minute), Config{Host: "h", Incarnation: 1, Members: 2,
			Terms: Terms{PeakPrice: 10, Allowance: testAllowance}}, rand.New(rand.NewPCG(1, 1)))
		if err != nil {
			t.Fatal(err)
		}
		reasons := map[Minute]float64{}
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
			req := Request{
				Cost:     rapid.Float64Range(0, 20).Draw(t, "cost"),
				Worth:    rapid.Float64Range(0, 400).Draw(t, "worth"),
				Expected: time.Duration(rapid.IntRange(0, 5).Draw(t, "expected")) * time.Second,
				Deferred: rapid.Bool().Draw(t, "deferred"),
			}
			if rapid.Bool().Draw(t, "hasDeadline") {
				req.Deadline = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "deadline")) * time.Second)
			}
			first, last := touched(now)
			d := c.Decide(now, req)
			switch {
			case d.Action == Defer && (!d.Until.After(now) || d.Until.After(req.lastStart())):
				t.Fatalf("deferred from %v until %v, last start %v", now, d.Until, req.lastStart())
			case d.Action == Reject && req.Worth >= 10*req.Cost:
				t.Fatalf("refused work that is worth the rise: %+v", req)
			}
			if d.Overrun != nil {
				if d.Overrun.Reason != ReasonWorthExceedsRise && d.Overrun.Reason != ReasonBacklogDue || d.Overrun.Units <= 0 {
					t.Fatalf("raise %+v", d.Overrun)
				}
				for m := first; m <= last; m++ {
					reasons[m] += d.Overrun.Units
				}
			}
			for m := first; m <= last; m++ {
				if over := c.meter.UsedUpperBound(m) - reasons[m] - c.share.Limit(m); over > tolerance {
					t.Fatalf("%v units above the share without a reason", over)
				}
			}
		}
	})
}

// Guards against a peak that is missed, lost, or carried into the next month.
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
		t.Fatalf("after a late correction: %+v", s)
	}
	now = now.Add(2 * time.Minute)
	peer := Report{Host: "p", Minute: MinuteOf(now), PreviousUsed: 50}
	if err := c.ObservePeer(now, peer); err != nil {
		t.Fatal(err)
	}
	if s := c.State(now); s.Peak != 120 {
		t.Fatalf("a minute below the peak changed it: %+v", s)
	}
	peer.PreviousUsed = 130
	if err := c.ObservePeer(now, peer); err != nil {
		t.Fatal(err)
	}
	if s := c.State(now); s.Peak != 130 || s.FleetLimit != 130 {
		t.Fatalf("a minute above the peak did not raise it: %+v", s)
	}
	now = time.Date(2026, 4, 1, 0, 0, 10, 0, time.UTC)
	if s := c.State(now); s.Peak != 0 || s.FleetLimit != testAllowance {
		t.Fatalf("the peak of the old month is still standing: %+v", s)
	}
	if s := c.State(now.Add(time.Minute)); s.Peak != 0 {
		t.Fatalf("the first minute of the month raised the peak to that of the old: %+v", s)
	}
}

// BenchmarkDecide measures a decision with an hour of deferred work.
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

// Guards against a share that grows while a member that failed may still use its own.
func TestFailedMembersAreCounted(t *testing.T) {
	now := testStart
	c, err := NewController(now.Add(-3*time.Minute), Config{Host: "h", Incarnation: 1, Members: 4,
		Terms: Terms{PeakPrice: 1, Allowance: testAllowance}}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		t.Fatal(err)
	}
	c.SetMembers(now, 2)
	if got := c.State(now.Add(time.Minute)).Limit; got != testAllowance/4 {
		t.Fatalf("share %v a minute after members failed", got)
	}
	if got := c.State(now.Add(memberWindow + 2*time.Minute)).Limit; got != testAllowance/2 {
		t.Fatalf("share %v after the window", got)
	}
}
