package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PromptPart is one part of a prompt. Requests whose prompts begin with the same
// parts share the cached prefix of these parts.
type PromptPart struct {
	ID     string
	Tokens int
}

// EngineSpec describes a model engine.
type EngineSpec struct {
	ID            string
	FailureDomain string
	// Version is the version of the engine's software.
	Version string
	// CacheTokens is the capacity of its prompt cache in tokens.
	CacheTokens int
	// Slots is the number of requests that it runs at the same time; 0 if unknown.
	Slots int
	// EventTokens is the number of tokens in an event of an answer; 0 if unknown. Without
	// it, the memory in use is not known.
	EventTokens int
}

// EngineRequest describes the request for which an engine is chosen.
type EngineRequest struct {
	// Model is the name of the model.
	Model string
	// Parts are the parts of the prompt in order. The last of several parts is
	// specific to the request. Other requests may share the parts before it.
	Parts []PromptPart
	// Version, if set, is the only version that may serve the request.
	Version string
	// Priority is the priority by which the engine queues the request. 0 is the most
	// urgent. Less urgent requests do not delay it.
	Priority int
	// Events is the expected number of events of the answer.
	Events int
	// Exclude lists the IDs of engines that must not be chosen.
	Exclude []string
}

// EngineChoice is the engine chosen for a request.
type EngineChoice struct {
	Endpoint string
	// Reason is the factor that decided the choice.
	Reason Reason
	// UncachedTokens is the number of prompt tokens expected to need prefill.
	UncachedTokens int
	// Backlog is the expected prefill time of the requests queued before this one.
	Backlog time.Duration
	// TimeToFirstEvent is the expected time to the first event.
	TimeToFirstEvent time.Duration
	// Completion is the expected time to the last event.
	Completion time.Duration
}

// EngineChooser chooses model engines for one host by the expected time to the first
// event, from the prefill queued before the request, the part of its prompt that is
// not in the engine's prompt cache, the requests running there, and locality. It
// estimates prefill times from the observed answers.
type EngineChooser struct {
	clock         clockwork.Clock
	failureDomain string

	mu      sync.Mutex
	engines map[string]*engine
	order   []*engine // in the order given to SetEngines
	timings map[string]*modelTiming
	peers   map[string]peerLoad
	hosts   int         // number of hosts in the fleet
	fleet   *sourceLoad // load of the other hosts, if one sums it up
	paces   fleetPaces
	// overflow is set during a choice, see overflowOf.
	overflow *engine

	candidates []candidate // used by each choice
}

// candidate is an engine that may serve a request.
type candidate struct {
	*engine
	// score is the engine's rendezvous score for the request.
	score uint64
}

// engine is the state of one engine.
type engine struct {
	spec    EngineSpec
	idHash  uint64
	cache   *promptCache
	running int
	backlog backlog
	// avoidUntil is the end of a period set by Avoid.
	avoidUntil time.Time
	weight     float64
	// excluded is set during a choice that leaves the engine out.
	excluded bool
	pace     enginePace
}

// peerLoad is the last load digest received from a peer.
type peerLoad struct {
	at    time.Time
	loads map[uint32]EngineLoad // by engineKey
}

const (
	// peerLoadTTL is the age up to which a peer's load digest counts.
	peerLoadTTL = 3 * time.Second
)

// NewEngineChooser returns a chooser without engines, for a host in the given failure
// domain.
func NewEngineChooser(clock clockwork.Clock, failureDomain string) *EngineChooser {
	return &EngineChooser{
		clock: clock, failureDomain: failureDomain, engines: make(map[string]*engine),
		timings: make(map[string]*modelTiming), peers: make(map[string]peerLoad),
	}
}

// SetEngines replaces the engines and keeps the state of those that stay.
func (e *EngineChooser) SetEngines(specs []EngineSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]*engine, len(specs))
	e.order = e.order[:0]
	for _, spec := range specs {
		en := e.engines[spec.ID]
		if en == nil {
			en = &engine{idHash: hashString(spec.ID), cache: newPromptCache(spec.CacheTokens), weight: 1}
			en.pace.streams = make(map[*InFlight]struct{})
		}
		en.spec = spec
		next[spec.ID] = en
		e.order = append(e.order, en)
	}
	e.engines = next
}

// Len returns the number of engines.
func (e *EngineChooser) Len() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.order)
}

// SetWeight sets the fraction of its normal load that an engine may receive. An
// engine of weight 0 is excluded, unless there is no other.
func (e *EngineChooser) SetWeight(id string, weight float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.weight = weight
	}
}

// Avoid excludes an engine from the choice for d, unless there is no other. It is
// used when the engine does not accept connections.
func (e *EngineChooser) Avoid(id string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.avoidUntil = e.clock.Now().Add(d)
	}
}

// ResetCache drops the modelled contents of an engine's prompt cache and all that is
// known of its pace, after a restart of the engine.
func (e *EngineChooser) ResetCache(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.cache = newPromptCache(en.spec.CacheTokens)
		e.forgetPace(en)
	}
}

