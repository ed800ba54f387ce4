// Package fakeengine is a small stand-in for the endpoints of the platform:
// model engines, plain services and the service that rates answers. It
// records what it ran, so that tests can compare it with callers' records.
package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// Options describe one stand-in endpoint.
type Options struct {
	// Versions are the model versions loaded at the start.
	Versions []string
	// Quality is the probability by version that an answer is good; 1 if absent.
	Quality map[string]float64
	// Capacity is the number of requests that run at once; others wait.
	Capacity int
	// TokenDelay is the time between two generated tokens.
	TokenDelay time.Duration
	// AnswerTokens is the length of an answer when the request sets no limit.
	AnswerTokens int
	// CacheBlocks is the number of prefix blocks kept.
	CacheBlocks int
	// ChecksFencing makes the engine refuse old fencing numbers.
	ChecksFencing bool
	// Services maps plain services to their operations.
	Services map[string][]string
	// CallDelay is the time that a call of a plain service takes.
	CallDelay time.Duration
}

// CrashMarker is the text in a prompt that crashes the engine running it.
const CrashMarker = "<crash-engine>"

// maxRequestBytes bounds the bodies the stand-in reads.
const maxRequestBytes = 16 << 20

// Run is one request that the endpoint began to run.
type Run struct {
	Attempt   string
	Version   string
	Service   string
	Operation string
	Key       string
	Body      string
	// Started is when the run began.
	Started time.Time
}

// attemptState is what a probe can ask about an attempt. Until it runs, the
// steps of the whole engine count as its progress.
type attemptState struct {
	running bool
	base    uint64
	sent    uint64
}

// Endpoint is a running stand-in.
type Endpoint struct {
	opts  Options
	slots chan struct{}
	cache *lru.Cache[uint64, struct{}]

	mu       sync.Mutex
	server   *http.Server
	addr     string
	runs     []Run
	attempts map[string]*attemptState
	steps    uint64
	waiting  int
	versions []string
	role     string
	fencing  int64
	quality  map[string]float64
	crashes  int
	// silent, when set, makes open answers stop without closing their connection.
	silent chan struct{}
	events []engine.CacheEvent
}

// New returns an endpoint that is not yet listening.
func New(opts Options) *Endpoint {
	opts.Capacity = max(opts.Capacity, 1)
	opts.AnswerTokens = max(opts.AnswerTokens, 1)
	e := &Endpoint{
		opts:     opts,
		slots:    make(chan struct{}, opts.Capacity),
		attempts: make(map[string]*attemptState),
		versions: slices.Clone(opts.Versions),
		quality:  make(map[string]float64),
		silent:   make(chan struct{}),
	}
	for v, q := range opts.Quality {
		e.quality[v] = q
	}
	cache, err := lru.NewWithEvict(max(opts.CacheBlocks, 1), func(block uint64, _ struct{}) {
		e.events = append(e.events, engine.CacheEvent{Sequence: int64(len(e.events) + 1), Block: block, Evicted: true})
	})
	if err != nil {
		panic(err) // the size is at least 1
	}
	e.cache = cache
	return e
}

// Listen starts serving on addr, an IP number and port; port 0 picks one.
func (e *Endpoint) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "fakeengine: listen")
	}
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	e.mu.Lock()
	e.server, e.addr = server, ln.Addr().String()
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }() // Serve always returns an error; Close causes it
	return nil
}

// Addr returns the address the endpoint listens on.
func (e *Endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Close kills the endpoint: the listener and all connections break.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	return errors.Wrap(server.Close(), "fakeengine: close")
}

// Restart kills the endpoint and listens again on the same address.
func (e *Endpoint) Restart() error {
	if err := e.Close(); err != nil {
		return err
	}
	return e.Listen(e.Addr())
}

// StallOpenResponses makes all open answers go silent for good. Answers that start later work.
func (e *Endpoint) StallOpenResponses() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.silent)
	e.silent = make(chan struct{})
}

// SetQuality changes the probability that an answer of the version is good.
func (e *Endpoint) SetQuality(version string, quality float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quality[version] = quality
}

// Runs returns what the endpoint has begun to run.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Crashes returns how often a request crashed the endpoint.
func (e *Endpoint) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.generate)
	mux.HandleFunc("POST /v1/services/{service}/{operation}", e.call)
	mux.HandleFunc("POST /v1/rate", rate)
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("GET /v1/load", e.load)
	mux.HandleFunc("GET /v1/attempts/{id}", e.attempt)
	mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	return mux
}

func refuse(w http.ResponseWriter, status int, text string) {
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
	http.Error(w, text, status)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller sees a broken reply
}

// enter registers the attempt and waits for a free slot.
func (e *Endpoint) enter(ctx context.Context, attempt string) bool {
	e.mu.Lock()
	e.attempts[attempt] = &attemptState{}
	e.mu.Unlock()
	e.count(1)
	defer e.count(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (e *Endpoint) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
}

func (e *Endpoint) call(w http.ResponseWriter, r *http.Request) {
	service, operation := r.PathValue("service"), r.PathValue("operation")
	if !slices.Contains(e.opts.Services[service], operation) {
		refuse(w, http.StatusNotFound, "unknown operation")
		return
	}
	body := make(map[string]any)
	if !readJSON(w, r, &body) {
		return
	}
	attempt := r.Header.Get(engine.HeaderAttemptID)
	defer e.end(attempt)
	if !e.enter(r.Context(), attempt) {
		return
	}
	defer func() { <-e.slots }()
	key := r.Header.Get(api.HeaderIdempotencyKey)
	silent := e.begin(Run{Attempt: attempt, Service: service, Operation: operation, Key: key, Body: fmt.Sprint(body)})
	select {
	case <-time.After(e.opts.CallDelay):
	case <-silent:
		<-r.Context().Done()
		return
	}
	w.Header().Set(engine.HeaderAttemptID, attempt)
	writeJSON(w, map[string]any{"service": service, "operation": operation, "number": len(e.Runs()), "request": body})
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, engine.LoadReport{
		Running: len(e.slots), Waiting: e.waiting, Capacity: e.opts.Capacity, Versions: e.versions,
	})
}

func (e *Endpoint) attempt(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	st, ok := e.attempts[r.PathValue("id")]
	if !ok {
		writeJSON(w, engine.AttemptStatus{})
		return
	}
	progress := e.steps
	if st.running {
		progress = st.base + st.sent
	}
	writeJSON(w, engine.AttemptStatus{Running: true, Progress: progress, Sent: st.sent})
}

func (e *Endpoint) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || after < 0 || after > len(e.events) {
		http.Error(w, "bad sequence number", http.StatusBadRequest)
		return
	}
	writeJSON(w, e.events[after:])
}
