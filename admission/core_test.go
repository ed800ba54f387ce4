package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

var (
	testRanks = []Rank{
		{Name: "urgent", Priority: 0, Floor: 0.5, MaxWait: 20 * time.Second},
		{Name: "normal", Priority: 1, Floor: 0.25},
		{Name: "batch", Priority: 2, Floor: 0.125, MaxWait: 60 * time.Second},
	}
	testTeams = []Team{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 1}, {Name: "d", Weight: 0.5}}
	testStart = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)
)

// modelRequest is one request in the test model.
type modelRequest struct {
	Request
	latestStart time.Time
}

// coreMachine runs random operations on a Core and on a simple model of it, and
// compares the two.
type coreMachine struct {
	core     *Core
	now      time.Time
	capacity float64
	limits   Limits
	waiting  map[Ticket]modelRequest
	running  map[Ticket]modelRequest
	ended    map[Ticket]bool
}

func (m *coreMachine) enqueue(t *rapid.T) {
	req := Request{
		Rank: testRanks[rapid.IntRange(0, 2).Draw(t, "rank")].Name,
		Team: testTeams[rapid.IntRange(0, 3).Draw(t, "team")].Name,
		Cost: rapid.Float64Range(0.5, 8).Draw(t, "cost"),
	}
	if rapid.Bool().Draw(t, "hasDeadline") {
		req.Deadline = m.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "deadline")) * time.Second)
		req.ExpectedDuration = time.Duration(rapid.IntRange(0, 3).Draw(t, "expected")) * time.Second
	}
	ticket, drops, err := m.core.Enqueue(m.now, req)
	latest := m.latestStart(req)
	if !latest.IsZero() && latest.Before(m.now) {
		if !errors.Is(err, ErrDeadline) {
			t.Fatalf("request that cannot meet its deadline: got %v, want ErrDeadline", err)
		}
		return
	}
	if err != nil {
		t.Fatal(err)
	}
	if m.waiting[ticket].Rank != "" || m.running[ticket].Rank != "" || m.ended[ticket] {
		t.Fatalf("ticket %d was issued twice", ticket)
	}
	m.waiting[ticket] = modelRequest{req, latest}
	m.checkEvictions(t, ticket, drops)
}

func (m *coreMachine) latestStart(req Request) time.Time {
	var latest time.Time
	if !req.Deadline.IsZero() {
		latest = req.Deadline.Add(-req.ExpectedDuration)
	}
	for _, r := range testRanks {
		bound := m.now.Add(r.MaxWait)
		if r.Name == req.Rank && r.MaxWait > 0 && (latest.IsZero() || bound.Before(latest)) {
			latest = bound
		}
	}
	return latest
}

// checkEvictions checks that only teams over their share of the queue lost
// requests, and that each drop has the right cause.
func (m *coreMachine) checkEvictions(t *rapid.T, arrival Ticket, drops []Drop) {
	for _, d := range drops {
		victim, waits := m.waiting[d.Ticket]
		if !waits {
			t.Fatalf("dropped ticket %d was not waiting", d.Ticket)
		}
		if want := d.Ticket == arrival; want != errors.Is(d.Err, ErrFull) || want == errors.Is(d.Err, ErrEvicted) {
			t.Fatalf("ticket %d dropped on arrival of %d: wrong cause %v", d.Ticket, arrival, d.Err)
		}
		cost, requests := map[string]float64{}, map[string]float64{}
		for _, w := range m.waiting {
			cost[w.Team] += w.Cost
			requests[w.Team]++
		}
		used, bound := cost, m.limits.MaxWaitingCost
		if len(m.waiting) > m.limits.MaxWaiting {
			used, bound = requests, float64(m.limits.MaxWaiting)
		}
		if share := bound * m.weight(victim.Team) / m.weights(requests); used[victim.Team] < share-1e-6 {
			t.Fatalf("team %s lost a request although it used %v of its share of %v", victim.Team, used[victim.Team], share)
		}
		m.checkRejected(t, d.Ticket, d.Err)
	}
}

func (*coreMachine) weight(team string) float64 {
	i := slices.IndexFunc(testTeams, func(t Team) bool { return t.Name == team })
	return testTeams[i].Weight
}

func (m *coreMachine) weights(present map[string]float64) float64 {
	sum := 0.0
	for team := range present {
		sum += m.weight(team)
	}
	return sum
}

func (m *coreMachine) checkRejected(t *rapid.T, ticket Ticket, r *RejectedError) {
	if r.Outcome() != OutcomeNotRun || r.RetryAfter < minRetryAfter || r.RetryAfter > maxRetryAfter {
		t.Fatalf("rejection with wrong outcome or retry hint: %v", r)
	}
	delete(m.waiting, ticket)
	m.ended[ticket] = true
}

