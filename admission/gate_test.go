package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

// gateOracle decides from the whole history what a gate may do.
type gateOracle struct {
	loads    []loadSample
	admitted map[string]time.Time // last admission by model
}

type loadSample struct {
	at   time.Time
	load float64
}

// mayOverload reports whether the load was ever above 1 for half a second, without a sample of
// 1 or less and without 3 s between two samples.
func (o *gateOracle) mayOverload() bool {
	var since, last time.Time
	for _, s := range o.loads {
		if s.load <= 1 || s.at.Sub(last) > 3*time.Second {
			since = s.at
		}
		last = s.at
		if s.load > 1 && s.at.Sub(since) >= 500*time.Millisecond {
			return true
		}
	}
	return false
}

// TestGateRejectsOnlyWhatItMay guards against rejections without lasting overload or lack of
// time, against rejections for the load of requests that were admitted before, and against
// times to return that callers do not accept.
func TestGateRejectsOnlyWhatItMay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClock()
		g := NewGate(clock, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		o := gateOracle{admitted: map[string]time.Time{}}
		calm := rapid.Bool().Draw(t, "calm")
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			clock.Advance(time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 20).Draw(t, "long") == 0 {
				clock.Advance(6 * time.Second)
			}
			highest := 3.0
			if calm {
				highest = 1
			}
			r := GateRequest{
				Team: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "team"), Model: rapid.SampledFrom([]string{"m", "n"}).Draw(t, "model"),
				Rank: rapid.IntRange(-1, 12).Draw(t, "rank"), Key: rapid.Uint64Range(0, 9).Draw(t, "key"),
				Left:       time.Duration(rapid.IntRange(1, 20_000).Draw(t, "left")) * time.Millisecond,
				FirstEvent: time.Duration(rapid.IntRange(0, 12_000).Draw(t, "first")) * time.Millisecond,
				Load:       rapid.Float64Range(0, highest).Draw(t, "load"), LengthStated: rapid.Bool().Draw(t, "stated"),
				AlreadyAdmitted: rapid.IntRange(0, 4).Draw(t, "already") == 0,
			}
			r.Completion = r.FirstEvent + time.Duration(rapid.IntRange(0, 60_000).Draw(t, "rest"))*time.Millisecond
			now := clock.Now()
			o.loads = append(o.loads, loadSample{now, r.Load})
			o.check(t, now, r, g.Admit(r))
		}
	})
}

func (o *gateOracle) check(t *rapid.T, now time.Time, r GateRequest, d GateDecision) {
	tolerance := 3.0
	if r.LengthStated {
		tolerance = 1.5
	}
	cannotBegin := r.FirstEvent > r.Left
	late := !r.AlreadyAdmitted && r.Completion.Seconds() > tolerance*r.Left.Seconds()+1e-6 && now.Sub(o.admitted[r.Model]) < 5*time.Second
	quarter := max(100*time.Millisecond, r.Left/4)
	switch d.Reason {
	case "":
		if cannotBegin || late {
			t.Fatalf("admitted %+v, which cannot end in time", r)
		}
		if !r.AlreadyAdmitted {
			o.admitted[r.Model] = now
		}
		return
	case GateNoRoomInTime:
		if !cannotBegin && !late {
			t.Fatalf("rejected %+v for lack of time", r)
		}
		if wait := max(100*time.Millisecond, r.FirstEvent-r.Left); cannotBegin && (d.RetryAfter < wait || d.RetryAfter > wait*3/2) {
			t.Fatalf("%+v has no room for %v, got Retry-After %v", r, wait, d.RetryAfter)
		}
	case GateRankYields, GateTeamOverShare:
		if r.AlreadyAdmitted || !d.Overloaded || !o.mayOverload() {
			t.Fatalf("rejected %+v without lasting overload: %+v", r, d)
		}
	default:
		t.Fatalf("unknown reason %q", d.Reason)
	}
	if !cannotBegin && (d.RetryAfter < 100*time.Millisecond || d.RetryAfter > quarter) {
		t.Fatalf("got Retry-After %v with %v left", d.RetryAfter, r.Left)
	}
}

