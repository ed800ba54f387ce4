package daemon

import (
	"github.com/corianderlever/corianderlever/allowance"
)

// maxReports bounds the reports that wait for the allocator.
const maxReports = 4096

// onReport keeps a report of another host for the allocator, if this host is it.
func (s *signalService) onReport(r allowance.Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Fence > s.fence {
		// The sender has heard of a newer allocator.
		s.fence = r.Fence
	}
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

// allocatorFence returns the highest fencing number of an allocator heard of.
func (s *signalService) allocatorFence() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

func (s *signalService) setFence(fence int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fence = max(s.fence, fence)
}

// takeGrant accepts units from the allocator.
func (s *signalService) takeGrant(g allowance.Grant) {
	s.setFence(g.Fence)
	s.allowance.ApplyGrant(s.opts.Clock.Now(), g)
}
