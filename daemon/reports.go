package daemon

import (
	"time"

	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/membership"
)

const (
	// maxReports bounds the reports queued for the allocator.
	maxReports = 4096
	// allocatorTTL is the time for which an allocator counts as alive after its last
	// signal. It equals the lease time of the role.
	allocatorTTL = 10 * time.Second
)

// allocatorSignal is the signal that the holder of the allocator role broadcasts.
type allocatorSignal struct {
	Fence int64 `json:"f"`
}

// registerAllocator registers the signal that carries the holder's fencing token.
func (s *signalService) registerAllocator() {
	signal(s, "allocator", func() (allocatorSignal, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return allocatorSignal{s.ownFence}, s.ownFence > 0
	}, func(_ membership.Member, v allocatorSignal) error {
		s.observeAllocator(v.Fence)
		return nil
	})
}

// observeAllocator records a signal of the role's holder. It ignores signals with
// a lower fencing token than the last one.
func (s *signalService) observeAllocator(fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence >= s.fence {
		s.fence, s.fenceAt = fence, s.opts.Clock.Now()
	}
}

// setOwnFence sets this host's fencing token, or 0 if it does not hold the role.
func (s *signalService) setOwnFence(fence int64) {
	s.mu.Lock()
	s.ownFence = fence
	s.mu.Unlock()
	if fence > 0 {
		s.observeAllocator(fence)
	}
}

// allocatorFence returns the fencing token under which this host returns unused
// units. It is the token of the role's holder, or this host's own negative token
// while no holder is known.
func (s *signalService) allocatorFence() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence > 0 && s.opts.Clock.Since(s.fenceAt) < allocatorTTL {
		return s.fence
	}
	return s.hostFence()
}

func (s *signalService) hostFence() int64 {
	self := s.membership.Self()
	return allowance.HostFence(self.Host, self.Started)
}

// addReport queues a report of another host for this host's allocator.
func (s *signalService) addReport(r allowance.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) < maxReports {
		s.reports = append(s.reports, r)
	}
}

// takeReports returns and clears the queued reports, and adds this host's own
// report.
func (s *signalService) takeReports() []allowance.Report {
	own := s.allowance.Report(s.opts.Clock.Now(), s.allocatorFence())
	s.mu.Lock()
	defer s.mu.Unlock()
	out := append(s.reports, own)
	s.reports = nil
	return out
}

// applyGrant passes units granted by an allocator to the controller.
func (s *signalService) applyGrant(g allowance.Grant) {
	s.allowance.ApplyGrant(s.opts.Clock.Now(), g)
}
