package dispatch

import (
	"fmt"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
)

// maxTraces is the number of recent requests whose decisions are kept.
const maxTraces = 4096

// Step is one decision about a request.
type Step struct {
	// Elapsed is the time since the request arrived.
	Elapsed time.Duration `json:"after_ns"`
	// Decision is the kind of decision, for example plan or endpoint.
	Decision string `json:"decision"`
	// Detail is the result and the reason for it.
	Detail string `json:"detail"`
}

// Trace collects the decisions about one request.
type Trace struct {
	clock   clockwork.Clock
	arrived time.Time

	mu    sync.Mutex
	steps []Step
}

// Explanation holds the decisions of one host about a request.
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

// traces keeps the decisions about recent requests.
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

// start begins the trace of a request, or continues it if the caller retries the
// request.
func (ts *traces) start(request string) *Trace {
	if t, ok := ts.cache.Get(request); ok {
		t.add("repeat", "the caller retried the request")
		return t
	}
	t := &Trace{clock: ts.clock, arrived: ts.clock.Now()}
	ts.cache.Add(request, t)
	return t
}

// Explain returns the decisions about a request; false if none are kept.
func (d *Dispatcher) Explain(request string) (Explanation, bool) {
	t, ok := d.traces.cache.Get(request)
	if !ok {
		return Explanation{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return Explanation{Request: request, Arrived: t.arrived, Steps: append([]Step{}, t.steps...)}, true
}
