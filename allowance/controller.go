package allowance

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// Parameters of the decision.
const (
	// priceRampStart is the fraction of the share in use at which the shadow price
	// starts to rise. Below it the shadow price is zero; at 1 it is PeakPrice.
	priceRampStart = 0.97
	// deferralSpan is the part of a minute over which deferred requests are retried.
	// Requests due soon are retried at its start, others later, when the share
	// reserved for urgent work becomes free.
	deferralSpan = 55 * time.Second
	// longSlack is the time left before the latest start from which on a request is
	// retried at the end of deferralSpan.
	longSlack = 45 * time.Minute
	// shortSlack is the time left before the latest start below which a request is
	// retried within the same minute, after shortRetryDelay.
	shortSlack      = 5 * time.Minute
	shortRetryDelay = 8 * time.Second
	// leftoverWindow is the part at the end of a minute in which work that is due
	// later may use the share that work due sooner has left over.
	leftoverWindow = 10 * time.Second
	// deferralJitter keeps deferred requests from being retried at the same time.
	deferralJitter = 3 * time.Second
	// queueingMargin is the time reserved for queueing between the last retry of a
	// deferred request and its latest start.
	queueingMargin = 2 * time.Second
	// requiredRateTTL is the time for which a computed required rate is reused.
	requiredRateTTL = 200 * time.Millisecond
	// memberCountWindow is the time for which a higher earlier member count still
	// applies. It equals the time for which the membership list keeps failed members.
	memberCountWindow = 10 * time.Minute
)

// Config configures a Controller.
type Config struct {
	// Host is the name of the host.
	Host string
	// Incarnation distinguishes restarts of the host.
	Incarnation int64
	// Terms holds the supplier's billing terms.
	Terms Terms
	// Members is the number of hosts that may hold a share, including this host.
	Members int
}

// Controller decides about the requests of one host. It does no I/O and is safe
// for concurrent use.
type Controller struct {
	mu        sync.Mutex
	cfg       Config
	rng       *rand.Rand
	meter     *Meter
	share     *Share
	peak      peakTracker
	lastBegun Minute             // last minute whose share was set
	overruns  map[Minute]float64 // recorded units above the share

	members    []memberCount
	urgent     demandRate // new work that cannot wait
	deferrable demandRate // new work that can wait and is worth raising the peak
	lowWorth   demandRate // new work that can wait and is not worth raising the peak
	backlog    backlog
	peers      map[string]peerDemand
	peerTotal  peerDemand

	requiredRateAt     time.Time // when cachedRequiredRate was computed
	cachedRequiredRate float64
}

// memberCount is a number of members and the time at which it was last reported.
type memberCount struct {
	count      int
	observedAt time.Time
}

// NewController returns the controller of a host that starts now. The host gets no
// share of the running minute, because an earlier incarnation may have used it.
func NewController(now time.Time, cfg Config, rng *rand.Rand) (*Controller, error) {
	if err := cfg.Terms.Check(); err != nil {
		return nil, err
	}
	_, last := possibleMinutes(now)
	c := &Controller{
		cfg: cfg, rng: rng, meter: NewMeter(), share: NewShare(),
		lastBegun: last, overruns: map[Minute]float64{}, peers: map[string]peerDemand{},
	}
	c.share.Begin(last, 0)
	c.share.Begin(MinuteOf(now), 0)
	c.setTerms(now, cfg.Terms)
	c.setMembers(now, cfg.Members)
	return c, nil
}

// SetTerms replaces the terms. Shares of minutes that have begun do not change.
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
	c.peak.raiseTo(t.Month, t.StandingPeak)
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
		if m.count > n && now.Sub(m.observedAt) < memberCountWindow {
			kept = append(kept, m)
		}
	}
	c.members = kept
}

// maxRecentMembers returns the highest member count within memberCountWindow.
func (c *Controller) maxRecentMembers(now time.Time) int {
	bound := 1
	for i, m := range c.members {
		// The latest count applies until it is replaced.
		if i == 0 || now.Sub(m.observedAt) < memberCountWindow {
			bound = max(bound, m.count)
		}
	}
	return bound
}

