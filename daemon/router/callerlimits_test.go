package router

import (
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/route"
)

// TestOddIdleLimits guards against a configuration with a missing or negative limit, with which
// connections are closed at once or never.
func TestOddIdleLimits(t *testing.T) {
	for limit, want := range map[time.Duration]time.Duration{
		0: defaultIdleTime, -time.Hour: defaultIdleTime, time.Second: time.Second, 24 * time.Hour: 24 * time.Hour,
	} {
		if got := configuredLimits(route.Limits{IdleTimeout: limit}).IdleTime; got != want {
			t.Errorf("limit %v: got %v, want %v", limit, got, want)
		}
	}
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

// TestLimitsBeforeTheFirstConfiguration guards against a host that closes connections by a
// limit of its own until it has a configuration.
func TestLimitsBeforeTheFirstConfiguration(t *testing.T) {
	h := &Host{state: &control.State{}}
	got := h.callerLimits()
	if got.IdleTime != 0 {
		t.Errorf("got %+v", got)
	}
}
