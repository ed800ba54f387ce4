package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// listTTL is how long callers may cache a list of addresses.
	listTTL = time.Second
	// listTTLFactor is how many times longer than allowed some callers cache the
	// list.
	listTTLFactor = 3
	// leavePropagation is the time in which the other hosts learn that a host is
	// stopping.
	leavePropagation = 300 * time.Millisecond
	// acceptAllTime is the time after the stop signal in which all requests are accepted.
	// Some callers still have an address list from before.
	acceptAllTime = 2900 * time.Millisecond
	// maxStopMargin and stopMarginShare bound the part of the grace period that remains
	// when the requests in flight are cancelled.
	maxStopMargin   = 600 * time.Millisecond
	stopMarginShare = 8
	// answerShare is the part of the margin in which the handlers of cancelled requests
	// send their answers.
	answerShare = 2
)

// shutdown is the course of one graceful shutdown.
type shutdown struct {
	clock clockwork.Clock
	began time.Time
	grace time.Duration
	// requests ends when the requests in flight must be cancelled.
	requests context.Context
	cancel   context.CancelFunc
}

func newShutdown(clock clockwork.Clock, grace time.Duration) *shutdown {
	s := &shutdown{clock: clock, began: clock.Now(), grace: grace}
	s.requests, s.cancel = clockwork.WithDeadline(context.Background(), clock, s.began.Add(s.grace-s.margin()))
	return s
}

// margin is the time between the cancellation of the requests in flight and the end of the
// grace period.
func (s *shutdown) margin() time.Duration { return min(maxStopMargin, s.grace/stopMarginShare) }

// answerTime is the time in which the handlers of cancelled requests send their answers.
func (s *shutdown) answerTime() time.Duration { return s.margin() / answerShare }

// untilCut is the time left until the requests in flight are cancelled.
func (s *shutdown) untilCut() time.Duration {
	return s.grace - s.margin() - s.clock.Since(s.began)
}

// Run starts the host, waits for ctx to end, and stops it.
func (h *Host) Run(ctx context.Context) error {
	log := h.opts.Logger
	if err := h.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "router: start")
	}
	log.Info("started", "host", h.opts.Settings.Host, "domain", h.opts.Settings.FailureDomain, "frontend", h.opts.Settings.Frontend)
	<-ctx.Done()
	log.Info("stopping", "running", h.servers.requests.InFlight())
	s := newShutdown(h.opts.Clock, h.bounds.Load().GracePeriod)
	defer s.cancel()
	h.stop.Store(s)
	h.drain(s)
	stopCtx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), h.opts.Clock, s.began.Add(s.grace))
	defer cancel()
	err := h.kernel.Stop(stopCtx)
	log.Info("stopped", "error", err, "took_ms", h.opts.Clock.Since(s.began).Milliseconds())
	return err
}

// drain removes the host from the address lists, serves until the lists already
// given out have expired, and waits for the requests in flight.
func (h *Host) drain(s *shutdown) {
	h.servers.requests.Drain()
	h.peers.members.Leave()
	select {
	case <-s.requests.Done():
	case <-h.opts.Clock.After(leavePropagation + listTTLFactor*h.listTTL()):
	}
	h.servers.requests.Refuse()
	// An error means that requests are left. The service of the servers ends them.
	_ = h.servers.requests.WaitIdle(s.requests)
}

// listTTL returns the time for which callers may cache a list of addresses.
func (h *Host) listTTL() time.Duration {
	if limit := h.bounds.Load().MaxListTTL; limit > 0 {
		return min(listTTL, limit)
	}
	return listTTL
}
