package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/forward"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/kernel"
)

// controlService follows the key-value service and coordinates roll-outs.
type controlService struct {
	host *Host
	run  *background.Group
}

func (s *controlService) Name() string       { return serviceControl }
func (s *controlService) Requires() []string { return []string{servicePeers} }

// Start starts following the store and coordinating roll-outs.
func (s *controlService) Start(context.Context) error {
	h := s.host
	c := &control.Coordinator{Rollouts: h.rollouts, Store: h.opts.Store, Codec: h.opts.Records, IsCoordinator: h.isCoordinator, Announce: h.announceStep}
	s.run.Start("feed", h.follower.Run)
	s.run.Start("coordinator", c.Run)
	s.run.Start("loads", h.exchangeLoads)
	s.run.Start("crash record", h.crashRecord.Run)
	return nil
}

// Stop stops both.
func (s *controlService) Stop(ctx context.Context) error { return s.run.Stop(ctx) }

// serverService serves the HTTP listeners of the host.
type serverService struct {
	host      *Host
	run       *background.Group
	running   atomic.Int64 // requests in flight
	servers   []*http.Server
	listeners []net.Listener
}

var _ kernel.Provisioner = (*serverService)(nil)

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
	for addr, handler := range map[string]http.Handler{
		set.Frontend: s.countRequests(edge.Frontend()), set.Readiness: edge.Readiness(), set.Directory: edge.Directory(), set.Metrics: metrics,
	} {
		if err := s.listen(addr, handler); err != nil {
			return err
		}
	}
	if err := s.listen(set.Forward, s.countRequests(http.HandlerFunc(s.host.forwarding.serve))); err != nil || set.Forward == "" {
		return err
	}
	last := len(s.servers) - 1
	s.listeners[last] = forward.Listener(s.listeners[last], set.ClusterKey)
	s.servers[last].ConnContext = forward.ConnContext
	return nil
}

// listen opens the listener of a handler; an empty address opens none.
func (s *serverService) listen(addr string, handler http.Handler) error {
	if addr == "" {
		return nil
	}
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: time.Second, Count: 3}}
	ln, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return errors.Wrapf(err, "router: listen at %s", addr)
	}
	s.listeners = append(s.listeners, ln)
	s.servers = append(s.servers, &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(s.host.opts.Logger.Handler(), slog.LevelDebug),
	})
	return nil
}

// countRequests tracks the number of requests in flight.
func (s *serverService) countRequests(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.running.Add(1)
		defer s.running.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// Start starts serving.
func (s *serverService) Start(context.Context) error {
	for i, server := range s.servers {
		s.run.Start(serviceServers, func(context.Context) error {
			if err := server.Serve(s.listeners[i]); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return nil
}

// closeTimeout bounds the wait for idle connections to close.
const closeTimeout = 100 * time.Millisecond

// Stop closes the listeners and all connections.
func (s *serverService) Stop(ctx context.Context) error {
	idle, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	var err error
	for _, server := range s.servers {
		if server.Shutdown(idle) != nil {
			err = errors.CombineErrors(err, server.Close())
		}
	}
	return errors.CombineErrors(err, s.run.Stop(ctx))
}
