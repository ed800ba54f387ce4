package balance

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// PromptPart is one part of a prompt. Requests whose prompts begin with the same
// parts share what an engine has read of them.
type PromptPart struct {
	ID     string
	Tokens int
}

// EngineSpec describes a model engine.
type EngineSpec struct {
	ID            string
	FailureDomain string
	// Version is the version of its software.
	Version string
	// CacheTokens is the size of its prompt cache.
	CacheTokens int
}

// EngineRequest is what the choice of an engine depends on.
type EngineRequest struct {
	// Model is the model to run.
	Model string
	// Parts are the parts of the prompt in order.
	Parts []PromptPart
	// Version, if set, is the only version that may serve the request.
	Version string
	// Priority is the level at which the engine queues the request, 0 first. The
	// work of less urgent requests does not delay it.
	Priority int
	// Exclude names engines that must not be chosen.
	Exclude []string
}

// EngineChoice is the engine chosen for a request.
type EngineChoice struct {
	Endpoint string
	// Reason says what decided.
	Reason Reason
	// UncachedTokens is the number of prompt tokens the engine is expected to read.
	UncachedTokens int
	// Backlog is the reading work that it is expected to have before this request.
	Backlog time.Duration
	// TimeToFirstEvent is the expected time to the first event.
	TimeToFirstEvent time.Duration
}

// EngineChooser chooses model engines for one host by the expected time to the first
// event: the reading work before the request, the part of its prompt that the
// engine has not cached, the requests it runs, and locality. It learns how long
// reading takes from the answers.
type EngineChooser struct {
	clock  clockwork.Clock
	domain string

	mu      sync.Mutex
	engines map[string]*engine
	order   []*engine
	rates   map[string]*readRate
	peers   map[string]peerLoad
	hosts   int
}

type engine struct {
	spec    EngineSpec
	idHash  uint64
	cache   *promptCache
	running int
	backlog backlog
	// avoidUntil is set while the engine does not accept connections.
	avoidUntil time.Time
	weight     float64
}

type peerLoad struct {
	at    time.Time
	loads map[uint32]EngineLoad // by key in digests
}

const (
	// peerLoadLife is the age up to which another host's report counts.
	peerLoadLife = 3 * time.Second
	// crossDomainCost is the delay that another failure domain counts as. It
	// covers the way and the price of the bytes.
	crossDomainCost = 15 * time.Millisecond
	// runningCost is the delay that each running request counts as: the engine
	// produces a token of each between two chunks of a prompt.
	runningCost = 3 * time.Millisecond
	// moveCost is the delay that an engine other than the home of a prompt
	// counts as, since its cache would hold a second copy.
	moveCost = 50 * time.Millisecond
	// othersDelay is how many times the reading of a prompt counts: it delays the
	// request itself and those that wait behind it.
	othersDelay = 2
)

// NewEngineChooser returns a chooser without engines for a host in a failure domain.
func NewEngineChooser(clock clockwork.Clock, domain string) *EngineChooser {
	return &EngineChooser{
		clock: clock, domain: domain, engines: make(map[string]*engine),
		rates: make(map[string]*readRate), peers: make(map[string]peerLoad),
	}
}

// SetEngines replaces the engines, keeping what is known of those that stay.
func (e *EngineChooser) SetEngines(specs []EngineSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]*engine, len(specs))
	e.order = e.order[:0]
	for _, spec := range specs {
		en := e.engines[spec.ID]
		if en == nil {
			en = &engine{idHash: hashText(spec.ID), cache: newPromptCache(spec.CacheTokens), weight: 1}
		}
		en.spec = spec
		next[spec.ID] = en
		e.order = append(e.order, en)
	}
	e.engines = next
}

// SetWeight sets the share of its normal work that an engine may receive; 0
// takes it out of the choice.
func (e *EngineChooser) SetWeight(id string, weight float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.weight = weight
	}
}

// Avoid takes an engine out of the choice for a time, while there are others.
func (e *EngineChooser) Avoid(id string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.avoidUntil = e.clock.Now().Add(d)
	}
}

// ResetCache drops what is believed of an engine's cache, after a restart.
func (e *EngineChooser) ResetCache(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.cache = newPromptCache(en.spec.CacheTokens)
	}
}

