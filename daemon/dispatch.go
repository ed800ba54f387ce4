package daemon

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/rating"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

// dispatchService dispatches requests to endpoints.
type dispatchService struct {
	base
	*dispatch.Dispatcher
	membership *membershipService
	config     *configurationService
	signals    *signalService
	engines    *engine.Client
	pool       *dispatch.EndpointPool
	// newConfig holds the newest snapshot that is not yet applied.
	newConfig chan *resource.Snapshot
}

func (s *dispatchService) Name() string { return serviceDispatch }
func (s *dispatchService) Requires() []string {
	return []string{serviceCerts, serviceMembership, serviceConfiguration, serviceLedger, serviceClaims, serviceSignals}
}

// Provision builds the dispatcher.
func (s *dispatchService) Provision(k *kernel.Kernel) error {
	var (
		certs   *certsService
		ledgers *ledgerService
		claims  *claimsService
	)
	err := errors.Join(
		kernel.Bind(k, serviceMembership, &s.membership),
		kernel.Bind(k, serviceConfiguration, &s.config),
		kernel.Bind(k, serviceSignals, &s.signals),
		kernel.Bind(k, serviceCerts, &certs),
		kernel.Bind(k, serviceLedger, &ledgers),
		kernel.Bind(k, serviceClaims, &claims),
	)
	if err != nil {
		return err
	}
	signer, err := newSigner(s.opts)
	if err != nil {
		return err
	}
	s.newConfig = make(chan *resource.Snapshot, 1)
	s.engines = newEngines(s.opts, certs)
	s.engines.OnLimit = s.signals.permits.Observe
	s.engines.Buffers = limiter.NewHostByteBudget(s.opts.Settings.Limits.MemoryBytes)
	s.pool = dispatch.NewEndpointPool(s.opts.Clock, s.opts.newRand(), s.opts.Settings.FailureDomain, s.signals.setSlots)
	s.signals.registerProbation()
	s.Dispatcher = dispatch.New(dispatch.Options{
		Config: s.config.Store, Engines: s.engines, Buffers: s.engines.Buffers, Signer: signer, Pool: s.pool,
		Chooser: s.signals.chooser, Detector: s.signals.detector, Queue: s.signals.queue,
		Retries: limiter.NewRetryBudget(s.opts.Clock), Crashes: s.signals.crashes, Parts: s.signals.parts, Permits: s.signals.permits, Probation: s.signals,
		Ledger: ledgers.Ledger, Claims: claims, Rater: newRater(s.opts, certs),
		Allowance: &allowanceAdapter{signals: s.signals}, Demand: s.signals.demand,
		Clock: s.opts.Clock, Logger: s.opts.Logger, Registry: s.opts.Registry,
	})
	s.config.Subscribe(s.offerSnapshot)
	return nil
}

func newEngines(opts *Options, certs *certsService) *engine.Client {
	if t := opts.Settings.TLS; t != nil && t.Endpoints {
		return engine.NewTLSClient(certs.transport())
	}
	transport := certs.transport()
	transport.DialContext = opts.DialEndpoint
	return engine.NewClient(transport)
}

// newRater returns nil if no rating service is configured.
func newRater(opts *Options, certs *certsService) dispatch.Rater {
	p := opts.Settings.Platform
	if p.Rating == "" {
		return nil
	}
	hc := &http.Client{Transport: certs.transport(), Timeout: ratingTimeout}
	return rating.New(p.Rating, p.RatingsPerSecond, hc)
}

func newSigner(opts *Options) (*session.Signer, error) {
	var keys []session.Key
	for _, k := range opts.Settings.Sessions.Keys {
		secret, err := k.Secret.Read()
		if err != nil {
			return nil, err
		}
		keys = append(keys, session.Key{ID: k.ID, Secret: secret})
	}
	return session.NewSigner(opts.Clock, opts.Settings.Sessions.TTL.AsDuration(), keys)
}

// ratingTimeout bounds one call to the rating service.
const ratingTimeout = 10 * time.Second

// offerSnapshot queues a snapshot without blocking. It replaces an older one that is
// still queued.
func (s *dispatchService) offerSnapshot(snap *resource.Snapshot) {
	for {
		select {
		case s.newConfig <- snap:
			return
		default:
		}
		select {
		case <-s.newConfig:
		default:
		}
	}
}

// Start applies the configuration and starts following changes to it and polling
// the endpoints.
func (s *dispatchService) Start(context.Context) error {
	s.applyConfig(s.config.Current())
	s.run.Start("configuration users", func(ctx context.Context) error {
		for {
			select {
			case <-ctx.Done():
				return nil
			case snap := <-s.newConfig:
				s.applyConfig(snap)
			}
		}
	})
	s.run.Start("endpoint reports", s.pollEndpoints)
	return nil
}

