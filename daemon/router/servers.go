package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/kernel"
)

// serverService serves the HTTP listeners of the host.
type serverService struct {
	host *Host
	run  *background.Group
	// requests follows the connections of callers and of hosts that forward requests. The
	// others are those of status, which answers until the host has no more requests.
	requests, status *drain.Tracker
	endpoints        []endpoint
}

// endpoint is a listener with its server.
type endpoint struct {
	server *http.Server
	ln     net.Listener
}

var _ kernel.Provisioner = (*serverService)(nil)

func newServerService(h *Host) *serverService {
	opts := drain.Options{Clock: h.opts.Clock, Logger: h.opts.Logger}
	return &serverService{host: h, run: background.NewGroup(h.opts.Logger), requests: drain.New(opts), status: drain.New(opts)}
}

func (s *serverService) Name() string       { return serviceServers }
func (s *serverService) Requires() []string { return []string{serviceControl} }

const (
	// headerTimeout bounds the time that another host or a monitor may take to send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes their unused connections.
	idleTimeout = time.Minute
)

// Provision opens the listeners.
func (s *serverService) Provision(*kernel.Kernel) error {
	set, edge := s.host.opts.Settings, s.host.edge
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(s.host.opts.Registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		tracker *drain.Tracker
		addr    string
		server  *http.Server
		follow  func(net.Listener) net.Listener
	}{
		{s.requests, set.Frontend, s.newServer(edge.Frontend()), s.followCallers(s.requests)},
		{s.status, set.Directory, s.newServer(edge.Directory()), s.followCallers(s.status)},
		{s.status, set.Readiness, withTimeouts(s.newServer(edge.Readiness())), s.status.Listener},
		{s.status, set.Metrics, withTimeouts(s.newServer(metrics)), s.status.Listener},
	} {
		if err := s.listen(l.tracker, l.addr, l.server, l.follow); err != nil {
			return err
		}
	}
	server := withTimeouts(s.newServer(http.HandlerFunc(s.host.forwarding.serve)))
	server.ConnContext = forward.ConnContext
	return s.listen(s.requests, set.Forward, server, func(ln net.Listener) net.Listener {
		return forward.Listener(s.requests.Listener(ln), set.ClusterKey)
	})
}

// newServer returns a server without time limits.
func (s *serverService) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.host.opts.Logger.Handler(), slog.LevelWarn),
	}
}

// withTimeouts gives a server the limits of programs that are not callers.
func withTimeouts(server *http.Server) *http.Server {
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = headerTimeout, idleTimeout, defaultHeaderBytes
	return server
}

// followCallers returns the listener of callers, whose limits follow the configuration.
func (s *serverService) followCallers(tracker *drain.Tracker) func(net.Listener) net.Listener {
	return func(ln net.Listener) net.Listener { return tracker.LimitedListener(ln, s.host.callerLimits) }
}

// listen opens the listener of a server, which follow passes on to a tracker; an empty address
// opens none.
func (s *serverService) listen(tracker *drain.Tracker, addr string, server *http.Server, follow func(net.Listener) net.Listener) error {
	if addr == "" {
		return nil
	}
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "router: listen at %s", addr)
	}
	tracker.Attach(server)
	s.endpoints = append(s.endpoints, endpoint{server: server, ln: follow(ln)})
	return nil
}

// Start starts serving.
func (s *serverService) Start(context.Context) error {
	s.run.Start("limits of requests", s.requests.EnforceLimits)
	s.run.Start("limits of lookups", s.status.EnforceLimits)
	for _, e := range s.endpoints {
		s.run.Start(serviceServers, func(context.Context) error {
			if err := e.server.Serve(e.ln); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return nil
}

// statusCloseTime bounds the wait for answers about the state of a host that is stopping. A
// host with a small share of a processor may not run for most of it.
const statusCloseTime = 150 * time.Millisecond

// Stop ends the requests that are left, and then the servers that tell the host's state.
func (s *serverService) Stop(ctx context.Context) error {
	requests, answerTime := ctx, time.Duration(0)
	if stop := s.host.stop.Load(); stop != nil {
		requests, answerTime = stop.requests, stop.answerTime()
	}
	s.requests.Stop(requests, answerTime)
	status, cancel := context.WithTimeout(ctx, statusCloseTime)
	defer cancel()
	s.status.Stop(status, 0)
	return s.run.Stop(ctx)
}
