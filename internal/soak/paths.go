package soak

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// pathFaults act on the paths between hosts.
var pathFaults = []fault{
	{"path between two hosts silent", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		i := pick(len(s.hosts))
		if len(s.hosts) > 1 {
			j := (i + 1 + pick(len(s.hosts)-1)) % len(s.hosts)
			s.silencePaths(ctx, s.hosts[i], []*Host{s.hosts[j]}, pick, d)
		}
	}},
	{"host silent to all others", func(s *soak, ctx context.Context, pick func(int) int, d time.Duration) {
		i := pick(len(s.hosts))
		others := append(append([]*Host(nil), s.hosts[:i]...), s.hosts[i+1:]...)
		s.silencePaths(ctx, s.hosts[i], others, pick, d)
	}},
}

const (
	// pathStream is the number of the random stream from which pathFaults are drawn.
	pathStream = 12
	// helpTime is the time in which a host that has lost its links to the endpoints finds out,
	// also for streams under way, and others serve for it.
	helpTime = 6 * time.Second
	// noticeTime is the time in which a host notices that connections have lost data.
	noticeTime = 4 * time.Second
)

// silencePaths makes paths from a host silent while others serve for it, because it has lost its
// links to the endpoints. It has them back when its paths fall silent, and some engines drain
// from then on, so that it goes on at other ones.
func (s *soak) silencePaths(ctx context.Context, h *Host, others []*Host, pick func(int) int, d time.Duration) {
	defer s.sendStreamsTo(ctx, h)()
	free := !h.links.ongoing() // no other fault acts on the links
	if free {
		s.setLink(h, platformtest.LinkSilent)
		wait(ctx, helpTime)
	}
	var silent []string
	for _, other := range others {
		silent = append(silent, other.Addresses.IP())
		s.setSilent(other, h.Addresses.IP())
	}
	s.setSilent(h, silent...)
	if free {
		s.setLink(h, platformtest.LinkUp)
	}
	s.log("%s is silent to %d hosts", h.Name, len(others))
	first := pick(len(s.d.Engines))
	draining := func(on bool) {
		for i := range len(s.d.Engines) / 2 {
			s.d.Engines[(first+i)%len(s.d.Engines)].Draining.Store(on)
		}
	}
	draining(true)
	wait(ctx, d/2)
	draining(false)
	for _, other := range append(others, h) {
		s.setSilent(other)
	}
	wait(ctx, noticeTime)
}

// helpedStreams is the number of streams that a host gets at once while others serve for it.
const helpedStreams = 6

// sendStreamsTo sends streams that take seconds to a host until the returned function is called.
// Its directory names other hosts once it has lost its links.
func (s *soak) sendStreamsTo(ctx context.Context, h *Host) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for range helpedStreams {
		n := len(s.helpedLines)
		l := newLine(fmt.Sprintf("h%d", n), []*Host{h}, s.Seed+uint64(n))
		l.paused, l.only = true, h.Addresses.Frontend
		s.helpedLines = append(s.helpedLines, l)
		running.Go(func() { l.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func (s *soak) setLink(h *Host, state platformtest.LinkState) {
	if err := h.SetLink(state); err != nil {
		s.addViolation("link not changed: %v", err)
	}
}

// setSilent makes the paths from a host to hosts at some IP addresses silent, and no others.
func (s *soak) setSilent(h *Host, ips ...string) {
	if err := platformtest.WritePaths(h.paths, ips...); err != nil {
		s.addViolation("paths not changed: %v", err)
	}
}
