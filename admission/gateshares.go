package admission

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// shareWindow is the time constant with which requests are forgotten.
	shareWindow = 5 * time.Second
	// forgottenAsked is the decayed number of requests below which a class no longer counts.
	forgottenAsked = 0.02
	// maxGateRanks is the number of ranks; less urgent ones count as the last.
	maxGateRanks = 10
	// maxGateClasses bounds the memory. Further teams share the class of the unnamed team.
	maxGateClasses = 512
	// minRankShare is the part of the admitted requests that each rank keeps if it asks.
	minRankShare = 0.05
	// maxCredit bounds how many requests a class may save up. It lets a team with few requests
	// have two close together.
	maxCredit = 4
	// maxDebt bounds how many requests a class may get ahead of its share by returns.
	maxDebt = 2
)

// gateClass is a team within a rank.
type gateClass struct {
	team string
	rank int
}

// classState is the state of a class.
type classState struct {
	gateClass
	// asked is the number of requests, decayed with shareWindow up to the time at.
	asked float64
	at    time.Time
	// credit is the number of requests that the class may have admitted, up to the time
	// refilled. It begins at random, so that hosts with few requests are exact on average.
	credit   float64
	refilled time.Time
}

func (c *classState) askedAt(now time.Time) float64 {
	return c.asked * math.Exp(-now.Sub(c.at).Seconds()/shareWindow.Seconds())
}

// take adds the credit since an overload began, at a rate of requests a second, and reports
// whether a request is admitted. A request that returned is admitted before newcomers, at
// their cost.
func (c *classState) take(now, began time.Time, rate float64, returned bool) bool {
	if math.IsInf(rate, 1) {
		c.refilled = now
		return true
	}
	if c.refilled.Before(began) {
		c.refilled = began
	}
	c.credit = min(maxCredit, c.credit+rate*now.Sub(c.refilled).Seconds())
	c.refilled = now
	if c.credit < 1 && !(returned && c.credit > 1-maxDebt) {
		return false
	}
	c.credit--
	return true
}

// gateShares counts the requests of each class and divides what is admitted among them.
type gateShares struct {
	classes map[gateClass]*classState
	// list holds the classes in the order of their first requests, so that sums are the same
	// in each run.
	list  []*classState
	swept time.Time
}

func newGateShares() gateShares { return gateShares{classes: make(map[gateClass]*classState)} }

func (s *gateShares) classOf(r GateRequest) gateClass {
	c := gateClass{r.Team, r.Rank}
	if s.classes[c] == nil && len(s.classes) >= maxGateClasses-maxGateRanks {
		c.team = ""
	}
	return c
}

// ask counts a request.
func (s *gateShares) ask(now time.Time, r GateRequest, rng *rand.Rand) *classState {
	if now.Sub(s.swept) > shareWindow {
		s.sweep(now)
	}
	key := s.classOf(r)
	c := s.classes[key]
	if c == nil {
		c = &classState{gateClass: key, credit: rng.Float64()}
		s.classes[key] = c
		s.list = append(s.list, c)
	}
	c.asked, c.at = c.askedAt(now)+1, now
	return c
}

// sweep forgets the classes that have not asked lately.
func (s *gateShares) sweep(now time.Time) {
	s.swept = now
	s.list = slices.DeleteFunc(s.list, func(c *classState) bool {
		forgotten := c.askedAt(now) < forgottenAsked
		if forgotten {
			delete(s.classes, c.gateClass)
		}
		return forgotten
	})
}

// askedByRank returns the number of requests of each rank.
func (s *gateShares) askedByRank(now time.Time) (asked [maxGateRanks]float64) {
	for _, c := range s.list {
		asked[c.rank] += c.askedAt(now)
	}
	return asked
}

// rate returns how many requests a second of each team of r's rank are admitted if the given
// fraction of all requests is, and the fraction urgent if the most urgent rank needs it. It is
// infinite if none needs to be rejected.
func (s *gateShares) rate(now time.Time, r GateRequest, fraction, urgent float64) float64 {
	room := divideRanks(s.askedByRank(now), fraction, urgent)[r.Rank]
	var teams []float64
	for _, c := range s.list {
		if c.rank == r.Rank {
			teams = append(teams, c.askedAt(now))
		}
	}
	return evenLevel(teams, room) / shareWindow.Seconds()
}

// divideRanks divides the given fraction of the requests among the ranks: first the minimum of
// each rank, then the most urgent ranks first. If the most urgent rank that asks needs more, up
// to the fraction urgent is divided.
func divideRanks(asked [maxGateRanks]float64, fraction, urgent float64) (out [maxGateRanks]float64) {
	total, first, others := 0.0, 0.0, 0.0
	for _, n := range asked {
		total += n
		switch {
		case n < forgottenAsked:
		case first == 0:
			first = n
		default:
			others++
		}
	}
	room := fraction * total
	// The most urgent rank needs its requests beside the minimum of the others.
	room = max(room, min(first/(1-others*minRankShare), urgent*total))
	least := minRankShare * room
	for i, n := range asked {
		out[i] = min(n, least)
	}
	for i := range out {
		room -= out[i]
	}
	for i, n := range asked {
		more := min(n-out[i], max(0, room))
		out[i] += more
		room -= more
	}
	return out
}

// evenLevel returns the level such that room is used up if each team gets what it asks for, but
// at most the level; infinity if there is room for all.
func evenLevel(asked []float64, room float64) float64 {
	slices.Sort(asked)
	for i, n := range asked {
		if even := room / float64(len(asked)-i); even < n-1e-9 {
			return even
		}
		room -= n
	}
	return math.Inf(1)
}

// overShare reports whether the class of a request asks for more than its even share of its
// rank, or no rank is more urgent.
func (s *gateShares) overShare(now time.Time, r GateRequest) bool {
	moreUrgent, rank, teams, own := 0.0, 0.0, 0, 0.0
	self := s.classOf(r)
	for _, c := range s.list {
		n := c.askedAt(now)
		if c.rank < r.Rank {
			moreUrgent += n
		}
		if c.rank == r.Rank {
			rank += n
			teams++
		}
		if c.gateClass == self {
			own = n - 1 // without the request itself, which is not part of an average moment
		}
	}
	return moreUrgent < forgottenAsked || own*float64(teams) > rank
}
