package router

import (
	"cmp"
	"syscall"
	"time"

	"github.com/corianderlever/corianderlever/internal/drain"
	"github.com/corianderlever/corianderlever/route"
)

const (
	// defaultHeaderTime, defaultIdleTime and defaultHeaderBytes apply if the configuration
	// states no limit.
	defaultHeaderTime  = 10 * time.Second
	defaultIdleTime    = time.Minute
	defaultHeaderBytes = 64 << 10
	// maxHeaderTime and maxHeaderBytes bound what the configuration may allow, because a
	// connection with an incomplete header holds memory and is not closed when connections
	// run short. They also apply until the first configuration arrives.
	maxHeaderTime  = time.Minute
	maxHeaderBytes = 1 << 20
)

// callerLimits returns the limits of callers' connections that are in force.
func (h *Host) callerLimits() drain.Limits {
	t, ok := h.state.Table()
	if !ok {
		return drain.Limits{HeaderBytes: maxHeaderBytes, HeaderTime: maxHeaderTime, Connections: h.maxCallerConns}
	}
	out := configuredLimits(t.Limits())
	out.Connections = h.maxCallerConns
	return out
}

// configuredLimits returns the limits that a configuration states. The time of unused
// connections is not bounded, because these are closed when connections run short.
func configuredLimits(l route.Limits) drain.Limits {
	return drain.Limits{
		HeaderBytes: min(cmp.Or(max(0, l.MaxHeaderBytes), defaultHeaderBytes), maxHeaderBytes),
		HeaderTime:  min(cmp.Or(max(0, l.HeaderTimeout), defaultHeaderTime), maxHeaderTime),
		IdleTime:    cmp.Or(max(0, l.IdleTimeout), defaultIdleTime),
	}
}

const (
	// connBytes is the memory of one connection, with its goroutine and buffers.
	connBytes = 24 << 10
	// connMemoryShare is the part of a host's memory for callers' connections.
	connMemoryShare = 0.25
	// connDescriptorShare is the part of a process's descriptors for callers' connections.
	connDescriptorShare = 0.5
	// defaultCallerConns applies if the limits of the host are not known.
	defaultCallerConns = 4000
)

// callerConns returns the number of connections above which unused ones are closed, at a host
// with limits on its memory and its descriptors; zero for those that are unknown.
func callerConns(memoryBytes int64, descriptors uint64) int {
	limit := float64(defaultCallerConns)
	if memoryBytes > 0 {
		limit = connMemoryShare * float64(memoryBytes) / connBytes
	}
	if descriptors > 0 {
		limit = min(limit, connDescriptorShare*float64(descriptors))
	}
	return max(1, int(limit))
}

// descriptorLimit returns the number of descriptors that the process may open; zero if it is
// unknown.
func descriptorLimit() uint64 {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return 0
	}
	return l.Cur
}
