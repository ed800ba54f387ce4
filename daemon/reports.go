package daemon

import (
	"time"

	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/membership"
)

const (
	// maxReports bounds the reports that wait for an allocator.
	maxReports = 4096
	// allocatorMemory is the time for which an allocator counts after it was
	// last heard of: the lease time of the role.
	allocatorMemory = 10 * time.Second
)

// allocatorSignal is what the holder of the allocator role tells the others.
type allocatorSignal struct {
	Fence int64 `json:"f"`
}

// registerAllocator spreads the fencing number of the role's holder.
func (s *signalService) registerAllocator() {
	signal(s, "allocator", func() (allocatorSignal, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return allocatorSignal{s.ownFence}, s.ownFence > 0
	}, func(_ membership.Member, v allocatorSignal) error {
		s.heardAllocator(v.Fence)
		return nil
	})
}

// heardAllocator notes a sign of life of the role's holder.
func (s *signalService) heardAllocator(fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if fence >= s.fence {
		s.fence, s.fenceAt = fence, s.opts.Clock.Now()
	}
}

// setOwnFence sets the fencing number while this host holds the role, 0 otherwise.
func (s *signalService) setOwnFence(fence int64) {
	s.mu.Lock()
	s.ownFence = fence
	s.mu.Unlock()
	if fence > 0 {
		s.heardAllocator(fence)
	}
}

// allocatorFence returns the number to which this host gives up units: that of
// the role's holder, or this host's own while no holder is heard of.
func (s *signalService) allocatorFence() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fence > 0 && s.opts.Clock.Since(s.fenceAt) < allocatorMemory {
		return s.fence
	}
	return s.lenderFence()
}

func (s *signalService) lenderFence() int64 {
	self := s.membership.Self()
	return allowance.HostFence(self.Host, self.Started)
}

// onReport keeps a report of another host for this host's allocator.
func (s *signalService) onReport(r allowance.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reports) < maxReports {
		s.reports = append(s.reports, r)
	}
}

// takeReports returns what has been reported since the last call, this host's
// own report included.
func (s *signalService) takeReports() []allowance.Report {
	own := s.allowance.Report(s.opts.Clock.Now(), s.allocatorFence())
	s.mu.Lock()
	defer s.mu.Unlock()
	out := append(s.reports, own)
	s.reports = nil
	return out
}

// takeGrant accepts units from an allocator.
func (s *signalService) takeGrant(g allowance.Grant) {
	s.allowance.ApplyGrant(s.opts.Clock.Now(), g)
}
