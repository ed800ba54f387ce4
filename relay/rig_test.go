package relay_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/internal/loopback"
	"github.com/corianderlever/corianderlever/internal/runlease"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/relay"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/route"
	"github.com/corianderlever/corianderlever/upstream"
)

// codec uses header names that exist only in these tests.
type codec struct{}

func (codec) Encode(h http.Header, a relay.Attempt) {
	h.Set("X-Endpoint", a.Endpoint)
	h.Set("X-Team", a.Team)
	h.Set("X-Model", a.Model)
	h.Set("X-Left", strconv.FormatInt(a.Remaining.Milliseconds(), 10))
	if a.LastEvent >= 0 {
		h.Set("X-Last-Event", strconv.FormatInt(a.LastEvent, 10))
	}
}

func (codec) Decode(h http.Header) relay.Reply {
	r := relay.Reply{ID: h.Get("X-Id"), Signed: h.Get("X-Signature") != "", NotRun: h.Get("X-Not-Run") != "", Confidence: -1}
	r.Leaving = h.Get("X-Leaving") == "1"
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil {
		r.RetryAfter = time.Duration(s) * time.Second
	}
	if c, err := strconv.Atoi(h.Get("X-Confidence")); err == nil {
		r.Confidence = c
	}
	if rate, err := strconv.ParseFloat(h.Get("X-Rate-Limit"), 64); err == nil {
		r.RateLimit = rate
	}
	return r
}

// bufferBytes is the budget for buffered answers in the tests.
const bufferBytes = 4 << 20

// configSource is a configuration source whose content the tests set.
type configSource struct {
	mu       sync.Mutex
	table    *route.Table
	age      time.Duration
	outdated bool
	// listed is closed once the source has its first state.
	listed chan struct{}
	// onListed, if set, is called by Listed.
	onListed func()
}

func (s *configSource) Table() (*route.Table, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table, s.table != nil
}

func (s *configSource) Age() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.age, s.table != nil
}

func (s *configSource) Listed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.onListed != nil {
		s.onListed()
	}
	return s.listed
}

func (s *configSource) Outdated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.outdated
}

func (s *configSource) set(f func(*configSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// unrestrictedVersions allows every version and keeps the observations.
type unrestrictedVersions struct {
	// refuse, if set, returns the refusal of an attempt at a version, or false.
	refuse   func(version string) (rollout.Admission, bool)
	mu       sync.Mutex
	bad      int
	observed []rollout.Observation
	// version is the version of new requests, if set; replaced is the one that it has replaced.
	version, replaced string
}

func (v *unrestrictedVersions) observations() []rollout.Observation {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.observed)
}

// setVersion sets the version of new requests, and the one whose endpoints stop.
func (v *unrestrictedVersions) setVersion(version, replaced string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version, v.replaced = version, replaced
}

func (v *unrestrictedVersions) Pick(string, float64) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version
}

func (v *unrestrictedVersions) Successor(_, version string) (string, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.version, version != "" && version == v.replaced
}

func (v *unrestrictedVersions) Admit(_, version string, _ float64) rollout.Admission {
	if v.refuse != nil {
		if refused, ok := v.refuse(version); ok {
			return refused
		}
	}
	return rollout.Admission{Admitted: true}
}
func (*unrestrictedVersions) Unsent(string, string) {}

func (v *unrestrictedVersions) Observe(_, _ string, o rollout.Observation) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.observed = append(v.observed, o)
	if o.Bad {
		v.bad++
	}
}

// rig is a relay with endpoints that run the handlers of a test.
type rig struct {
	t           *testing.T
	config      *configSource
	versions    *unrestrictedVersions
	fleet       *fleet.Registry
	relay       *relay.Relay
	server      *httptest.Server
	log         *syncWriter
	retryBudget limiter.WindowConfig
	maxKeyAge   time.Duration
	// holder keeps the leases on the requests of other hosts; nil if they need none.
	holder *runlease.Holder
	key    string // that call sends

	mu       sync.Mutex
	received []string // endpoint and model of each request that arrived
}

func newRig(t *testing.T, routes ...route.Route) *rig {
	t.Helper()
	return newRigWith(t, func(*relay.Options) {}, routes...)
}

// newRigWith returns a rig whose relay has changed options.
func newRigWith(t *testing.T, change func(*relay.Options), routes ...route.Route) *rig {
	t.Helper()
	r := &rig{t: t, config: &configSource{listed: make(chan struct{})}, versions: &unrestrictedVersions{}, fleet: fleet.NewRegistry(0), log: &syncWriter{}}
	r.maxKeyAge, r.key = time.Second, "key"
	r.retryBudget = limiter.WindowConfig{Window: 10 * time.Second, RetryRatio: 1, ExtraRetries: 10}
	for i := range routes {
		routes[i].Host, routes[i].Shares = "h.example", []route.Share{{Service: "s", Weight: 1}}
	}
	r.setConfig(route.Config{
		Version: 1, Routes: routes,
		Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: 4, KVCacheTokens: 10000, TokensPerEvent: 1}}},
		Teams:    []route.Team{{Name: "red", Keys: []string{"key"}}},
	})
	close(r.config.listed)
	rng := rand.New(rand.NewPCG(1, 2))
	client := upstream.NewClient(upstream.DefaultOptions())
	t.Cleanup(client.Close)
	opts := relay.Options{
		Config: r.config, Fleet: r.fleet, Versions: r.versions, Codec: codec{}, Client: client,
		LearnPace: true, AdmissionGate: true,
		Settings: func() relay.Settings {
			return relay.Settings{MaxKeyAge: r.maxKeyAge, Retry: r.retryBudget, Hosts: 1}
		},
		Self: "host", HostNames: func() []string { return []string{"host"} }, FailureDomain: "a", Clock: clockwork.NewRealClock(),
		Crashes: limiter.NewCrashGuard(clockwork.NewRealClock(), 0), Buffers: limiter.NewByteBudget(bufferBytes),
		Permits: limiter.NewPermits(clockwork.NewRealClock(), slog.New(slog.DiscardHandler), limiter.LocalPermits{}),
		Parts:   limiter.NewPartGuard(clockwork.NewRealClock(), slog.New(slog.DiscardHandler), true),
		Rand:    func() *rand.Rand { return rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64())) },
		Logger:  slog.New(slog.NewTextHandler(r.log, nil)), Registry: prometheus.NewRegistry(),
	}
	change(&opts)
	r.relay = relay.New(opts)
	r.server = httptest.NewServer(http.HandlerFunc(r.serve))
	t.Cleanup(r.server.Close)
	return r
}

