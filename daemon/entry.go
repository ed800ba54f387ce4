package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/entry"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/kernel"
)

// ErrDrainTimeout reports that requests in flight were cut at shutdown.
var ErrDrainTimeout = errors.New("daemon: drain timeout passed")

const (
	// headerTimeout bounds the time a caller may take to send its headers.
	headerTimeout = 10 * time.Second
	// idleTimeout closes unused connections of callers.
	idleTimeout = 2 * time.Minute
	// readyTimeout bounds the wait for the first configuration at start-up.
	readyTimeout = 5 * time.Second
	// listTTLMargin covers the time that an entry list takes to reach its caller.
	listTTLMargin = 500 * time.Millisecond
	// finalAnswerTime is the time that requests have to settle their claims and bills and to
	// answer once they are ended. A change of a claim takes at most a second.
	finalAnswerTime = 4 * time.Second
)

// entryService answers callers and operators.
type entryService struct {
	base
	membership *membershipService
	config     *configurationService
	tracker    *drain.Tracker
	server     *http.Server
	ln         net.Listener
	leaving    atomic.Bool
	// handlers is held for reading by each request that is served.
	handlers sync.RWMutex
}

func (s *entryService) Name() string { return serviceEntry }
func (s *entryService) Requires() []string {
	return []string{serviceCerts, serviceMembership, serviceConfiguration, serviceLedger, serviceDispatch, serviceRoles}
}

// Provision builds the handlers and opens the listener.
func (s *entryService) Provision(k *kernel.Kernel) error {
	var (
		d       *dispatchService
		certs   *certsService
		ledgers *ledgerService
	)
	err := errors.Join(
		kernel.Bind(k, serviceMembership, &s.membership),
		kernel.Bind(k, serviceConfiguration, &s.config),
		kernel.Bind(k, serviceDispatch, &d),
		kernel.Bind(k, serviceCerts, &certs),
		kernel.Bind(k, serviceLedger, &ledgers),
	)
	if err != nil {
		return err
	}
	backend := newAdminBackend(s.config, s.membership, ledgers, d)
	f := newForwarder(s.opts, s.membership.Members, certs)
	signal(d.signals, "lost", func() ([]string, bool) { return d.pool.LostServices(), true }, f.observeLost)
	s.tracker = drain.New(drain.Options{Clock: s.opts.Clock, Logger: s.opts.Logger})
	s.server = &http.Server{
		Handler:           s.handler(d, backend, f),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: slog.NewLogLogger(s.opts.Logger.Handler(), slog.LevelWarn),
	}
	s.tracker.Attach(s.server)
	ln, err := net.Listen("tcp", s.opts.Settings.Listen.Entry)
	if err != nil {
		return errors.Wrap(err, "daemon: listen for callers")
	}
	s.ln = s.tracker.Listener(ln)
	if certs.reloader != nil {
		s.ln = tls.NewListener(s.ln, certs.reloader.ServerConfig(false))
	}
	return nil
}

func (s *entryService) handler(d *dispatchService, backend admin.Backend, f *forwarder) http.Handler {
	l := s.opts.Settings.Limits
	mux := http.NewServeMux()
	mux.Handle("/", entry.New(entry.Options{
		Dispatcher: d.Dispatcher, Config: s.config.Store, Entries: s.entries, Ready: s.ready, Forwarder: f,
		MaxBodyBytes: l.MaxBodyBytes, BodyTimeout: l.BodyTimeout.AsDuration(), WriteTimeout: l.WriteTimeout.AsDuration(),
		Logger: s.opts.Logger,
	}))
	mux.Handle("/admin/", admin.NewHandler(backend, s.opts.Settings.OperatorKeyHashes, s.opts.Logger))
	mux.Handle("GET /metrics", promhttp.HandlerFor(s.opts.Registry, promhttp.HandlerOpts{}))
	return s.whileServing(mux)
}

// whileServing rejects the requests that come once the other services stop.
func (s *entryService) whileServing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.handlers.TryRLock() {
			api.WriteError(w, &api.Error{
				Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, Outcome: api.OutcomeNotRun, Message: "this host is stopping",
			})
			return
		}
		defer s.handlers.RUnlock()
		next.ServeHTTP(w, r)
	})
}

func (s *entryService) ready() bool { return !s.leaving.Load() && s.config.Fresh() }

// entries answers GET /v1/entries. A host that is not ready leaves itself out
// unless it is the only one.
func (s *entryService) entries() api.EntriesResponse {
	list := s.membership.Entries(s.opts.Clock.Now())
	out := api.EntriesResponse{TTLMS: list.TTLMS, Entries: []api.EntryAddress{}}
	for _, e := range list.Entries {
		if e.Host == s.opts.Settings.Host && len(list.Entries) > 1 && !s.ready() {
			continue
		}
		out.Entries = append(out.Entries, api.EntryAddress{Address: e.Address, FailureDomain: e.FailureDomain, Weight: float64(e.Weight)})
	}
	return out
}

// Start waits up to readyTimeout for a configuration and then starts answering
// callers. A host without a configuration rejects requests until it has one.
func (s *entryService) Start(ctx context.Context) error {
	select {
	case <-s.config.Ready():
	case <-s.opts.Clock.After(readyTimeout):
		s.opts.Logger.Warn("started without a confirmed configuration")
	case <-ctx.Done():
		s.membership.Leave() // other hosts may have listed this one already
		return errors.CombineErrors(errors.Wrap(ctx.Err(), "daemon: wait for configuration"), s.ln.Close())
	}
	s.run.Start(serviceEntry, func(context.Context) error {
		if err := s.server.Serve(s.ln); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// Stop removes the host from the entry list, serves until the lists already given
// out have expired, and waits for the requests in flight. Those that are left at the end
// of the drain get a final answer. No request is served when Stop has returned in time.
func (s *entryService) Stop(ctx context.Context) error {
	s.leaving.Store(true)
	s.tracker.Drain()
	s.membership.Leave()
	wait := s.opts.Settings.Drain.EntryTTL.AsDuration() + listTTLMargin
	select {
	case <-s.opts.Clock.After(wait):
	case <-ctx.Done():
	}
	err := s.drain(ctx)
	return errors.CombineErrors(errors.CombineErrors(err, s.awaitHandlers(ctx)), s.run.Stop(ctx))
}

// drain waits for the answers of the requests in flight and ends those that take longer than
// the drain timeout.
func (s *entryService) drain(ctx context.Context) error {
	timeout := s.opts.Settings.Drain.Timeout.AsDuration()
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, timeout)
	defer cancel()
	closed := s.tracker.Stop(ctx, finalAnswerTime)
	if ctx.Err() == nil {
		return nil
	}
	s.opts.Logger.Error("drain timeout passed", "timeout", timeout, "closed_without_answer", closed)
	return ErrDrainTimeout
}

// awaitHandlers waits until no request is served. The services that a request uses stop
// afterwards.
func (s *entryService) awaitHandlers(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		s.handlers.Lock() // for good: a stopped host serves nothing
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "daemon: wait for the requests that are served")
	}
}

func (s *entryService) address() string { return s.ln.Addr().String() }
