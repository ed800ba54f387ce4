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
	// headerTimeout bounds the time a caller may take to send its header.
	headerTimeout = 10 * time.Second
	// idleTimeout closes unused connections of callers.
	idleTimeout = time.Minute
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
)

// Provision opens the listeners.
func (s *serverService) Provision(*kernel.Kernel) error {
	set, edge := s.host.opts.Settings, s.host.edge
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", promhttp.HandlerFor(s.host.opts.Registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		tracker *drain.Tracker
		addr    string
		handler http.Handler
	}{
		{s.requests, set.Frontend, edge.Frontend()},
		{s.status, set.Readiness, edge.Readiness()},
		{s.status, set.Directory, edge.Directory()},
		{s.status, set.Metrics, metrics},
	} {
		if err := s.listen(l.tracker, l.addr, s.newServer(l.handler), plainListener); err != nil {
			return err
		}
	}
	server := s.newServer(http.HandlerFunc(s.host.forwarding.serve))
	server.ConnContext = forward.ConnContext
	return s.listen(s.requests, set.Forward, server, func(ln net.Listener) net.Listener { return forward.Listener(ln, set.ClusterKey) })
}

func (s *serverService) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.host.opts.Logger.Handler(), slog.LevelDebug),
	}
}

func plainListener(ln net.Listener) net.Listener { return ln }

// listen opens the listener of a server, with a layer on top; an empty address opens none.
func (s *serverService) listen(tracker *drain.Tracker, addr string, server *http.Server, layer func(net.Listener) net.Listener) error {
	if addr == "" {
		return nil
	}
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "router: listen at %s", addr)
	}
	tracker.Attach(server)
	s.endpoints = append(s.endpoints, endpoint{server: server, ln: layer(tracker.Listener(ln))})
	return nil
}

// Start starts serving.
func (s *serverService) Start(context.Context) error {
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

// statusCloseTime bounds the wait for answers about the state of a host that is stopping.
const statusCloseTime = 50 * time.Millisecond

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
