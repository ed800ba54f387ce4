package balance

import (
	"math"
	"time"
)

const (
	// paceTTL is the age up to which a measured pace counts.
	paceTTL = 3 * time.Second
	// seenWithin is the time since the last event for which a stream is measured, and
	// overdueWithin that for a stream whose next event is overdue: a stream that stands
	// still for longer says nothing about the pace of the others.
	seenWithin    = 2 * time.Second
	overdueWithin = 5 * time.Second
	// paceInterval is the time between two updates of what is learned about the engines.
	paceInterval = 250 * time.Millisecond
	// engineCurveTime and fleetCurveTime are the times over which the growth of the gap
	// with the load is learned.
	engineCurveTime = 20 * time.Second
	fleetCurveTime  = 60 * time.Second
	// slownessTime is the time over which the slowness of an engine is learned, and
	// slownessForgetTime that over which that of an engine without streams returns to
	// the mean, so that a slow engine is tried again.
	slownessTime       = 4 * time.Second
	slownessForgetTime = 60 * time.Second
	// maxSlowness bounds the learned slowness of an engine, maxHostSlowness what is learned from
	// one host alone, relative to the mean of all engines.
	maxSlowness, maxHostSlowness = 4, 2
	// curvePrior is the weight of the fleet's elasticity in that of an engine.
	curvePrior = 1
	// restartTime is the time after a restart in which other hosts may still report what
	// they measured before it.
	restartTime = 2 * time.Second
	// eventsGain is the weight of one answer in the mean number of events.
	eventsGain = 0.02
	// leastGapDown and leastGapUp are the gains of the estimate of the least gap for
	// smaller and larger samples.
	leastGapDown, leastGapUp = 0.2, 0.002
)

// fleetPaces is what is known of the pace of the engines together.
type fleetPaces struct {
	updated time.Time
	peers   map[string]receivedPaces
	sum     receivedPaces
	curve   gapCurve
	// leastGap is the gap of an engine with little load, in seconds.
	leastGap float64
	// answerEvents is the mean number of events of an answer; zero if unknown.
	answerEvents float64
}

type receivedPaces struct {
	at    time.Time
	paces sourcePaces
}

// enginePace is what is known of the pace of an engine.
type enginePace struct {
	streams map[*InFlight]struct{} // this host's streams with events
	tokens  int                    // of the prompts of this host's requests
	// The last measurement: gap in seconds, load, streams and tokens of all hosts.
	at          time.Time
	gap         float64
	load        int
	allStreams  int
	allTokens   int
	restartedAt time.Time

	curve gapCurve
	// logSlowness is the logarithm of the gap relative to that of the fleet at the same load.
	logSlowness float64
}

// measured reports whether the pace was measured lately.
func (p *enginePace) measured(now time.Time) bool { return p.gap > 0 && now.Sub(p.at) <= paceTTL }

// measuredStreams returns the number of streams of all hosts at the last measurement.
func (p *enginePace) measuredStreams(now time.Time) int {
	if !p.measured(now) {
		return 0
	}
	return p.allStreams
}

// forgetPace drops what is known of the pace of an engine. The caller holds the lock.
func (e *EngineChooser) forgetPace(en *engine) {
	en.pace = enginePace{streams: make(map[*InFlight]struct{}), tokens: en.pace.tokens, restartedAt: e.clock.Now()}
	delete(e.paces.sum.paces, engineKey(en.idHash))
	for _, r := range e.paces.peers {
		delete(r.paces, engineKey(en.idHash))
	}
}

// Event records an event of the answer that arrived at the given time.
func (f *InFlight) Event(now time.Time) {
	f.FirstEvent()
	e := f.chooser
	e.mu.Lock()
	defer e.mu.Unlock()
	if f.ended {
		return
	}
	if en := f.current(); en != nil && f.events == 0 {
		en.pace.streams[f] = struct{}{}
	}
	f.events++
	f.pace.event(now)
}

// endPace removes an ended request from the pace of its engine. The caller holds the lock.
func (f *InFlight) endPace(en *engine) {
	delete(en.pace.streams, f)
	en.pace.tokens -= f.ownTokens
	if f.events == 0 {
		return
	}
	p := &f.chooser.paces
	if p.answerEvents == 0 {
		p.answerEvents = float64(f.events)
		return
	}
	p.answerEvents += eventsGain * (float64(f.events) - p.answerEvents)
}

// localPace returns what this host measures at an engine now.
func (en *engine) localPace(now time.Time) pace {
	p := pace{tokens: en.pace.tokens}
	events := 0
	total := time.Duration(0) // an integer, so that the order of the streams does not matter
	for f := range en.pace.streams {
		events += f.events
		gap, overdue := f.pace.gap(now, en.pace.gap)
		limit := seenWithin
		if overdue {
			limit = overdueWithin
		}
		if gap == 0 || now.Sub(f.pace.last) > limit {
			continue
		}
		p.streams++
		total += time.Duration(gap * float64(time.Second))
	}
	p.tokens += events * en.spec.EventTokens
	if p.streams > 0 {
		p.hosts = 1
		p.gap = total.Seconds() / float64(p.streams)
	}
	return p
}

// localPaces returns what this host measures at all engines. The caller holds the lock.
func (e *EngineChooser) localPaces(now time.Time) sourcePaces {
	out := make(sourcePaces)
	for _, en := range e.order {
		if p := en.localPace(now); p.streams > 0 || p.tokens > 0 {
			out[engineKey(en.idHash)] = p
		}
	}
	return out
}

// LocalPaces returns a digest of at most limit bytes of the paces that this host measures at
// the engines. The host sends it to the others.
func (e *EngineChooser) LocalPaces(limit int) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	return encodePaces(e.localPaces(e.clock.Now()), limit)
}

