package main_test

import (
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"

	"github.com/corianderlever/corianderlever/internal/loopback"
)

// TestStopDuringTheStartOfAnEntryHostIsClean guards against a crash that a supervisor counts
// because SIGTERM came while an entry host waited for its configuration.
func TestStopDuringTheStartOfAnEntryHostIsClean(t *testing.T) {
	asked := make(chan struct{}, 1)
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(store.Close)
	settings := newEntrySettings(t, store.URL)
	cmd, log := command(t, nil, "-config", settings.path)
	p := start(t, cmd, log)
	p.wait(t, "asking for its configuration", func() bool { return len(asked) > 0 })
	p.signal(t, syscall.SIGTERM)
	p.waitCleanExit(t)
}

// TestStopDuringTheStartOfTheDemonstrationIsClean guards against an error message for a user
// who interrupts the demonstration while it starts.
func TestStopDuringTheStartOfTheDemonstrationIsClean(t *testing.T) {
	addresses, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := command(t, nil, "demo", "-addr", addresses[0])
	p := start(t, cmd, log)
	p.wait(t, "starting", func() bool { return p.output(t) != "" })
	p.signal(t, syscall.SIGINT)
	p.waitCleanExit(t)
}