// TestDivisionAmongRanksAndTeams guards against a rank that yields to a less urgent one, a rank
// or team without its minimum, and a division of more than there is.
func TestDivisionAmongRanksAndTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var asked [maxGateRanks]float64
		total := 0.0
		for i := range asked {
			if rapid.Bool().Draw(t, "asks") {
				asked[i] = rapid.Float64Range(0.1, 50).Draw(t, "asked")
			}
			total += asked[i]
		}
		fraction, urgent, first, ranks := rapid.Float64Range(0.05, 1).Draw(t, "fraction"), rapid.Float64Range(0, 1).Draw(t, "urgent"), 0.0, 0.0
		for i := len(asked) - 1; i >= 0; i-- {
			if asked[i] > 0 {
				first = asked[i]
				ranks++
			}
		}
		room := max(fraction*total, min(first/(1-minRankShare*max(0, ranks-1)), urgent*total))
		out := divideRanks(asked, fraction, urgent)
		sum, yielded := 0.0, false
		for i, n := range out {
			sum += n
			least := min(asked[i], minRankShare*room)
			if n > asked[i]+1e-9 || n < least-1e-9 || yielded && n > least+1e-9 {
				t.Fatalf("asked %v, room %v, got %v", asked, room, out)
			}
			yielded = yielded || n < asked[i]-1e-9
		}
		if math.Abs(sum-room) > 1e-6 {
			t.Fatalf("asked %v, room %v, divided %v", asked, room, sum)
		}

		teams := rapid.SliceOfN(rapid.Float64Range(0.01, 20), 1, 20).Draw(t, "teams")
		wanted, used := 0.0, 0.0
		for _, n := range teams {
			wanted += n
		}
		share := rapid.Float64Range(0.01, 2).Draw(t, "share") * wanted
		level := evenLevel(teams, share)
		for _, n := range teams {
			used += min(n, level)
		}
		if math.Abs(used-min(share, wanted)) > 1e-6 || level < share/float64(len(teams))-1e-6 {
			t.Fatalf("teams %v, room %v: level %v uses %v", teams, share, level, used)
		}
	})
}

// overloadedGate returns a gate that is overloaded at the given load.
func overloadedGate(clock *clockwork.FakeClock, load float64) *Gate {
	g := NewGate(clock, rand.New(rand.NewPCG(1, 1)))
	for range 10 {
		g.Admit(GateRequest{Team: "warm", Rank: 9, Left: time.Minute, Load: load})
		clock.Advance(100 * time.Millisecond)
	}
	return g
}

// TestNoRankOrTeamStarves guards against a rank or a team that gets nothing while another one
// floods the service.
func TestNoRankOrTeamStarves(t *testing.T) {
	for _, load := range []float64{1.05, 1.5, 10} {
		clock := clockwork.NewFakeClock()
		g := overloadedGate(clock, load)
		admitted, total := map[string]int{}, 0
		for i := range 12_000 { // 10 min, 20 requests a second
			r := GateRequest{Team: "flood", Rank: 0, Left: time.Minute, Load: load}
			switch i % 20 {
			case 5:
				r.Team = "small"
			case 10, 11, 12:
				r.Rank = 6
			case 13:
				r.Team, r.Rank = "small", 6
			}
			if g.Admit(r).Admitted() {
				admitted[fmt.Sprint(r.Team, r.Rank)]++
				total++
			}
			clock.Advance(50 * time.Millisecond)
		}
		// Rank 6 keeps its minimum, half for each team, and rank 0 has the rest. Teams that ask for
		// less than their part, 600 times, get what they ask for.
		for class, part := range map[string]float64{"small0": 0.45, "flood0": 0.45, "small6": minRankShare / 2, "flood6": minRankShare / 2} {
			least := min(600, part*float64(total))
			if got := float64(admitted[class]); got < 0.9*least {
				t.Errorf("load %v: class %s got %v of %d admitted requests, want %v: %v", load, class, got, total, least, admitted)
			}
		}
	}
}

// TestReturnsGoBeforeNewcomers guards against a caller that loses its only retry to newcomers,
// and against callers that gain by repeating at once.
func TestReturnsGoBeforeNewcomers(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := overloadedGate(clock, 1.4)
	request := func(key uint64) GateRequest {
		return GateRequest{Team: "a", Rank: 3, Key: key, Left: 10 * time.Second, Completion: time.Second, Load: 1.4}
	}
	key, d := uint64(1), GateDecision{}
	for d = g.Admit(request(key)); d.Admitted(); d = g.Admit(request(key)) {
		key++
	}
	if again := g.Admit(request(key)); again.Admitted() || again.RetryAfter > d.RetryAfter {
		t.Errorf("a repeat at once got %+v after %+v, want a rejection for the rest of the time", again, d)
	}
	clock.Advance(d.RetryAfter)
	for key := uint64(1000); g.Admit(request(key)).Admitted(); key++ { // until a newcomer is rejected
	}
	if back := g.Admit(request(key)); !back.Admitted() || !back.Returned {
		t.Errorf("a request that returned in time got %+v", back)
	}
}

// TestGateMemoryIsBounded guards against memory that grows with the number of teams, models or
// rejected requests.
func TestGateMemoryIsBounded(t *testing.T) {
	clock := clockwork.NewFakeClock()
	g := overloadedGate(clock, 3)
	for i := range 20_000 {
		g.Admit(GateRequest{Team: fmt.Sprint(i), Model: fmt.Sprint(i), Rank: i, Key: uint64(i + 1), Left: time.Minute, Load: 3})
		if i%50 == 0 {
			clock.Advance(time.Millisecond)
		}
	}
	r := &g.returns
	if len(r.last) > maxGateReturns || len(r.order) > maxGateReturns || len(g.shares.list) > maxGateClasses || len(g.shares.classes) > maxGateClasses || len(g.lastAdmitted) > maxGateModels {
		t.Errorf("got %d and %d rejections, %d classes, %d models", len(r.last), len(r.order), len(g.shares.list), len(g.lastAdmitted))
	}
}
