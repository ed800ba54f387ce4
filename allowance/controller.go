package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Constants of the decision.
const (
	// rampStart is the fill of the share at which the shadow price begins to
	// rise. Below it the price is zero; at the share it is the full price.
	rampStart = 0.97
	// deferSpread is the span of a minute over which deferred requests come back:
	// those due soon at its beginning, others later, when the share that was kept
	// for urgent work becomes free.
	deferSpread = 55 * time.Second
	// farDue is how far ahead work must be due to come back at the end of the span.
	farDue = 45 * time.Minute
	// soonDue is how close to its last start a request must be to come back
	// within the same minute, after retryPeriod.
	soonDue     = 5 * time.Minute
	retryPeriod = 8 * time.Second
	// leftoverTime is the end of a minute in which work that is due later may use
	// what work that is due sooner has left.
	leftoverTime = 10 * time.Second
	// deferJitter keeps deferred requests from coming back at one moment.
	deferJitter = 3 * time.Second
	// startSlack is kept between the last moment at which a deferred request
	// comes back and its last start, for queueing.
	startSlack = 2 * time.Second
	// densityPeriod is the age up to which a computed density is used.
	densityPeriod = 200 * time.Millisecond
	// memberWindow is how long a higher count of members is remembered, like
	// the time for which failed members are counted.
	memberWindow = 10 * time.Minute
)

// Config names the host of a Controller.
type Config struct {
	// Host is the name of the host.
	Host string
	// Incarnation tells restarts of the host apart.
	Incarnation int64
	// Terms are the supplier's terms.
	Terms Terms
	// Members is the number of hosts that may hold a share, this one included.
	Members int
}

// Controller decides for one host. It does no I/O and is safe for concurrent use.
type Controller struct {
	mu     sync.Mutex
	cfg    Config
	rng    *rand.Rand
	meter  *Meter
	share  *Share
	peak   peakTracker
	begun  Minute // the last minute for which a share was begun
	raised map[Minute]float64

	members []memberCount
	urgent  rate // work that cannot wait
	patient rate // work that can wait and is worth a rise
	cheap   rate // work that can wait and is not
	backlog backlog
	peers   map[string]peerNeed
	peerSum peerNeed

	densityAt  time.Time // when ownDensity was computed
	ownDensity float64
}

// memberCount is a count of members and when it was last seen.
type memberCount struct {
	count int
	seen  time.Time
}

// NewController returns the controller of a host that starts now. It has no
// conservative share in the running minute, because the host may replace one
// that has used its own.
func NewController(now time.Time, cfg Config, rng *rand.Rand) (*Controller, error) {
	if err := cfg.Terms.Check(); err != nil {
		return nil, err
	}
	_, last := touched(now)
	c := &Controller{
		cfg: cfg, rng: rng, meter: NewMeter(), share: NewShare(),
		begun: last, raised: map[Minute]float64{}, peers: map[string]peerNeed{},
	}
	c.share.Begin(last, 0)
	c.share.Begin(MinuteOf(now), 0)
	c.setTerms(now, cfg.Terms)
	c.setMembers(now, cfg.Members)
	return c, nil
}

// SetTerms replaces the terms. Shares of minutes that have begun stay.
func (c *Controller) SetTerms(now time.Time, t Terms) error {
	if err := t.Check(); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setTerms(now, t)
	return nil
}

func (c *Controller) setTerms(now time.Time, t Terms) {
	if t.Month == 0 {
		t.Month = MinuteOf(now).Month()
	}
	c.cfg.Terms = t
	c.peak.raise(t.Month, t.StandingPeak)
}

// SetMembers sets the number of hosts that may hold a share.
func (c *Controller) SetMembers(now time.Time, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setMembers(now, n)
}

func (c *Controller) setMembers(now time.Time, n int) {
	kept := []memberCount{{max(1, n), now}}
	for _, m := range c.members {
		if m.count > n && now.Sub(m.seen) < memberWindow {
			kept = append(kept, m)
		}
	}
	c.members = kept
}