// Stop waits for the ratings in flight.
func (s *dispatchService) Stop(ctx context.Context) error {
	err := s.run.Stop(ctx)
	s.Close()
	s.engines.CloseIdle()
	return err
}

// applyConfig passes a configuration to all components that depend on it.
func (s *dispatchService) applyConfig(snap *resource.Snapshot) {
	now := s.opts.Clock.Now()
	if err := s.signals.queue.ApplyConfig(dispatch.AdmissionConfig(snap)); err != nil {
		s.opts.Logger.Error("admission configuration rejected", "revision", snap.Revision, "error", err)
	}
	terms := allowance.Terms{
		PeakPrice: snap.Terms.PeakPrice, StandingPeak: snap.Terms.StandingPeak, Allowance: snap.Terms.Allowance,
	}
	if err := s.signals.allowance.SetTerms(now, terms); err != nil {
		s.opts.Logger.Error("allowance terms rejected", "revision", snap.Revision, "error", err)
	}
	s.signals.hasTerms.Store(snap.Terms.PeakPrice > 0)
	s.declareVersions(snap)
	use := s.subset(snap)
	s.pool.ApplyConfig(snap, func(name string) bool { return use[name] })
	s.opts.Logger.Info("configuration in force", "revision", snap.Revision, "resources", len(snap.Resources()))
}

// declareVersions declares each version to the detector, with its pass rate and,
// during a roll-out, the version that it replaces.
func (s *dispatchService) declareVersions(snap *resource.Snapshot) {
	predecessor := make(map[string]string)
	for _, r := range snap.Rollouts {
		if r.State == resource.RolloutRunning || r.State == resource.RolloutHalted {
			predecessor[r.To] = r.From
		}
	}
	for name, v := range snap.Versions {
		if err := s.signals.detector.Declare(name, v.PassRate, predecessor[name]); err != nil {
			s.opts.Logger.Error("version not tested", "version", name, "error", err)
		}
	}
}

// subsetSize bounds the endpoints per version that a host uses, and with them its
// connections and the size of its cache index.
const subsetSize = 64

// subset returns the endpoints that this host uses, chosen per version and service.
func (s *dispatchService) subset(snap *resource.Snapshot) map[string]bool {
	var hosts []string
	for _, m := range s.membership.Members() {
		if m.State.Live() {
			hosts = append(hosts, m.Host)
		}
	}
	slices.Sort(hosts)
	use := make(map[string]bool)
	add := func(names []string) {
		for _, name := range balance.Subset(s.opts.Settings.Host, hosts, names, subsetSize) {
			use[name] = true
		}
	}
	for v := range snap.Versions {
		add(snap.EndpointsForVersion(v))
	}
	for svc := range snap.Services {
		add(snap.EndpointsForService(svc))
	}
	return use
}

const (
	// reportInterval is the time between two polls of an endpoint.
	reportInterval = time.Second
	// reportTimeout bounds one poll.
	reportTimeout = 900 * time.Millisecond
)

// pollEndpoints polls the endpoints for load reports and cache events.
func (s *dispatchService) pollEndpoints(ctx context.Context) error {
	sequence := make(map[string]int64)
	return background.Every(ctx, s.opts.Clock, reportInterval, func() {
		s.pool.Refresh()
		type result struct {
			name   string
			events []engine.CacheEvent
		}
		addresses := s.pool.Addresses()
		results := make(chan result, len(addresses))
		for name, addr := range addresses {
			after := sequence[name]
			go func() { results <- result{name, s.pollEndpoint(ctx, name, addr, after)} }()
		}
		for range addresses {
			r := <-results
			if n := len(r.events); n > 0 {
				sequence[r.name] = r.events[n-1].Sequence
			}
		}
	})
}

// observeContact records whether an endpoint has answered a poll.
func (s *dispatchService) observeContact(name string, answered bool, err error) {
	service, changed := s.pool.ObserveContact(name, answered)
	switch {
	case changed && answered:
		s.opts.Logger.Info("service reachable again", "service", service, "endpoint", name)
	case changed:
		s.opts.Logger.Warn("service not reachable from this host", "service", service, "endpoint", name, "error", err)
	}
}

// pollEndpoint polls one endpoint and returns its cache events after a sequence
// number.
func (s *dispatchService) pollEndpoint(ctx context.Context, name, addr string, after int64) []engine.CacheEvent {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.engines.Load(ctx, addr)
	s.observeContact(name, dispatch.Answered(err), err)
	if err != nil {
		s.opts.Logger.Debug("no load report", "endpoint", name, "error", err)
		return nil
	}
	s.pool.ObserveLoad(name, report)
	if len(report.Versions) == 0 {
		return nil
	}
	events, err := s.engines.CacheEvents(ctx, addr, after)
	if err != nil {
		s.opts.Logger.Debug("no cache events", "endpoint", name, "error", err)
		return nil
	}
	s.pool.ObserveCache(name, events)
	return events
}