// fleetLimit returns the units that all hosts together may use in a minute without
// justification: the higher of the allowance and the standing peak.
func (c *Controller) fleetLimit(m Minute) float64 {
	return max(c.cfg.Terms.Allowance, c.peak.standingPeak(m.Month()))
}

// beginMinutes sets the shares of the minutes that have begun by any clock
// within MaxClockSkew, and records the consumption of the minute that ended.
func (c *Controller) beginMinutes(now time.Time) {
	_, last := possibleMinutes(now)
	if last <= c.lastBegun {
		return
	}
	for m := max(c.lastBegun+1, last-1); m <= last; m++ {
		c.share.Begin(m, c.fleetLimit(m)/float64(c.maxRecentMembers(now)))
	}
	for m := range c.overruns {
		if m < last-keptMinutes {
			delete(c.overruns, m)
		}
	}
	c.lastBegun = last
	running := MinuteOf(now)
	c.backlog.removeBefore(running)
	c.peak.observe(c.cfg.Host, running-1, c.meter.Used(running-1))
}

// Decide decides whether a request runs now, is deferred or is rejected. Admitted
// requests must be settled.
func (c *Controller) Decide(now time.Time, req Request) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !(req.Cost >= 0) || math.IsInf(req.Cost, 0) || math.IsNaN(req.Worth) {
		return Decision{Action: Reject, Reason: ReasonInvalid}
	}
	c.beginMinutes(now)
	until, canWait := c.deferUntil(now, req)
	due := c.dueMinute(now, req)
	c.recordDemand(now, req, due)
	d := c.decide(now, req, until, canWait)
	switch d.Action {
	case Admit:
		d.Commitment = c.meter.Commit(now, req.Cost)
	case Defer:
		if c.worthRaisingPeak(req) {
			c.backlog.add(due, req.Cost)
		}
	}
	return d
}

// deferUntil returns the time at which a deferred request is retried, and whether
// the request can wait that long.
func (c *Controller) deferUntil(now time.Time, req Request) (time.Time, bool) {
	if req.Deadline.IsZero() {
		return time.Time{}, false
	}
	begin := MinuteOf(now).Start().Add(MaxClockSkew)
	if !now.Before(begin) {
		begin = begin.Add(time.Minute)
	}
	slack := req.latestStart().Sub(begin) - queueingMargin - deferralJitter
	if slack < 0 {
		return time.Time{}, false
	}
	jitter := time.Duration(c.rng.Int64N(int64(deferralJitter)))
	if retryAt := now.Add(shortRetryDelay + jitter); slack < shortSlack && retryAt.Before(begin.Add(-2*MaxClockSkew)) {
		return retryAt, true
	}
	fraction := min(1, slack.Seconds()/longSlack.Seconds())
	offset := min(slack, time.Duration(fraction*float64(deferralSpan)))
	return begin.Add(offset + jitter), true
}

// dueMinute returns the last minute in which the request can start after being
// deferred.
func (c *Controller) dueMinute(now time.Time, req Request) Minute {
	running := MinuteOf(now)
	if req.Deadline.IsZero() {
		return running
	}
	last := MinuteOf(req.latestStart().Add(-MaxClockSkew - deferralJitter - queueingMargin))
	return min(max(last, running), running+backlogHorizon)
}

// recordDemand adds a new request to the forecast, or removes a request that was
// deferred before from the backlog.
func (c *Controller) recordDemand(now time.Time, req Request, due Minute) {
	switch {
	case req.Deferred && c.worthRaisingPeak(req):
		c.backlog.add(due, -req.Cost)
	case req.Deferred:
	case due <= MinuteOf(now):
		c.urgent.observe(now, req.Cost)
	case c.worthRaisingPeak(req):
		c.deferrable.observe(now, req.Cost)
	default:
		c.lowWorth.observe(now, req.Cost)
	}
}

// Settle corrects the consumption of an admitted request to its actual cost.
func (c *Controller) Settle(now time.Time, commitment Commitment, actual float64) {
	if !(actual >= 0) || math.IsInf(actual, 0) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beginMinutes(now)
	c.meter.Settle(now, commitment, actual)
}