// ObservePaces records the paces that another host has measured.
func (e *EngineChooser) ObservePaces(host string, digest []byte) error {
	paces, err := decodePaces(digest)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.paces.peers == nil {
		e.paces.peers = make(map[string]receivedPaces)
	}
	for _, p := range paces {
		if p.hosts > 1 {
			return ErrMalformedDigest
		}
	}
	e.paces.peers[host] = e.received(paces)
	return nil
}

// ObservePaceSum records the paces that all hosts together have measured.
func (e *EngineChooser) ObservePaceSum(s PaceSum) error {
	paces, err := decodePaces(s.Digest)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.paces.sum = e.received(paces)
	return nil
}

// received returns paces without those of engines that have just restarted. The caller holds
// the lock.
func (e *EngineChooser) received(paces sourcePaces) receivedPaces {
	now := e.clock.Now()
	for _, en := range e.order {
		if now.Sub(en.pace.restartedAt) < restartTime {
			delete(paces, engineKey(en.idHash))
		}
	}
	return receivedPaces{at: now, paces: paces}
}

// refreshPaces updates what is known of the engines from the latest measurements. The caller
// holds the lock.
func (e *EngineChooser) refreshPaces(now time.Time) {
	p := &e.paces
	dt := now.Sub(p.updated)
	if dt < paceInterval {
		return
	}
	p.updated = now
	seconds := min(dt, time.Second).Seconds()
	current := e.currentPaces(now)
	for _, en := range e.order {
		measured, ok := current[engineKey(en.idHash)]
		if ok && measured.streams > 0 {
			running, _ := e.totalLoad(en, now)
			e.learn(en, measured, max(running, measured.streams), seconds, now)
			continue
		}
		en.pace.allTokens = measured.tokens
		if !en.pace.measured(now) {
			en.pace.logSlowness *= math.Exp(-dt.Seconds() / slownessForgetTime.Seconds())
		}
	}
	keep := math.Exp(-dt.Seconds() / fleetCurveTime.Seconds())
	p.curve.weight, p.curve.varLoad, p.curve.cov = keep*p.curve.weight, keep*p.curve.varLoad, keep*p.curve.cov
}

// currentPaces returns the sum of what all hosts have measured lately.
func (e *EngineChooser) currentPaces(now time.Time) sourcePaces {
	own := e.localPaces(now)
	if now.Sub(e.paces.sum.at) <= paceTTL {
		for key, p := range e.paces.sum.paces {
			own[key] = p // includes this host
		}
		return own
	}
	sources := []sourcePaces{own}
	for host, r := range e.paces.peers {
		if now.Sub(r.at) > paceTTL {
			delete(e.paces.peers, host)
			continue
		}
		sources = append(sources, r.paces)
	}
	return sumPaces(sources)
}

// learn takes in a measurement of an engine at a load.
func (e *EngineChooser) learn(en *engine, m pace, load int, seconds float64, now time.Time) {
	p, fleet := &en.pace, &e.paces
	gap, limit := clipGap(max(m.gap, minDigestGap), e.learnedGap(en, load)), math.Log(maxSlowness)
	if m.hosts <= 1 {
		limit = math.Log(maxHostSlowness)
	}
	p.at, p.gap, p.load, p.allStreams, p.allTokens = now, gap, load, m.streams, m.tokens
	if mean := fleet.curve.at(load, e.fleetElasticity()); mean > 0 {
		target := min(max(math.Log(gap/mean), -limit), limit)
		p.logSlowness += (1 - math.Exp(-seconds/slownessTime.Seconds())) * (target - p.logSlowness)
	}
	weight := seconds * min(float64(m.streams), 4)
	p.curve.add(load, gap, weight, math.Exp(-seconds/engineCurveTime.Seconds()))
	fleet.curve.add(load, gap, weight, 1)
	gain := leastGapUp
	if gap < fleet.leastGap {
		gain = leastGapDown
	}
	if fleet.leastGap == 0 {
		gain = 1
	}
	fleet.leastGap += gain * (gap - fleet.leastGap)
}

func (e *EngineChooser) fleetElasticity() float64 {
	return e.paces.curve.elasticity(initialElasticity, curvePrior)
}

// elasticity returns the exponent by which the engine's gap grows with its load.
func (e *EngineChooser) elasticity(en *engine) float64 {
	return en.pace.curve.elasticity(e.fleetElasticity(), curvePrior)
}

// learnedGap returns the gap that is expected of an engine at a load without a recent
// measurement, in seconds; zero if no engine was ever measured.
func (e *EngineChooser) learnedGap(en *engine, load int) float64 {
	gap := e.paces.curve.at(load, e.fleetElasticity()) * math.Exp(en.pace.logSlowness)
	if gap == 0 {
		return 0
	}
	return max(gap, min(e.paces.leastGap, gap*maxGapFactor))
}

// expectedGap returns the gap in seconds that is expected of an engine at a load; zero if no
// engine was ever measured. Requests beyond the slots wait and do not slow down the others.
func (e *EngineChooser) expectedGap(en *engine, load int, now time.Time) float64 {
	if en.spec.Slots > 0 {
		load = min(load, en.spec.Slots)
	}
	p := &en.pace
	if !p.measured(now) {
		return e.learnedGap(en, load)
	}
	measuredAt := p.load
	if en.spec.Slots > 0 {
		measuredAt = min(measuredAt, en.spec.Slots)
	}
	change := math.Log1p(float64(load)) - math.Log1p(float64(measuredAt))
	gap := p.gap * math.Exp(e.elasticity(en)*change)
	return max(gap, min(e.paces.leastGap, p.gap))
}
