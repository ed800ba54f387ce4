package balance

import (
	"math"
	"time"
)

const (
	// crossDomainCost is the delay that an engine in another failure domain counts
	// as. It covers the network latency and the price of the traffic.
	crossDomainCost = 15 * time.Millisecond
	// runningCost is the delay that each running request counts as: between two
	// chunks of a prefill the engine decodes one token of each.
	runningCost = 3 * time.Millisecond
	// nonPreferredCost is the delay that an engine other than the preferred one
	// counts as, since its cache would hold a second copy of the prompt.
	nonPreferredCost = 50 * time.Millisecond
	// prefillWeight is the factor by which the prefill time of a request counts: it
	// delays both the request and those queued behind it.
	prefillWeight = 2
	// paceWeight is the part of the time of the answer, and of the delay that the
	// request causes to others, that counts. A larger part sends prompts to engines that
	// have to read their shared parts again, which stalls all streams there.
	paceWeight = 0.1
	// overflowLoad is the part of the slots of the preferred engine from which the second
	// engine is assumed to have the shared parts of the prompt, too.
	overflowLoad = 0.5
	// loadUncertainty is the number of requests by which the load of an engine is known
	// too late.
	loadUncertainty = 3
)

// evaluate returns the choice of an engine and its cost in seconds. The preferred engine of a
// prompt, and the next one if that is full, is assumed to have the shared parts cached: the
// other hosts send them there too, and if none has yet, that engine is the best one to prefill
// them.
func (e *EngineChooser) evaluate(en *engine, req EngineRequest, keys []uint64, timing *modelTiming, preferred bool, now time.Time) (EngineChoice, float64) {
	modelled := en.cache.cachedTokens(keys, req.Parts)
	total, shared := promptTokens(req.Parts)
	cached := modelled
	if preferred || en == e.overflow {
		cached = max(modelled, shared)
	}
	running, queued := e.totalLoad(en, now)
	uncached := total - cached
	backlog, prefill := queued.ahead(req.Priority), timing.prefillTime(uncached)
	gap := e.expectedGap(en, running+1, now)
	// The engine prefills queued prompts while it answers others, so the two waits overlap.
	wait := max(backlog, e.slotWait(en, running, &queued, req, gap))
	c := EngineChoice{
		Endpoint: en.spec.ID, Reason: ReasonLoad, UncachedTokens: uncached, Backlog: backlog, TimeToFirstEvent: wait + prefill,
	}
	c.Completion = c.TimeToFirstEvent + answerTime(req.Events, gap, timing)
	switch {
	case preferred:
		c.Reason = ReasonPreferred
	case modelled > 0:
		c.Reason = ReasonPrefix
	}
	cost := (wait + prefillWeight*prefill + time.Duration(running)*runningCost).Seconds()
	if gap > 0 {
		busy := timing.busyTime(uncached).Seconds()
		cost += busy*float64(1+en.pace.measuredStreams(now)) - prefill.Seconds()
		cost += e.paceCost(en, running, req, gap)
	}
	if en.weight > 0 && en.weight < 1 {
		cost /= en.weight
	}
	if en.spec.FailureDomain != e.failureDomain {
		cost += crossDomainCost.Seconds()
	}
	if !preferred {
		cost += nonPreferredCost.Seconds()
	}
	return c, cost
}

// paceCost returns the part of an engine's cost, in seconds, that follows from its pace: the
// uncertain wait for a slot, the time of the answer, and the delay that the request causes to
// the answers running there.
func (e *EngineChooser) paceCost(en *engine, running int, req EngineRequest, gap float64) float64 {
	answer := float64(req.Events) * gap
	return e.uncertainWait(en, running, req, gap) + paceWeight*(answer+e.causedDelay(en, running, req, gap))
}

// promptTokens returns the tokens of a prompt and those of its shared parts, which are all but
// the last one.
func promptTokens(parts []PromptPart) (total, shared int) {
	for _, p := range parts {
		shared = total
		total += p.Tokens
	}
	return total, shared
}

// answerTime returns the expected time from the first to the last event of an answer. gap is
// the expected gap of the engine in seconds; zero if none was ever measured.
func answerTime(events int, gap float64, timing *modelTiming) time.Duration {
	if gap == 0 {
		return time.Duration(events) * timing.eventGap
	}
	return time.Duration(float64(events) * gap * float64(time.Second))
}

// slotWait returns the expected wait for one of the engine's slots, if all are in use.
// Each slot is free once in the time of an answer. Requests that are queued and
// less urgent do not count. gap is the engine's gap, zero if unknown.
func (e *EngineChooser) slotWait(en *engine, running int, queued *backlog, req EngineRequest, gap float64) time.Duration {
	slots := en.spec.Slots
	if slots <= 0 || running < slots {
		return 0
	}
	if gap == 0 {
		gap = e.timing(req.Model).eventGap.Seconds()
	}
	ahead := float64(running - slots)
	if all := queued.ahead(PriorityLevels - 1); all > 0 {
		ahead *= queued.ahead(req.Priority).Seconds() / all.Seconds()
	}
	answer := e.answerEvents(req) * gap
	return time.Duration((ahead + 1) / float64(slots) * answer * float64(time.Second))
}

// slotsFull reports whether all slots of the engine are in use.
func (e *EngineChooser) slotsFull(en *engine) bool {
	if en.spec.Slots <= 0 {
		return false
	}
	running, _ := e.totalLoad(en, e.clock.Now())
	return running >= en.spec.Slots
}

// uncertainWait returns the part in seconds by which the wait for a slot is longer on average
// than slotWait, since the load may have risen meanwhile. Without it, all hosts fill an engine
// to its last slot.
func (e *EngineChooser) uncertainWait(en *engine, running int, req EngineRequest, gap float64) float64 {
	slots := en.spec.Slots
	if slots <= 0 {
		return 0
	}
	excess := float64(running+1-slots) / loadUncertainty
	more := loadUncertainty * math.Log1p(math.Exp(-math.Abs(excess)))
	return more / float64(slots) * e.answerEvents(req) * gap
}

// overflowOf returns the engine after the preferred one in the order of rendezvous hashing if
// the preferred one is so full that hosts send its prompts on; nil otherwise. Hosts that know
// of no other copy would all read the shared parts anew at different engines.
func (e *EngineChooser) overflowOf(candidates []candidate, preferred *engine, now time.Time) *engine {
	if preferred == nil || preferred.spec.Slots <= 0 {
		return nil
	}
	if running, _ := e.totalLoad(preferred, now); float64(running) < overflowLoad*float64(preferred.spec.Slots) {
		return nil
	}
	var second candidate
	for _, c := range candidates {
		if c.engine != preferred && (second.engine == nil || c.score > second.score) {
			second = c
		}
	}
	return second.engine
}

// causedDelay returns the time in seconds by which the request delays the answers at the
// engine together: each event that they still need comes later by the growth of the gap. A running
// answer still needs as many events as a whole one has on average, since answers differ much
// in length and the running ones are mostly the long ones.
func (e *EngineChooser) causedDelay(en *engine, running int, req EngineRequest, gap float64) float64 {
	growth := gap * e.elasticity(en) / float64(running+2)
	return float64(running) * e.answerEvents(req) * growth
}

// answerEvents returns the mean number of events of an answer.
func (e *EngineChooser) answerEvents(req EngineRequest) float64 {
	if e.paces.answerEvents > 0 {
		return e.paces.answerEvents
	}
	return float64(req.Events)
}
