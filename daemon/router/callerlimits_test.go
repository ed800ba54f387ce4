package router

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/route"
)

// TestOddLimitsNeitherShutNorOpenTheHost guards against a configuration with a missing or odd
// limit, with which a host serves no caller or runs out of memory.
func TestOddLimitsNeitherShutNorOpenTheHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SampledFrom([]time.Duration{-24 * time.Hour, -1, 0, time.Second, 24 * time.Hour, 365 * 24 * time.Hour})
		l := route.Limits{
			MaxHeaderBytes: rapid.SampledFrom([]int{-1 << 40, -1, 0, 100, 32 << 10, 1 << 40}).Draw(t, "header bytes"),
			HeaderTimeout:  times.Draw(t, "header time"), IdleTimeout: times.Draw(t, "idle time"),
		}
		got := configuredLimits(l)
		if got.HeaderBytes <= 0 || got.HeaderBytes > maxHeaderBytes || got.HeaderTime <= 0 || got.HeaderTime > maxHeaderTime || got.IdleTime <= 0 {
			t.Errorf("got %+v", got)
		}
		if l.IdleTimeout > 0 && got.IdleTime != l.IdleTimeout {
			t.Errorf("got an idle time of %v, want %v", got.IdleTime, l.IdleTimeout)
		}
		if l.HeaderTimeout == time.Second && got.HeaderTime != time.Second || l.MaxHeaderBytes == 100 && got.HeaderBytes != 100 {
			t.Errorf("got %+v, want the limits of %+v", got, l)
		}
	})
}

// TestConnectionsFitIntoSmallHosts guards against unused connections that fill the memory or
// the descriptors of a host.
func TestConnectionsFitIntoSmallHosts(t *testing.T) {
	const memory, descriptors = 134 << 20, 4100
	n := callerConns(memory, descriptors)
	if n*connBytes > memory/4 || n > descriptors/2 || n < 1000 {
		t.Errorf("got %d connections", n)
	}
	if n := callerConns(memory, 100); n > 50 || n < 1 {
		t.Errorf("got %d connections with 100 descriptors", n)
	}
	if n := callerConns(0, 0); n != defaultCallerConns {
		t.Errorf("got %d connections at a host without limits", n)
	}
}

// TestLimitsBeforeTheFirstConfiguration guards against a host that closes connections, or
// rejects headers, by limits of its own until it has a configuration.
func TestLimitsBeforeTheFirstConfiguration(t *testing.T) {
	h := &Host{state: &control.State{}}
	got := h.callerLimits()
	if got.IdleTime != 0 || got.HeaderTime != maxHeaderTime || got.HeaderBytes != maxHeaderBytes {
		t.Errorf("got %+v", got)
	}
}
