// Package fakeengine provides fake endpoints for tests: model engines, plain
// services and the rating service. An endpoint records the requests it ran, so
// that tests can compare them with the callers' records.
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

// Options configure an Endpoint.
type Options struct {
	// Versions are the model versions that are loaded initially.
	Versions []string
	// Quality is the probability that an answer is good, by version; the default
	// is 1.
	Quality map[string]float64
	// Capacity is the number of slots; requests beyond it wait in a queue.
	Capacity int
	// TokenDelay is the time between two generated tokens.
	TokenDelay time.Duration
	// AnswerTokens is the length of an answer in tokens. The request can lower it.
	AnswerTokens int
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// ChecksFencing makes the engine reject stale fencing tokens.
	ChecksFencing bool
	// Services maps names of plain services to their operations.
	Services map[string][]string
	// CallDelay is the duration of a call of a plain service.
	CallDelay time.Duration
}

// CrashMarker in a prompt makes the engine that runs it crash.
const CrashMarker = "<crash-engine>"

const (
	// maxRequestBytes bounds request bodies.
	maxRequestBytes = 16 << 20
	// maxCancelled is the number of cancelled attempts that an endpoint remembers.
	maxCancelled = 1024
)

// Run is one request that the endpoint started to run.
type Run struct {
	Attempt   string
	Version   string
	Service   string
	Operation string
	Key       string
	Body      string
	// Started is the start time of the run.
	Started time.Time
}

// Endpoint is a fake endpoint.
type Endpoint struct {
	opts  Options
	slots chan struct{}
	cache *lru.Cache[uint64, struct{}]

	mu       sync.Mutex
	server   *http.Server
	listener net.Listener
	refusing bool
	addr     string
	runs     []Run
	attempts map[string]*attemptState
	// cancelled holds the last attempts that were cancelled.
	cancelled *lru.Cache[string, struct{}]
	steps     uint64
	waiting   int
	versions  []string
	role      string
	fencing   int64
	quality   map[string]float64
	// tokenDelay is the time between two tokens.
	tokenDelay time.Duration
	crashes    int
	// rateLimit is named in answers; zero for none.
	rateLimit float64
	// stalled is closed to make the responses that started before send no more
	// data while their connections stay open.
	stalled chan struct{}
	events  []engine.CacheEvent
}

// New returns an endpoint that does not listen yet.
func New(opts Options) *Endpoint {
	opts.Capacity = max(opts.Capacity, 1)
	opts.AnswerTokens = max(opts.AnswerTokens, 1)
	e := &Endpoint{
		opts:       opts,
		slots:      make(chan struct{}, opts.Capacity),
		attempts:   make(map[string]*attemptState),
		versions:   slices.Clone(opts.Versions),
		quality:    make(map[string]float64),
		tokenDelay: opts.TokenDelay,
		stalled:    make(chan struct{}),
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
	if e.cancelled, err = lru.New[string, struct{}](maxCancelled); err != nil {
		panic(err) // the size is at least 1
	}
	return e
}

// Listen starts serving on addr, an IP address and port; port 0 picks a free one.
func (e *Endpoint) Listen(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "fakeengine: listen")
	}
	server := &http.Server{Handler: e.handler(), ReadHeaderTimeout: 10 * time.Second}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.server, e.addr = server, ln.Addr().String()
	e.serve(ln)
	return nil
}

// serve serves on a listener. The caller holds mu.
func (e *Endpoint) serve(ln net.Listener) {
	server := e.server
	e.listener, e.refusing = ln, false
	go func() { _ = server.Serve(ln) }() // ends with the server or its listener
}

// Refuse makes the endpoint refuse new connections and serve on the open ones.
func (e *Endpoint) Refuse() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.refusing {
		return nil
	}
	e.refusing = true
	return errors.Wrap(e.listener.Close(), "fakeengine: refuse connections")
}

// Accept makes the endpoint accept connections again.
func (e *Endpoint) Accept() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.refusing {
		return nil
	}
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return errors.Wrap(err, "fakeengine: accept connections")
	}
	e.serve(ln)
	return nil
}

