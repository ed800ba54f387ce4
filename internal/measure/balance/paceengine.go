package balance

import (
	"math/rand/v2"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/internal/measure/vtime"
)

// A step of a batching engine takes stepBase, stepPerStream for each request that decodes,
// and tokenTime for each prompt token of at most stepTokens that it prefills; all of it
// times the slowness of the engine. An engine that slows down early also takes stepEarly
// times the square of the streams above earlyStreams.
const (
	batchSlots    = 16
	stepBase      = 40 * time.Millisecond
	stepPerStream = 5 * time.Millisecond
	stepEarly     = 2 * time.Millisecond
	earlyStreams  = 3
	tokenTime     = 15 * time.Microsecond
	stepTokens    = 1024
	promptCache   = 100_000 // tokens

	streamShared = 13_000 // tokens of the shared part of a prompt
	streamOwn    = 1000
	streamEvents = 100 // mean
	sharedParts  = 60
)

// stream is one request that a batching engine answers with events.
type stream struct {
	shared    uint64
	events    int
	arrived   time.Time
	onEvent   func()
	onEnd     func()
	uncached  int // prompt tokens left to prefill
	emitted   int
	last      time.Time
	longest   time.Duration // between two events
	firstWait time.Duration
}

// batchEngine answers streams by iteration-level batching.
type batchEngine struct {
	sim      *vtime.Sim
	slowness float64
	early    bool
	slowTill time.Time // slowFactor times slower until then
	waiting  []*stream
	running  []*stream
	cache    *simplelru.LRU[uint64, struct{}]
	stepping bool
}

const slowFactor = 4

func newBatchEngine(sim *vtime.Sim, slowness float64, early bool) *batchEngine {
	cache, err := simplelru.NewLRU[uint64, struct{}](promptCache/streamShared, nil)
	if err != nil {
		panic(err)
	}
	return &batchEngine{sim: sim, slowness: slowness, early: early, cache: cache}
}

// load returns the number of requests at the engine.
func (e *batchEngine) load() int { return len(e.waiting) + len(e.running) }

// stepTime returns the time of a step with the given streams, without prefill.
func (e *batchEngine) stepTime(streams int) time.Duration {
	return time.Duration(e.factor() * float64(e.stepWork(streams)))
}

// stepWork returns the time of a step at an engine of usual speed.
func (e *batchEngine) stepWork(streams int) time.Duration {
	d := stepBase + time.Duration(streams)*stepPerStream
	if over := streams - earlyStreams; e.early && over > 0 {
		d += time.Duration(over*over) * stepEarly
	}
	return d
}

func (e *batchEngine) factor() float64 {
	if e.sim.Now().Before(e.slowTill) {
		return slowFactor * e.slowness
	}
	return e.slowness
}

// handles returns the number of streams at which the engine's steps take as long as those of
// a usual engine whose slots are all in use. Short slow-downs do not count.
func (e *batchEngine) handles() float64 {
	n := 1
	for n < batchSlots && e.slowness*float64(e.stepWork(n+1)) <= float64(stepBase+batchSlots*stepPerStream) {
		n++
	}
	return float64(n)
}

func (e *batchEngine) uncachedOf(s *stream) int {
	if e.cache.Contains(s.shared) {
		return streamOwn
	}
	return streamOwn + streamShared
}

func (e *batchEngine) submit(s *stream) {
	e.waiting = append(e.waiting, s)
	if !e.stepping {
		e.step()
	}
}

// step admits waiting requests, prefills a chunk of the first unread prompt and decodes one
// event of each other request.
func (e *batchEngine) step() {
	for len(e.running) < batchSlots && len(e.waiting) > 0 {
		s := e.waiting[0]
		e.waiting = e.waiting[1:]
		s.uncached = e.uncachedOf(s)
		e.cache.Add(s.shared, struct{}{})
		e.running = append(e.running, s)
	}
	e.stepping = len(e.running) > 0
	if !e.stepping {
		return
	}
	var read *stream
	decoding := 0
	for _, s := range e.running {
		switch {
		case s.uncached == 0:
			decoding++
		case read == nil:
			read = s
		}
	}
	chunk := 0
	if read != nil {
		chunk = min(read.uncached, stepTokens)
	}
	took := time.Duration(e.factor() * float64(time.Duration(chunk)*tokenTime))
	if decoding > 0 {
		took += e.stepTime(decoding)
	}
	e.sim.After(took, func() {
		e.emit(read)
		if read != nil {
			read.uncached -= chunk
		}
		e.step()
	})
}

// emit sends an event of each request whose prompt has been read.
func (e *batchEngine) emit(read *stream) {
	now := e.sim.Now()
	left := e.running[:0]
	for _, s := range e.running {
		if s == read || s.uncached > 0 {
			left = append(left, s)
			continue
		}
		if s.emitted++; s.emitted == 1 {
			s.firstWait = now.Sub(s.arrived)
		} else {
			s.longest = max(s.longest, now.Sub(s.last))
		}
		s.last = now
		s.onEvent()
		if s.emitted == s.events {
			s.onEnd()
			continue
		}
		left = append(left, s)
	}
	e.running = left
}

// request returns the request as a host sees it.
func (s *stream) request(id string) balance.EngineRequest {
	return balance.EngineRequest{
		Model: "m", Events: streamEvents,
		Parts: []balance.PromptPart{{ID: "shared-" + blockID(s.shared), Tokens: streamShared}, {ID: id, Tokens: streamOwn}},
	}
}

// drawStream draws a request with a shared part by a Zipf distribution.
func drawStream(random *rand.Rand, zipf *rand.Zipf, now time.Time) *stream {
	events := 1 + int((0.3+0.7*random.ExpFloat64())*streamEvents)
	return &stream{shared: zipf.Uint64(), events: min(events, 5*streamEvents), arrived: now}
}