// Choose returns the engine with the least expected time to the first event.
func (e *EngineChooser) Choose(req EngineRequest) (EngineChoice, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	keys := partKeys(req.Model, req.Parts)
	rate := e.rate(req.Model)
	home := e.home(req, keys)
	best, bestCost := EngineChoice{}, math.Inf(1)
	for pass := 0; pass < 2 && math.IsInf(bestCost, 1); pass++ {
		for _, en := range e.order {
			if !en.serves(req) || pass == 0 && (now.Before(en.avoidUntil) || en.weight == 0) {
				continue
			}
			c, cost := e.evaluate(en, req, keys, rate, en == home, now)
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

func (en *engine) serves(req EngineRequest) bool {
	if req.Version != "" && en.spec.Version != req.Version {
		return false
	}
	return !slices.Contains(req.Exclude, en.spec.ID)
}

// evaluate returns the choice of an engine and its cost in seconds. The home of
// a prompt is taken to have its shared parts: the other hosts send them there
// too, and if nobody has yet, that is where they are best read.
func (e *EngineChooser) evaluate(en *engine, req EngineRequest, keys []uint64, rate *readRate, home bool, now time.Time) (EngineChoice, float64) {
	known := en.cache.cachedTokens(keys, req.Parts)
	total, shared := 0, 0
	for i, p := range req.Parts {
		total += p.Tokens
		if i < len(req.Parts)-1 {
			shared += p.Tokens
		}
	}
	cached := known
	if home {
		cached = max(known, shared)
	}
	running, work := e.loadOf(en, now)
	backlog := work.ahead(req.Priority)
	uncached := total - cached
	read := rate.time(uncached)
	c := EngineChoice{
		Endpoint: en.spec.ID, Reason: ReasonLoad, UncachedTokens: uncached, Backlog: backlog, TimeToFirstEvent: backlog + read,
	}
	switch {
	case home:
		c.Reason = ReasonPreferred
	case known > 0:
		c.Reason = ReasonPrefix
	}
	cost := (backlog + othersDelay*read + time.Duration(running)*runningCost).Seconds()
	if en.weight > 0 && en.weight < 1 {
		cost /= en.weight
	}
	if en.spec.FailureDomain != e.domain {
		cost += crossDomainCost.Seconds()
	}
	if !home {
		cost += moveCost.Seconds()
	}
	return c, cost
}

// loadOf adds what other hosts have reported to the host's own load.
func (e *EngineChooser) loadOf(en *engine, now time.Time) (running int, work backlog) {
	running = en.running
	var reported backlog
	sumAge, reports := time.Duration(0), 0
	for _, p := range e.peers {
		age := now.Sub(p.at)
		if age > peerLoadLife {
			continue
		}
		l := p.loads[engineKey(en.idHash)]
		running += l.Running
		for level, ms := range l.BacklogMS {
			reported[clampLevel(level)] += time.Duration(ms) * time.Millisecond
		}
		sumAge += age
		reports++
	}
	if reports == 0 {
		return running, en.backlog
	}
	// In a large fleet only some hosts have reported lately; they stand for all.
	if others := e.hosts - 1; others > reports {
		scale := float64(others) / float64(reports)
		running = en.running + int(scale*float64(running-en.running))
		reported.scale(scale)
	}
	// The engine has worked on the backlog of all hosts since it was reported.
	reported.worked(sumAge / time.Duration(reports))
	for level := range work {
		work[level] = en.backlog[level] + reported[level]
	}
	return running, work
}

// home returns the engine that all hosts prefer for the shared parts of a
// prompt: the last part belongs to the request alone.
func (e *EngineChooser) home(req EngineRequest, keys []uint64) *engine {
	if len(keys) == 0 {
		return nil
	}
	key := keys[max(0, len(keys)-2)]
	var best *engine
	var bestScore uint64
	for _, en := range e.order {
		if !en.serves(req) {
			continue
		}
		score := mix(key ^ en.idHash)
		if best == nil || score > bestScore {
			best, bestScore = en, score
		}
	}
	return best
}

// MeanBacklog returns the mean reading work that a request of a level waits for,
// over the engines of a version, or of all for an empty one.
func (e *EngineChooser) MeanBacklog(version string, urgency int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	total, n := time.Duration(0), 0
	for _, en := range e.order {
		if version != "" && en.spec.Version != version || now.Before(en.avoidUntil) || en.weight == 0 {
			continue
		}
		_, work := e.loadOf(en, now)
		total += work.ahead(urgency)
		n++
	}
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}

func (e *EngineChooser) rate(model string) *readRate {
	r := e.rates[model]
	if r == nil {
		r = &readRate{perToken: initialReadTime}
		e.rates[model] = r
	}
	return r
}

// PrefillTime returns the expected time in which an engine reads tokens for a model.
func (e *EngineChooser) PrefillTime(model string, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rate(model).time(tokens)
}

// EventGap returns the usual time between two events of a model's answers.
func (e *EngineChooser) EventGap(model string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rate(model).eventGap
}