// Choose returns the engine with the least cost (see evaluate). Engines that are
// avoided or of weight 0 are considered only if there is no other.
func (e *EngineChooser) Choose(req EngineRequest) (EngineChoice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	e.refreshPaces(now)
	keys := partKeys(req.Model, req.Parts)
	timing := e.timing(req.Model)
	candidates := e.serving(req, keys)
	var preferred *engine
	if len(keys) > 0 {
		preferred = preferredOf(candidates)
		e.overflow = e.overflowOf(candidates, preferred, now)
	}
	minScore := uint64(0)
	if e.fleetKnown(now) {
		minScore = minAlternativeScore(candidates)
	}
	best, bestCost := EngineChoice{}, math.Inf(1)
	// Each pass considers engines that the one before leaves out.
	for _, p := range passes(slices.ContainsFunc(candidates, func(c candidate) bool { return c.memoryFull() })) {
		if !math.IsInf(bestCost, 1) {
			break
		}
		for _, en := range candidates {
			if !p.avoided && (now.Before(en.avoidUntil) || en.weight == 0) || !p.full && en.memoryFull() {
				continue
			}
			c, cost := e.evaluate(en.engine, req, keys, timing, en.engine == preferred, now)
			if !p.others && c.Reason == ReasonLoad && en.score < minScore {
				continue
			}
			if cost < bestCost {
				best, bestCost = c, cost
			}
		}
	}
	if math.IsInf(bestCost, 1) {
		return best, ErrNoEndpoint
	}
	return best, nil
}

// serving returns the engines that may serve a request. The list holds until the next call.
func (e *EngineChooser) serving(req EngineRequest, keys []uint64) []candidate {
	e.setExcluded(req.Exclude, true)
	defer e.setExcluded(req.Exclude, false)
	e.candidates = e.candidates[:0]
	for _, en := range e.order {
		if en.excluded || req.Version != "" && en.spec.Version != req.Version {
			continue
		}
		e.candidates = append(e.candidates, candidate{engine: en, score: rendezvousScore(keys, en)})
	}
	return e.candidates
}

func (e *EngineChooser) setExcluded(ids []string, excluded bool) {
	for _, id := range ids {
		if en := e.engines[id]; en != nil {
			en.excluded = excluded
		}
	}
}

// totalLoad returns the load of this host and of its peers on an engine, from the sum
// over the fleet or else from the load digests of the peers.
func (e *EngineChooser) totalLoad(en *engine, now time.Time) (running int, queued backlog) {
	if e.fleetKnown(now) {
		others, reported := e.fleetLoad(en, now)
		for priority := range queued {
			queued[priority] = en.backlog[priority] + reported[priority]
		}
		return en.running + others, queued
	}
	running = en.running
	var reported backlog
	sumAge, reports := time.Duration(0), 0
	for _, p := range e.peers {
		age := now.Sub(p.at)
		if age > peerLoadTTL {
			continue
		}
		l := p.loads[engineKey(en.idHash)]
		running += l.Running
		for priority, ms := range l.BacklogMS {
			reported[clampPriority(priority)] += time.Duration(ms) * time.Millisecond
		}
		sumAge += age
		reports++
	}
	if reports == 0 {
		return running, en.backlog
	}
	// In a large fleet only some hosts have reported within peerLoadTTL. Their load
	// is extrapolated to all.
	if others := e.hosts - 1; others > reports {
		scale := float64(others) / float64(reports)
		running = en.running + int(scale*float64(running-en.running))
		reported.scale(scale)
	}
	// Since the reports were made, on average sumAge/reports ago, the engine has
	// worked on the backlog.
	reported.complete(sumAge / time.Duration(reports))
	for priority := range queued {
		queued[priority] = en.backlog[priority] + reported[priority]
	}
	return running, queued
}

// preferredOf returns the engine that all hosts prefer for the shared parts of a prompt, by
// rendezvous hashing; nil if there is no candidate. The last part is specific to the request
// and does not count.
func preferredOf(candidates []candidate) *engine {
	if len(candidates) == 0 {
		return nil
	}
	best := candidates[0]
	for _, c := range candidates[1:] {
		if c.score > best.score {
			best = c
		}
	}
	return best.engine
}

// MeanBacklog returns the mean prefill time that a request of the given priority waits
// for, over the engines of a version or, if version is empty, over all engines.
func (e *EngineChooser) MeanBacklog(version string, priority int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	total, n := time.Duration(0), 0
	for _, en := range e.order {
		if version != "" && en.spec.Version != version || now.Before(en.avoidUntil) || en.weight == 0 {
			continue
		}
		_, queued := e.totalLoad(en, now)
		total += queued.ahead(priority)
		n++
	}
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}

// timing returns the estimates for a model.
func (e *EngineChooser) timing(model string) *modelTiming {
	m := e.timings[model]
	if m == nil {
		m = &modelTiming{perToken: initialPrefillTime, busyPerToken: initialPrefillTime}
		e.timings[model] = m
	}
	return m
}

// PrefillTime returns the expected prefill time of a number of tokens for a model.
func (e *EngineChooser) PrefillTime(model string, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timing(model).prefillTime(tokens)
}

// EventGap returns the mean time between two events of a model's answers, zero before
// the first answer.
func (e *EngineChooser) EventGap(model string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.timing(model).eventGap
}