// memberBound returns the highest count of members seen lately.
func (c *Controller) memberBound(now time.Time) int {
	bound := 1
	for i, m := range c.members {
		// The latest count holds until it is replaced.
		if i == 0 || now.Sub(m.seen) < memberWindow {
			bound = max(bound, m.count)
		}
	}
	return bound
}

// level returns the units that a minute may use without a reason.
func (c *Controller) level(m Minute) float64 {
	return max(c.cfg.Terms.Allowance, c.peak.standing(m.Month()))
}

// begin prepares the shares of the minutes that now touches.
func (c *Controller) begin(now time.Time) {
	_, last := touched(now)
	if last <= c.begun {
		return
	}
	for m := max(c.begun+1, last-1); m <= last; m++ {
		c.share.Begin(m, c.level(m)/float64(c.memberBound(now)))
	}
	for m := range c.raised {
		if m < last-keptMinutes {
			delete(c.raised, m)
		}
	}
	c.begun = last
	running := MinuteOf(now)
	c.backlog.forget(running)
	c.peak.observe(c.cfg.Host, running-1, c.meter.Used(running-1))
}

// Decide decides about a request. Admitted requests must be settled.
func (c *Controller) Decide(now time.Time, req Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !(req.Cost >= 0) || math.IsInf(req.Cost, 0) || math.IsNaN(req.Worth) {
		return Decision{Action: Reject, Reason: ReasonInvalid}
	}
	c.begin(now)
	until, canWait := c.later(now, req)
	due := c.due(now, req)
	c.observe(now, req, due)
	d := c.decide(now, req, until, canWait)
	switch d.Action {
	case Admit:
		d.Commitment = c.meter.Commit(now, req.Cost)
	case Defer:
		if c.worthRaising(req) {
			c.backlog.add(due, req.Cost)
		}
	}
	return d
}

// later returns when a request should come back, and whether it can wait for a
// later minute.
func (c *Controller) later(now time.Time, req Request) (time.Time, bool) {
	if req.Deadline.IsZero() {
		return time.Time{}, false
	}
	begin := MinuteOf(now).Start().Add(MaxClockSkew)
	if !now.Before(begin) {
		begin = begin.Add(time.Minute)
	}
	room := req.lastStart().Sub(begin) - startSlack - deferJitter
	if room < 0 {
		return time.Time{}, false
	}
	jitter := time.Duration(c.rng.Int64N(int64(deferJitter)))
	if again := now.Add(retryPeriod + jitter); room < soonDue && again.Before(begin.Add(-2*MaxClockSkew)) {
		return again, true
	}
	far := min(1, room.Seconds()/farDue.Seconds())
	offset := min(room, time.Duration(far*float64(deferSpread)))
	return begin.Add(offset + jitter), true
}

// due returns the last minute in which the request can start after a deferral.
func (c *Controller) due(now time.Time, req Request) Minute {
	running := MinuteOf(now)
	if req.Deadline.IsZero() {
		return running
	}
	last := MinuteOf(req.lastStart().Add(-MaxClockSkew - deferJitter - startSlack))
	return min(max(last, running), running+horizon)
}

// observe updates the forecast with a new request, and the backlog with one
// that was deferred before.
func (c *Controller) observe(now time.Time, req Request, due Minute) {
	switch {
	case req.Deferred && c.worthRaising(req):
		c.backlog.add(due, -req.Cost)
	case req.Deferred:
	case due <= MinuteOf(now):
		c.urgent.observe(now, req.Cost)
	case c.worthRaising(req):
		c.patient.observe(now, req.Cost)
	default:
		c.cheap.observe(now, req.Cost)
	}
}

// Settle corrects the consumption of an admitted request.
func (c *Controller) Settle(now time.Time, commitment Commitment, actual float64) {
	if !(actual >= 0) || math.IsInf(actual, 0) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begin(now)
	c.meter.Settle(now, commitment, actual)
}
