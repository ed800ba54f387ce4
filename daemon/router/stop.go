package router

import (
	"context"
	"sync"
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
	// defaultGracePeriod applies if the settings name none.
	defaultGracePeriod = 5 * time.Second
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
	// requests ends when the requests in flight must be cancelled.
	requests context.Context
	cancel   context.CancelFunc

	mu    sync.Mutex
	grace time.Duration
	timer clockwork.Timer // of the end of requests
}

func newShutdown(clock clockwork.Clock, grace time.Duration) *shutdown {
	s := &shutdown{clock: clock, began: clock.Now(), grace: grace}
	if grace <= 0 {
		s.grace = defaultGracePeriod
	}
	s.requests, s.cancel = context.WithCancel(context.Background())
	s.timer = clock.AfterFunc(s.untilCut(), s.cancel)
	return s
}

// shorten follows a grace period that changes. It cannot be extended, because the end of the
// process may be set.
func (s *shutdown) shorten(grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if grace <= 0 || grace >= s.grace {
		return
	}
	s.grace = grace
	s.timer.Reset(max(0, s.left()))
}

// untilCut is the time left until the requests in flight are cancelled.
func (s *shutdown) untilCut() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left()
}

// left is untilCut with the lock held.
func (s *shutdown) left() time.Duration {
	return s.grace - stopMargin(s.grace) - s.clock.Since(s.began)
}

// end is the end of the grace period.
func (s *shutdown) end() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.began.Add(s.grace)
}

// answerTime is the time in which the handlers of cancelled requests send their answers.
func (s *shutdown) answerTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return stopMargin(s.grace) / answerShare
}

// stopMargin is the time between the cancellation of the requests in flight and the end of
// the grace period.
func stopMargin(grace time.Duration) time.Duration { return min(maxStopMargin, grace/stopMarginShare) }

// Run starts the host, waits for ctx to end, and stops it.
func (h *Host) Run(ctx context.Context) error {
	log := h.opts.Logger
	if err := h.kernel.Start(ctx); err != nil {
		return errors.Wrap(err, "router: start")
	}
	log.Info("started", "host", h.opts.Settings.Host, "domain", h.opts.Settings.FailureDomain, "frontend", h.opts.Settings.Frontend)
	<-ctx.Done()
	log.Info("stopping", "running", h.servers.requests.InFlight())
	s := h.beginStop()
	defer s.cancel()
	h.drain(s)
	stopCtx, cancel := clockwork.WithDeadline(context.WithoutCancel(ctx), h.opts.Clock, s.end())
	defer cancel()
	err := h.kernel.Stop(stopCtx)
	h.relay.FlushLog()
	log.Info("stopped", "error", err, "took_ms", h.opts.Clock.Since(s.began).Milliseconds())
	return err
}

// beginStop begins the graceful shutdown.
func (h *Host) beginStop() *shutdown {
	s := newShutdown(h.opts.Clock, h.bounds.Load().GracePeriod)
	h.stop.Store(s)
	s.shorten(h.bounds.Load().GracePeriod) // a change that did not see the stop
	return s
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
