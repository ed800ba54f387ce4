package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/entry"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/ledger"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/rating"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/session"
)

const testSeed = 7

// testConfig is a dispatch.Config whose content the tests set.
type testConfig struct {
	snap  atomic.Pointer[resource.Snapshot]
	stale atomic.Bool
}

func (c *testConfig) Current() *resource.Snapshot { return c.snap.Load() }
func (c *testConfig) Fresh() bool                 { return !c.stale.Load() }

// noPeers is a ledger.Replicator without peers.
type noPeers struct{}

func (noPeers) Pick(...string) string                                  { return "" }
func (noPeers) Hold(context.Context, string, ledger.Copies) error      { return nil }
func (noPeers) Release(context.Context, string, ledger.Released) error { return nil }

// rig is one entry host without peers, with fake engines and services as endpoints.
type rig struct {
	t         *testing.T
	endpoints *demo.Endpoints
	config    *testConfig
	resources []resource.Resource
	pool      *dispatch.EndpointPool
	d         *dispatch.Dispatcher
	ledger    *ledger.Ledger
	kv        *memkv.Faulty
	registry  *prometheus.Registry
	client    *client.Client
}

func newRig(t *testing.T, engines int) *rig {
	t.Helper()
	return newRigAt(t, engines, clockwork.NewRealClock())
}

// newRigAt returns a rig whose host takes the time from a clock.
func newRigAt(t *testing.T, engines int, clock clockwork.Clock) *rig {
	t.Helper()
	endpoints, err := demo.StartEndpoints(engines)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endpoints.Close)
	r := &rig{t: t, endpoints: endpoints, config: new(testConfig), registry: prometheus.NewRegistry()}
	if r.resources, err = demo.Resources(endpoints); err != nil {
		t.Fatal(err)
	}
	rng := func() *rand.Rand { return rand.New(rand.NewPCG(testSeed, testSeed)) }
	logger := slog.New(slog.NewTextHandler(io.Discard, nil))
	signer, err := session.NewSigner(clock, time.Hour, []session.Key{{ID: "k", Secret: []byte(strings.Repeat("s", session.MinKeyBytes))}})
	if err != nil {
		t.Fatal(err)
	}
	r.kv = memkv.NewFaulty(memkv.New(clock), clock)
	queue := admission.New(clock, admission.DefaultLimits, "host", 1)
	r.pool = dispatch.NewEndpointPool(clock, rng(), demo.FailureDomain(0), queue.SetCapacity)
	r.ledger = ledger.New(r.kv, clock, noPeers{}, ledger.Config{Host: "host-1", Logger: logger})
	guard := limiter.NewCrashGuard(clock, 0)
	permits := limiter.NewPermits(clock, logger, limiter.LocalPermits{})
	engineClient := engine.NewClient(nil)
	engineClient.OnLimit = permits.Observe
	r.d = dispatch.New(dispatch.Options{
		Config: r.config, Engines: engineClient, Buffers: engineClient.Buffers, Permits: permits, Signer: signer,
		Chooser:  cascade.New(cascade.Config{Host: "host", Incarnation: 1}, clock, rng()),
		Detector: rollout.NewDetector(rollout.Config{Host: "host", Incarnation: 1}, clock),
		Queue:    queue, Pool: r.pool, Retries: limiter.NewRetryBudget(clock),
		Crashes: guard, Parts: limiter.NewPartGuard(clock, logger, false), Probation: dispatch.LocalProbation{Probation: limiter.NewProbation(clock, guard)},
		Ledger: r.ledger, Claims: claim.New(r.kv, clock, rng(), "host", logger),
		Rater: rating.New("http://"+endpoints.Engines[0].Addr(), 1000, nil),
		Clock: clock, Logger: logger, Registry: r.registry,
	})
	t.Cleanup(r.d.Close)
	r.apply(queue, r.resources)
	handler := entry.New(entry.Options{
		Dispatcher: r.d, Config: r.config, Logger: logger,
		Entries:      func() api.EntriesResponse { return api.EntriesResponse{} },
		Ready:        func() bool { return true },
		MaxBodyBytes: 1 << 20, BodyTimeout: time.Second, WriteTimeout: time.Second,
	})
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	r.client = client.New(client.Options{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, Key: demo.TeamKey, Attempts: 1})
	return r
}

func (r *rig) snapshot(list []resource.Resource) *resource.Snapshot {
	r.t.Helper()
	snap, err := resource.NewSnapshot(1, list)
	if err != nil {
		r.t.Fatal(err)
	}
	return snap
}

func (r *rig) apply(queue *admission.Queue, list []resource.Resource) {
	r.t.Helper()
	snap := r.snapshot(list)
	r.config.snap.Store(snap)
	if err := queue.ApplyConfig(dispatch.AdmissionConfig(snap)); err != nil {
		r.t.Fatal(err)
	}
	r.pool.ApplyConfig(snap, func(string) bool { return true })
}

// bill flushes the ledger and returns the number of billed requests and their cost.
func (r *rig) bill() ledger.Row {
	r.t.Helper()
	if err := r.ledger.Flush(context.Background()); err != nil {
		r.t.Fatal(err)
	}
	now := time.Now()
	rows, err := ledger.Read(context.Background(), r.kv, now.Add(-time.Hour), now.Add(time.Hour))
	if err != nil {
		r.t.Fatal(err)
	}
	sum := ledger.Sum(rows, func(ledger.Row) ledger.Row { return ledger.Row{} })
	if len(sum) == 0 {
		return ledger.Row{}
	}
	return sum[0]
}

func chat(model, text string) api.ChatRequest {
	return api.ChatRequest{Model: model, Messages: []api.Message{{Role: "user", Content: text}}}
}