func (m *coreMachine) admitNext(t *rapid.T) {
	got, ok := m.core.AdmitNext(m.now)
	m.checkExpired(t, m.core.expiredDrops)
	m.core.expiredDrops = nil
	want := m.wantRank()
	if ok != (want != "") {
		t.Fatalf("admitted a request: %v, want one of rank %q (running %d of %v slots)", ok, want, len(m.running), m.capacity)
	}
	if !ok {
		return
	}
	w, waits := m.waiting[got.Ticket]
	if !waits || w.Rank != want {
		t.Fatalf("admitted ticket %d of rank %q (waiting: %v), want rank %q", got.Ticket, w.Rank, waits, want)
	}
	for other, o := range m.waiting {
		if o.Rank == w.Rank && o.Team == w.Team && other < got.Ticket {
			t.Fatalf("ticket %d admitted before %d, which the same team enqueued earlier", got.Ticket, other)
		}
	}
	delete(m.waiting, got.Ticket)
	m.running[got.Ticket] = w
}

// wantRank returns the rank that must be admitted next: the waiting rank furthest
// below its floor, relative to the floor, else the most urgent waiting rank, or ""
// if no slot is free or nothing waits.
func (m *coreMachine) wantRank() string {
	if float64(len(m.running)+1) > m.capacity {
		return ""
	}
	inFlight, waits := map[string]float64{}, map[string]bool{}
	for _, w := range m.running {
		inFlight[w.Rank]++
	}
	for _, w := range m.waiting {
		waits[w.Rank] = true
	}
	belowFloor, mostUrgent := "", ""
	lowestFill := 1.0
	for _, r := range testRanks {
		if !waits[r.Name] {
			continue
		}
		if mostUrgent == "" {
			mostUrgent = r.Name
		}
		if fill := inFlight[r.Name] / (r.Floor * m.capacity); fill < lowestFill {
			belowFloor, lowestFill = r.Name, fill
		}
	}
	if belowFloor != "" {
		return belowFloor
	}
	return mostUrgent
}

func (m *coreMachine) checkExpired(t *rapid.T, drops []Drop) {
	for _, d := range drops {
		w, waits := m.waiting[d.Ticket]
		if !waits || w.latestStart.IsZero() || !m.now.After(w.latestStart) {
			t.Fatalf("ticket %d expired too early or twice (waiting: %v)", d.Ticket, waits)
		}
		m.checkRejected(t, d.Ticket, d.Err)
	}
}

func (m *coreMachine) expire(t *rapid.T) {
	m.checkExpired(t, m.core.Expire(m.now))
	for ticket, w := range m.waiting {
		if !w.latestStart.IsZero() && m.now.After(w.latestStart) {
			t.Fatalf("ticket %d still waits after its latest start", ticket)
		}
	}
}

func anyTicket(t *rapid.T, m map[Ticket]modelRequest) Ticket {
	if len(m) == 0 {
		t.Skip("none")
	}
	all := make([]Ticket, 0, len(m))
	for ticket := range m {
		all = append(all, ticket)
	}
	slices.Sort(all)
	return rapid.SampledFrom(all).Draw(t, "ticket")
}

// TestCoreStateMachine compares a Core with a simple model under random
// operations. It guards against lost or duplicate admissions, violated floors or
// FIFO order, idle slots while requests wait, queues beyond their bounds,
// evictions from teams under their share, late expiry and requests that remain
// after cancellation.
func TestCoreStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxWaitingCost: 40, MaxWaiting: 12}
		m := &coreMachine{
			core: NewCore(limits), now: testStart, limits: limits,
			waiting: map[Ticket]modelRequest{}, running: map[Ticket]modelRequest{}, ended: map[Ticket]bool{},
		}
		if _, err := m.core.ApplyConfig(testRanks, testTeams); err != nil {
			t.Fatal(err)
		}
		t.Repeat(map[string]func(*rapid.T){
			"enqueue":  m.enqueue,
			"enqueue2": m.enqueue,
			"next":     m.admitNext,
			"expire":   m.expire,
			"advance":  func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(0, 9).Draw(t, "s")) * time.Second) },
			"capacity": func(t *rapid.T) {
				m.capacity = float64(rapid.IntRange(0, 8).Draw(t, "slots"))
				m.core.SetCapacity(m.capacity)
			},
			"done": func(t *rapid.T) {
				ticket := anyTicket(t, m.running)
				if !m.core.Done(m.now, ticket, rapid.Float64Range(0, 10).Draw(t, "actual")) || m.core.Done(m.now, ticket, 1) {
					t.Fatalf("Done of ticket %d did not succeed exactly once", ticket)
				}
				delete(m.running, ticket)
			},
			"cancel": func(t *rapid.T) {
				ticket := anyTicket(t, m.waiting)
				if !m.core.Cancel(ticket) || m.core.Cancel(ticket) {
					t.Fatalf("Cancel of ticket %d did not succeed exactly once", ticket)
				}
				delete(m.waiting, ticket)
			},
			"": func(t *rapid.T) { m.check(t) },
		})
	})
}