// Addr returns the address the endpoint listens on.
func (e *Endpoint) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Close simulates a crash: it closes the listener and all connections.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	server := e.server
	e.mu.Unlock()
	if server == nil {
		return nil
	}
	return errors.Wrap(server.Close(), "fakeengine: close")
}

// Restart closes the endpoint and listens again on the same address.
func (e *Endpoint) Restart() error {
	if err := e.Close(); err != nil {
		return err
	}
	return e.Listen(e.Addr())
}

// StallOpenResponses makes all open responses stop sending data without closing
// their connections. Later responses are not affected.
func (e *Endpoint) StallOpenResponses() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stalled)
	e.stalled = make(chan struct{})
}

// SetQuality changes the probability that an answer of the version is good.
func (e *Endpoint) SetQuality(version string, quality float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quality[version] = quality
}

// SetRateLimit makes the endpoint name a rate limit in its answers, in requests a
// second; zero names none. The endpoint does not enforce it.
func (e *Endpoint) SetRateLimit(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = rate
}

// SetTokenDelay changes the time between two tokens.
func (e *Endpoint) SetTokenDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokenDelay = d
}

// nameLimit adds the rate limit to the header of an answer.
func (e *Endpoint) nameLimit(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rateLimit > 0 {
		w.Header().Set(engine.HeaderRateLimit, strconv.FormatFloat(e.rateLimit, 'f', -1, 64))
	}
}

// Runs returns the requests that the endpoint has started to run.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.runs)
}

// Crashes returns the number of crashes caused by requests.
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
	mux.HandleFunc("DELETE /v1/attempts/{id}", e.cancel)
	mux.HandleFunc("GET /v1/cache/events", e.cacheEvents)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempt := r.Header.Get(engine.HeaderAttemptID); attempt != "" {
			w.Header().Set(engine.HeaderAttemptID, attempt)
		}
		mux.ServeHTTP(w, r)
	})
}

// reject sends an error for a request that was not run.
func reject(w http.ResponseWriter, status int, text string) {
	w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
	http.Error(w, text, status)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(into); err != nil {
		reject(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller sees a truncated reply
}

// acquireSlot waits for a free slot. It returns false if ctx ends first or the attempt is
// cancelled.
func (e *Endpoint) acquireSlot(ctx context.Context, st *attemptState) bool {
	e.addWaiting(1)
	defer e.addWaiting(-1)
	select {
	case e.slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-st.cancelled:
	}
	return false
}

func (e *Endpoint) addWaiting(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting += n
}

func (e *Endpoint) call(w http.ResponseWriter, r *http.Request) {
	service, operation := r.PathValue("service"), r.PathValue("operation")
	e.nameLimit(w)
	if !slices.Contains(e.opts.Services[service], operation) {
		reject(w, http.StatusNotFound, "unknown operation")
		return
	}
	body := make(map[string]any)
	if !readJSON(w, r, &body) {
		return
	}
	attempt := r.Header.Get(engine.HeaderAttemptID)
	st := e.beginAttempt(attempt)
	if st == nil {
		reject(w, http.StatusConflict, "attempt cancelled")
		return
	}
	defer e.endAttempt(attempt, st)
	if !e.acquireSlot(r.Context(), st) {
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.slots }()
	key := r.Header.Get(api.HeaderIdempotencyKey)
	stalled := e.startRun(Run{Attempt: attempt, Service: service, Operation: operation, Key: key, Body: fmt.Sprint(body)})
	select {
	case <-time.After(e.opts.CallDelay):
	case <-st.cancelled:
		panic(http.ErrAbortHandler)
	case <-stalled:
		st.abort(r.Context())
	}
	writeJSON(w, map[string]any{"service": service, "operation": operation, "number": len(e.Runs()), "request": body})
}

func (e *Endpoint) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, engine.LoadReport{
		Running: len(e.slots), Waiting: e.waiting, Capacity: e.opts.Capacity, Versions: e.versions,
	})
}

func (e *Endpoint) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil || after < 0 || after > len(e.events) {
		http.Error(w, "invalid sequence number", http.StatusBadRequest)
		return
	}
	writeJSON(w, e.events[after:])
}
