package rollout

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/rollout"
)

// Parameters of the simulated class of requests and of the version under test.
const (
	version     = "new"
	predecessor = "old"
	kind        = "assessment"
	goodRate    = 0.9
	badRate     = 0.5
	// requestsPerSecond is the load of the class before any limit.
	requestsPerSecond = 5
	// ratingsPerHour is the limit on the version's rated answers over all hosts.
	ratingsPerHour = 7200
	// ratingBurst is the burst of the rating limiter, in seconds of its rate. It
	// is available when suspicion raises the share of rated requests.
	ratingBurst = 30
	// baseRatingShare is the share of requests rated without suspicion: 0.36 of
	// 5 requests/s stays below the limit of 2 ratings/s.
	baseRatingShare = 0.36
	// ratingDelayMin and ratingDelayMax bound the delay of a rating, in seconds.
	ratingDelayMin = 0.5
	ratingDelayMax = 1.5
	// ratingLost is the share of ratings that never arrive.
	ratingLost = 0.05
	// gossipSeconds is both the period and the delay of summaries.
	gossipSeconds = 0.5
	// learnedAnswers is the number of answers at goodRate rated before the trial.
	learnedAnswers = 25000
	// warmUpSeconds is the duration of live traffic at goodRate before the drop.
	warmUpSeconds = 120
	// horizonSeconds is the maximum duration of a trial after the drop.
	horizonSeconds = 600
)

// delivery is a rating, or a summary if summary is set, that reaches a host at
// the time at.
type delivery struct {
	at      float64
	order   int
	host    int
	passed  bool
	summary *rollout.Summary
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].order < d[j].order
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// trial is one run of a set of hosts that share the load of the class. Times are
// in seconds.
type trial struct {
	rnd   *rand.Rand
	clock *clockwork.FakeClock
	now   float64
	hosts []*rollout.Detector
	// tokens are the rating limiter's tokens by host; lastRefill is the time of
	// the last refill.
	tokens     []float64
	lastRefill float64
	pending    deliveries
	order      int
	// share is the share of the class that the roll-out sends to the version.
	share float64
	// allSuspectAt is the time at which the last host received the verdict, or -1.
	allSuspectAt float64
	// verdictAt is the time at which the first host reached the verdict, or -1.
	verdictAt float64
	// exposed counts the requests sent to the version.
	exposed int
	// served counts the requests meant for the version, and diverted counts those
	// of them that the detector's limit sent elsewhere without a verdict.
	diverted, served int
}

func newTrial(seed uint64, hosts int, share float64, learnedVersion string) *trial {
	t := &trial{
		rnd:   rand.New(rand.NewPCG(seed, uint64(hosts))),
		clock: clockwork.NewFakeClockAt(time.Unix(0, 0)),
		share: share, allSuspectAt: -1, verdictAt: -1,
	}
	for i := range hosts {
		d := rollout.NewDetector(rollout.Config{Host: string(rune('a' + i)), RatingsPerHour: ratingsPerHour}, t.clock)
		if err := d.Declare(version, goodRate, map[bool]string{true: predecessor}[learnedVersion == predecessor]); err != nil {
			panic(err)
		}
		t.hosts = append(t.hosts, d)
		t.tokens = append(t.tokens, ratingBurst*ratingsPerHour/3600/float64(hosts))
	}
	for range learnedAnswers {
		t.hosts[0].Observe(learnedVersion, kind, t.rnd.Float64() < goodRate)
	}
	t.gossip()
	return t
}

// gossip sends every host's summary to every other host.
func (t *trial) gossip() {
	for from, d := range t.hosts {
		s := d.Export()
		for to := range t.hosts {
			if to != from {
				t.push(delivery{at: t.now + gossipSeconds, host: to, summary: &s})
			}
		}
	}
}

func (t *trial) push(d delivery) {
	t.order++
	d.order = t.order
	heap.Push(&t.pending, d)
}

// run simulates the load at the given true pass rate until the given time, or
// until all hosts have the verdict.
func (t *trial) run(rate, until float64) {
	nextGossip := t.now + gossipSeconds
	for t.allSuspectAt < 0 {
		next := t.now + t.rnd.ExpFloat64()/requestsPerSecond
		for t.now = min(next, until); nextGossip <= t.now; nextGossip += gossipSeconds {
			t.deliver(nextGossip)
			saved := t.now
			t.now = nextGossip
			t.gossip()
			t.now = saved
		}
		t.deliver(t.now)
		if next >= until {
			return
		}
		t.request(rate)
	}
}

// deliver hands the ratings and summaries due by now to their hosts.
func (t *trial) deliver(now float64) {
	for len(t.pending) > 0 && t.pending[0].at <= now {
		d := heap.Pop(&t.pending).(delivery)
		if d.summary == nil {
			t.hosts[d.host].Observe(version, kind, d.passed)
		} else if err := t.hosts[d.host].Merge(*d.summary); err != nil {
			panic(err)
		}
		t.recordVerdict(d.at)
	}
}

// recordVerdict records the times of the first verdict and of the last host to
// receive it.
func (t *trial) recordVerdict(now float64) {
	suspects := 0
	for _, d := range t.hosts {
		if d.State(version, kind).Suspect {
			suspects++
		}
	}
	if suspects > 0 && t.verdictAt < 0 {
		t.verdictAt = now
	}
	if suspects == len(t.hosts) && t.allSuspectAt < 0 {
		t.allSuspectAt = now
	}
}

// request simulates one request of the class and, if it is rated, its rating.
func (t *trial) request(rate float64) {
	t.refillTokens()
	if t.rnd.Float64() >= t.share {
		return
	}
	host := t.rnd.IntN(len(t.hosts))
	t.served++
	if t.rnd.Float64() >= t.hosts[host].Share(version, kind) {
		t.diverted++
		return
	}
	t.exposed++
	if t.rnd.Float64() >= t.hosts[host].RatingShare(version, kind, baseRatingShare) || t.tokens[host] < 1 {
		return
	}
	t.tokens[host]--
	if t.rnd.Float64() < ratingLost {
		return
	}
	delay := ratingDelayMin + (ratingDelayMax-ratingDelayMin)*t.rnd.Float64()
	t.push(delivery{at: t.now + delay, host: host, passed: t.rnd.Float64() < rate})
}

func (t *trial) refillTokens() {
	rate := ratingsPerHour / 3600.0 / float64(len(t.hosts))
	for i := range t.tokens {
		t.tokens[i] = min(ratingBurst*rate, t.tokens[i]+rate*(t.now-t.lastRefill))
	}
	t.lastRefill = t.now
}
