package balance

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jonboulle/clockwork"
)

// Part is one part of a prompt. Requests whose prompts begin with the same
// parts share what an engine has read of them.
type Part struct {
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
	Parts []Part
	// Version, if set, is the only version that may serve the request.
	Version string
	// Urgency is the level at which the engine queues the request, 0 first. The
	// work of less urgent requests does not delay it.
	Urgency int
	// Exclude names engines that must not be chosen.
	Exclude []string
}

// UrgencyLevels is the number of levels at which engines queue requests.
const UrgencyLevels = 10

// backlog is reading work by the level of its requests.
type backlog [UrgencyLevels]time.Duration

// ahead returns the work that a request of a level waits for.
func (b *backlog) ahead(level int) time.Duration {
	total := time.Duration(0)
	for _, d := range b[:clampLevel(level)+1] {
		total += d
	}
	return total
}

func (b *backlog) scale(f float64) {
	for i := range b {
		b[i] = time.Duration(f * float64(b[i]))
	}
}

// worked takes off what an engine has done in a time, the most urgent first.
func (b *backlog) worked(d time.Duration) {
	for i := range b {
		done := min(b[i], d)
		b[i] -= done
		d -= done
	}
}

func clampLevel(level int) int { return min(max(level, 0), UrgencyLevels-1) }

// EngineChoice is the engine chosen for a request.
type EngineChoice struct {
	Endpoint string
	// Reason says what decided.
	Reason Reason
	// Uncached is the number of prompt tokens the engine is expected to read.
	Uncached int
	// Backlog is the reading work that it is expected to have before this request.
	Backlog time.Duration
	// Expected is the expected time to the first event.
	Expected time.Duration
}

// EngineLoad is the load that one host puts on an engine.
type EngineLoad struct {
	// Running is the number of requests sent and not ended.
	Running int `json:"r"`
	// BacklogMS is the reading work of requests that have not begun to answer, in
	// milliseconds by level; trailing levels without work are left out.
	BacklogMS []int64 `json:"b,omitempty"`
}

// Engines chooses model engines for one host by the expected time to the first
// event: the reading work before the request, the part of its prompt that the
// engine has not cached, the requests it runs, and locality. It learns how long
// reading takes from the answers.
type Engines struct {
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
	cache   *promptCache
	running int
	backlog backlog
	// avoidUntil is set while the engine does not accept connections.
	avoidUntil time.Time
	weight     float64
}

type peerLoad struct {
	at    time.Time
	loads map[string]EngineLoad
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

// NewEngines returns a chooser without engines for a host in a failure domain.
func NewEngines(clock clockwork.Clock, domain string) *Engines {
	return &Engines{
		clock: clock, domain: domain, engines: make(map[string]*engine),
		rates: make(map[string]*readRate), peers: make(map[string]peerLoad),
	}
}

// SetEngines replaces the engines, keeping what is known of those that stay.
func (e *Engines) SetEngines(specs []EngineSpec) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]*engine, len(specs))
	e.order = e.order[:0]
	for _, spec := range specs {
		en := e.engines[spec.ID]
		if en == nil {
			en = &engine{cache: newPromptCache(spec.CacheTokens), weight: 1}
		}
		en.spec = spec
		next[spec.ID] = en
		e.order = append(e.order, en)
	}
	e.engines = next
}

// SetWeight sets the share of its normal work that an engine may receive; 0
// takes it out of the choice.
func (e *Engines) SetWeight(id string, weight float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.weight = weight
	}
}

// Avoid takes an engine out of the choice for a time, while there are others.
func (e *Engines) Avoid(id string, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.avoidUntil = e.clock.Now().Add(d)
	}
}

// ForgetCache drops what is believed of an engine's cache, after a restart.
func (e *Engines) ForgetCache(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if en := e.engines[id]; en != nil {
		en.cache = newPromptCache(en.spec.CacheTokens)
	}
}

// Choose returns the engine with the least expected time to the first event.
func (e *Engines) Choose(req EngineRequest) (EngineChoice, error) {
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
	for _, id := range req.Exclude {
		if id == en.spec.ID {
			return false
		}
	}
	return true
}