// setPlainService makes the service of the routes one without model engines.
func (r *rig) setPlainService(routes ...route.Route) {
	r.t.Helper()
	for i := range routes {
		routes[i].Host, routes[i].Shares = "h.example", []route.Share{{Service: "s", Weight: 1}}
	}
	r.setConfig(route.Config{
		Version: 2, Routes: routes, Services: []route.Service{{Name: "s"}}, Teams: []route.Team{{Name: "red", Keys: []string{"key"}}},
	})
}

// syncWriter collects the log lines of concurrent requests.
type syncWriter struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *syncWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *syncWriter) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

// logged returns what the relay has logged.
func (r *rig) logged() string { return r.log.String() }

func (r *rig) setConfig(c route.Config) {
	r.t.Helper()
	table, err := route.NewTable(c)
	if err != nil {
		r.t.Fatal(err)
	}
	r.config.set(func(s *configSource) { s.table = table })
}

// serve decodes a request and passes it to the relay, as the platform's front end
// does in production.
func (r *rig) serve(w http.ResponseWriter, hr *http.Request) {
	body, _ := io.ReadAll(hr.Body)
	req := &relay.Request{
		ID: hr.Header.Get("X-Id"), Method: hr.Method, Target: hr.RequestURI, Path: hr.URL.Path, Host: "h.example",
		Header: hr.Header.Clone(), Body: body, Key: hr.Header.Get("X-Key"), LastEvent: -1,
	}
	for id := range strings.SplitSeq(hr.Header.Get("X-Parts"), " ") {
		if id != "" {
			req.Parts = append(req.Parts, balance.PromptPart{ID: id, Tokens: 1})
		}
	}
	relay.StripConnectionHeaders(req.Header)
	r.relay.Serve(hr.Context(), w, req)
}

// endpoint adds an endpoint of version v1 that runs a handler.
func (r *rig) endpoint(id string, handler http.HandlerFunc) *httptest.Server {
	r.t.Helper()
	return r.endpointOf("v1", id, handler)
}

// endpointOf adds an endpoint of the given version that runs a handler.
func (r *rig) endpointOf(version, id string, handler http.HandlerFunc) *httptest.Server {
	r.t.Helper()
	server := r.newServer(http.HandlerFunc(func(w http.ResponseWriter, hr *http.Request) {
		// net/http notices a closed connection only after it has read the body.
		_, _ = io.Copy(io.Discard, hr.Body)
		r.mu.Lock()
		r.received = append(r.received, id+hr.Header.Get("X-Model"))
		r.mu.Unlock()
		handler(w, hr)
	}))
	r.t.Cleanup(server.Close)
	r.fleet.Set(fleet.Endpoint{
		ID: id, Service: "s", Address: strings.TrimPrefix(server.URL, "http://"), FailureDomain: "a", Version: version, Slots: 4,
		Revision: int64(r.fleet.Len() + 1),
	})
	return server
}

// newServer starts a server at a loopback address of its own, where nothing else listens once
// the server is closed.
func (r *rig) newServer(handler http.Handler) *httptest.Server {
	r.t.Helper()
	addresses, err := loopback.Addresses(1)
	if err != nil {
		r.t.Fatal(err)
	}
	ln, err := net.Listen("tcp", addresses[0])
	if err != nil {
		r.t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(handler)
	_ = server.Listener.Close() // nothing was accepted
	server.Listener = ln
	server.Start()
	return server
}

// arrivals returns the endpoint and model of each request that reached an endpoint.
func (r *rig) arrivals() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.received...)
}

// call sends a request to the relay. If the response was received, err is the error
// of reading its body.
func (r *rig) call(method, path string) (resp *http.Response, body string, err error) {
	r.t.Helper()
	req, _ := http.NewRequestWithContext(context.Background(), method, r.server.URL+path, strings.NewReader("question"))
	req.Header.Set("X-Id", "attempt-1")
	req.Header.Set("X-Key", r.key)
	resp, err = http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// answer writes a signed answer.
func answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("X-Signature", "signed")
	w.Header().Set("X-Id", "attempt-1")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// reject answers that the request was not run.
func reject(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// dropConnection closes the connection without an answer.
func dropConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// events writes the events with the ids from..to. If cut is set, it then aborts the
// connection in the middle of the next event.
func events(w http.ResponseWriter, from, to int, cut bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Signature", "signed")
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
	}
	if cut {
		fmt.Fprintf(w, "id: %d\nda", to+1)
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}