// TestEvictionSparesTeamsUnderTheirShare guards against evictions from a team
// under its share when the team over its share waits in another rank. Each team
// uses a single rank, which makes this case frequent.
func TestEvictionSparesTeamsUnderTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxWaitingCost: 40, MaxWaiting: rapid.IntRange(8, 40).Draw(t, "maxWaiting")}
		m := &coreMachine{
			core: NewCore(limits), now: testStart, limits: limits,
			waiting: map[Ticket]modelRequest{}, running: map[Ticket]modelRequest{}, ended: map[Ticket]bool{},
		}
		if _, err := m.core.ApplyConfig(testRanks, testTeams); err != nil {
			t.Fatal(err)
		}
		rankOfTeam := rapid.SliceOfN(rapid.IntRange(0, 2), 4, 4).Draw(t, "rankOfTeam")
		for range 80 {
			i := rapid.IntRange(0, 3).Draw(t, "team")
			req := Request{Rank: testRanks[rankOfTeam[i]].Name, Team: testTeams[i].Name, Cost: rapid.Float64Range(0.5, 4).Draw(t, "cost")}
			ticket, drops, err := m.core.Enqueue(m.now, req)
			if err != nil {
				t.Fatal(err)
			}
			m.waiting[ticket] = modelRequest{Request: req}
			m.checkEvictions(t, ticket, drops)
			m.check(t)
		}
	})
}

func (m *coreMachine) check(t *rapid.T) {
	s := m.core.Stats()
	work := 0.0
	for _, w := range m.waiting {
		work += w.Cost
	}
	if s.Waiting != len(m.waiting) || s.InFlight != len(m.running) || math.Abs(s.WaitingCost-work) > 1e-6 {
		t.Fatalf("got stats %+v, want %d waiting with cost %v and %d running", s, len(m.waiting), work, len(m.running))
	}
	if s.Waiting > m.limits.MaxWaiting || s.Waiting > 1 && s.WaitingCost > m.limits.MaxWaitingCost {
		t.Fatalf("queue exceeds its bounds: %+v", s)
	}
	for _, r := range s.Ranks {
		if r.Waiting < 0 || r.InFlight < 0 {
			t.Fatalf("rank with a negative count: %+v", r)
		}
	}
}

// TestFairShareByCost guards against shares by number of requests instead of
// cost, teams that gain service through wrong estimates, a team that returns from
// idle and does not get its share back at once, and credit for a share left
// unused.
func TestFairShareByCost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxCost = 8.0
		c := NewCore(Limits{MaxWaitingCost: 1e6, MaxWaiting: 1e6})
		weights := map[string]float64{}
		var teams []Team
		for i := range rapid.IntRange(2, 5).Draw(t, "teams") {
			team := Team{Name: fmt.Sprint(i), Weight: rapid.Float64Range(0.5, 4).Draw(t, "weight")}
			teams, weights[team.Name] = append(teams, team), team.Weight
		}
		if _, err := c.ApplyConfig([]Rank{{Name: "r"}}, teams); err != nil {
			t.Fatal(err)
		}
		c.SetCapacity(1)
		costs := map[Ticket]float64{}
		fill := func(team string, n int) {
			for range n {
				actual := rapid.Float64Range(0.5, maxCost).Draw(t, "actual")
				ticket, _, _ := c.Enqueue(testStart, Request{Rank: "r", Team: team, Cost: rapid.Float64Range(0.5, maxCost).Draw(t, "estimate")})
				costs[ticket] = actual
			}
		}
		returning := teams[0].Name
		for _, team := range teams[1:] {
			fill(team.Name, 40)
		}
		served := map[string]float64{}
		step := func() string {
			a, ok := c.AdmitNext(testStart)
			if !ok {
				t.Fatal("no request admitted while requests wait")
			}
			served[a.Request.Team] += costs[a.Ticket] / weights[a.Request.Team]
			c.Done(testStart, a.Ticket, costs[a.Ticket])
			return a.Request.Team
		}
		// Every team has 40 requests and only 20 are admitted, so no team runs out.
		check := func(among []Team, factor float64) {
			for _, x := range among {
				for _, y := range among {
					bound := factor * (maxCost/weights[x.Name] + maxCost/weights[y.Name])
					if diff := served[x.Name] - served[y.Name]; diff > bound+1e-9 {
						t.Fatalf("normalized service of teams %s and %s differs by %v, want at most %v", x.Name, y.Name, diff, bound)
					}
				}
			}
		}
		for range 20 {
			step()
			check(teams[1:], 1)
		}
		fill(returning, 40)
		clear(served)
		for i := 0; step() != returning; i++ {
			if i > len(teams) {
				t.Fatalf("the returning team did not get its share back at once")
			}
		}
		for range 10 {
			step()
			// The other teams may already differ by one bound when the count starts,
			// so the difference may reach two.
			check(teams, 2)
		}
	})
}