// evaluate returns the choice of an engine and its cost in seconds. The home of
// a prompt is taken to have its shared parts: the other hosts send them there
// too, and if nobody has yet, that is where they are best read.
func (e *Engines) evaluate(en *engine, req EngineRequest, keys []uint64, rate *readRate, home bool, now time.Time) (EngineChoice, float64) {
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
	backlog := work.ahead(req.Urgency)
	uncached := total - cached
	read := rate.time(uncached)
	c := EngineChoice{
		Endpoint: en.spec.ID, Reason: ReasonLoad, Uncached: uncached, Backlog: backlog, Expected: backlog + read,
	}
	switch {
	case home:
		c.Reason = ReasonHome
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
func (e *Engines) loadOf(en *engine, now time.Time) (running int, work backlog) {
	running = en.running
	var reported backlog
	sumAge, reports := time.Duration(0), 0
	for _, p := range e.peers {
		age := now.Sub(p.at)
		if age > peerLoadLife {
			continue
		}
		l := p.loads[en.spec.ID]
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
func (e *Engines) home(req EngineRequest, keys []uint64) *engine {
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
		score := mix(key ^ xxhash.Sum64String(en.spec.ID))
		if best == nil || score > bestScore {
			best, bestScore = en, score
		}
	}
	return best
}

// Work is one request at an engine.
type Work struct {
	engines *Engines
	id      string
	model   string
	level   int
	read    time.Duration
	tokens  int
	started time.Time
	alone   bool
	begun   bool
	ended   bool
}

// Start records that a request was sent to the chosen engine.
func (e *Engines) Start(c EngineChoice, req EngineRequest) *Work {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := &Work{engines: e, id: c.Endpoint, model: req.Model, level: clampLevel(req.Urgency), tokens: c.Uncached, started: e.clock.Now()}
	en := e.engines[c.Endpoint]
	if en == nil {
		return w
	}
	w.alone = c.Backlog < aloneBacklog
	w.read = e.rate(req.Model).time(c.Uncached)
	en.running++
	en.backlog[w.level] += w.read
	en.cache.add(partKeys(req.Model, req.Parts), req.Parts)
	return w
}

// Begun records the first event of the answer.
func (w *Work) Begun() {
	e := w.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.begun || w.ended {
		return
	}
	w.begun = true
	w.settle()
	if w.alone {
		e.rate(w.model).observe(e.clock.Since(w.started), w.tokens)
	}
}

// End records the end of the request.
func (w *Work) End() {
	e := w.engines
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.ended {
		return
	}
	w.ended = true
	if !w.begun {
		w.settle()
	}
	if en := e.engines[w.id]; en != nil && en.running > 0 {
		en.running--
	}
}

// settle takes the reading work off the engine's backlog.
func (w *Work) settle() {
	if en := w.engines.engines[w.id]; en != nil {
		en.backlog[w.level] = max(0, en.backlog[w.level]-w.read)
	}
}

// Loads returns the host's own load, for the other hosts.
func (e *Engines) Loads() map[string]EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]EngineLoad)
	for id, en := range e.engines {
		if en.running > 0 {
			out[id] = EngineLoad{Running: en.running, BacklogMS: en.backlog.milliseconds()}
		}
	}
	return out
}

// milliseconds returns the levels up to the last one with work.
func (b *backlog) milliseconds() []int64 {
	var out []int64
	for level, d := range b {
		if d > 0 {
			out = append(out, make([]int64, level+1-len(out))...)
			out[level] = d.Milliseconds()
		}
	}
	return out
}

// ObservePeer takes in another host's load, in a fleet of a number of hosts.
func (e *Engines) ObservePeer(host string, loads map[string]EngineLoad, hosts int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hosts = hosts
	now := e.clock.Now()
	e.peers[host] = peerLoad{at: now, loads: loads}
	for h, p := range e.peers {
		if now.Sub(p.at) > peerLoadLife {
			delete(e.peers, h)
		}
	}
}

// ReadRate is what a host has learned of the time to read a token.
type ReadRate struct {
	// Nanoseconds is the time for one token.
	Nanoseconds int64 `json:"ns"`
	// Samples is the number of answers that it rests on.
	Samples int `json:"n"`
}

// Rates returns what this host has learned by model, for the other hosts.
func (e *Engines) Rates() map[string]ReadRate {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]ReadRate)
	for model, r := range e.rates {
		if r.samples > 0 {
			out[model] = ReadRate{Nanoseconds: r.perToken.Nanoseconds(), Samples: r.samples}
		}
	}
	return out
}

// ObserveRates takes over what another host has learned from more answers.
func (e *Engines) ObserveRates(rates map[string]ReadRate) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for model, seen := range rates {
		if r := e.rate(model); seen.Samples > r.samples && r.samples < enoughSamples {
			r.perToken = time.Duration(seen.Nanoseconds)
		}
	}
}

// enoughSamples is the number of own answers from which a host goes by them.
const enoughSamples = 20

// EventGap returns the usual time between two events of a model's answers.
func (e *Engines) EventGap(model string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rate(model).eventGap
}

// Streamed records the mean time between two events of a whole answer.
func (w *Work) Streamed(gap time.Duration) {
	w.engines.mu.Lock()
	defer w.engines.mu.Unlock()
	r := w.engines.rate(w.model)
	if r.eventGap == 0 {
		r.eventGap = gap
		return
	}
	r.eventGap += time.Duration(gapGain * float64(gap-r.eventGap))
}

// Backlog returns the mean reading work that a request of a level waits for,
// over the engines of a version, or of all for an empty one.
func (e *Engines) Backlog(version string, urgency int) time.Duration {
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

func (e *Engines) rate(model string) *readRate {
	r := e.rates[model]
	if r == nil {
		r = &readRate{perToken: initialReadTime}
		e.rates[model] = r
	}
	return r
}

// ReadTime returns the expected time in which an engine reads tokens for a model.
func (e *Engines) ReadTime(model string, tokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rate(model).time(tokens)
}
