package dispatch

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
)

// explainedRequests is the number of requests whose decisions are remembered.
const maxTraces = 4096

// Step is one decision about a request.
type Step struct {
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration `json:"after_ns"`
	// Decision names what was decided, for example plan or endpoint.
	Decision string `json:"decision"`
	// Detail says what and why.
	Detail string `json:"detail"`
}

// Trace collects the decisions about one request.
type Trace struct {
	clock   clockwork.Clock
	arrived time.Time

	mu    sync.Mutex
	steps []Step
}

// Explanation is what a host remembers of a request.
type Explanation struct {
	Request string    `json:"request"`
	Arrived time.Time `json:"arrived"`
	Steps   []Step    `json:"steps"`
}

func (t *Trace) add(decision, format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.steps = append(t.steps, Step{
		Elapsed:  t.clock.Since(t.arrived),
		Decision: decision,
		Detail:   fmt.Sprintf(format, args...),
	})
}

// traces remembers the decisions about recent requests.
type traces struct {
	clock clockwork.Clock
	cache *lru.Cache[string, *Trace]
}

func newTraces(clock clockwork.Clock) *traces {
	cache, err := lru.New[string, *Trace](maxTraces)
	if err != nil {
		panic(err) // the size is a positive constant
	}
	return &traces{clock: clock, cache: cache}
}

// start begins the trace of a request, or continues it when the caller
// repeats the request.
func (ts *traces) start(request string) *Trace {
	if t, ok := ts.cache.Get(request); ok {
		t.add("repeat", "the caller sent the request again")
		return t
	}
	t := &Trace{clock: ts.clock, arrived: ts.clock.Now()}
	ts.cache.Add(request, t)
	return t
}

// Explain returns what was decided about a request.
func (d *Dispatcher) Explain(request string) (Explanation, bool) {
	t, ok := d.traces.cache.Get(request)
	if !ok {
		return Explanation{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return Explanation{Request: request, Arrived: t.arrived, Steps: append([]Step{}, t.steps...)}, true
}
