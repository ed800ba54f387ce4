package soak_test

import (
	"context"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/internal/soak"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 1, "number of seeds, one after the other")
	duration  = flag.Duration("time", 10*time.Second, "duration of fault injection for each seed")
	hosts     = flag.Int("hosts", 5, "number of host processes")
	callers   = flag.Int("callers", 8, "number of callers")
)

// regressions maps seeds that failed before to the cause of the failure.
var regressions = map[uint64]string{
	133: "after the loss of all hosts, a sound prompt part was rejected alone and for good",
}

// maintenanceRegressions is the same for runs with maintenance only. Seeds that are even play
// hosts without retries.
var maintenanceRegressions = map[uint64]string{
	5002: "hosts cut streams in progress when endpoints refused new connections",
}

// TestSoak guards against guarantees that are violated when real processes meet
// consecutive and simultaneous faults: kills, pauses, stops, a store that is
// down, slow, stalled or compacted, and endpoints that fail, lose answers or cut
// streams.
func TestSoak(t *testing.T) {
	runSeeds(t, soak.Options{})
	for seed, cause := range regressions {
		t.Logf("regression seed %d: %s", seed, cause)
		runSeed(context.Background(), t, build(t), seed, soak.Options{})
	}
}

// TestMaintenanceLosesNoCall guards against calls that get no response, and processes that
// end early, late or by a signal, while hosts are stopped, get signals in any order, their
// settings and configuration change, endpoints refuse new connections or leave, and a
// roll-out ends.
func TestMaintenanceLosesNoCall(t *testing.T) {
	runSeeds(t, soak.Options{Maintenance: true})
	for seed, cause := range maintenanceRegressions {
		t.Logf("regression seed %d: %s", seed, cause)
		runSeed(context.Background(), t, build(t), seed, soak.Options{Maintenance: true})
	}
}

// TestUndisturbedHostsFollowChanges guards against hosts that nothing disturbs and that act on a
// change too late, because a host from which they get changes is cut off from the store, paused
// or killed.
func TestUndisturbedHostsFollowChanges(t *testing.T) {
	runSeeds(t, soak.Options{Changes: true})
}

// TestStreamsRunAtOneEndpoint guards against a stream that goes on at another endpoint while the
// one before still works on it, because the path between two hosts is silent and one serves for
// the other.
func TestStreamsRunAtOneEndpoint(t *testing.T) {
	runSeeds(t, soak.Options{Paths: true})
}

// maxReported bounds the violations that are reported one by one.
const maxReported = 25

// runSeeds runs the seeds of the command line with the faults that opts name.
func runSeeds(t *testing.T, opts soak.Options) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	binary := build(t)
	for i := range uint64(*seeds) {
		runSeed(context.Background(), t, binary, *firstSeed+i, opts)
	}
}

func build(t *testing.T) string {
	t.Helper()
	binary, err := soak.Build(context.Background(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return binary
}

func runSeed(ctx context.Context, t *testing.T, binary string, seed uint64, opts soak.Options) {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	opts.Seed, opts.Duration, opts.Hosts, opts.Callers = seed, *duration, *hosts, *callers
	opts.Dir, opts.Binary, opts.Logf = dir, binary, t.Logf
	violations, err := soak.Run(ctx, opts)
	if err != nil {
		t.Fatalf("seed %d: %v; logs in %s", seed, err, dir)
	}
	for _, b := range violations[:min(len(violations), maxReported)] {
		t.Errorf("seed %d: %s", seed, b)
	}
	if len(violations) > 0 {
		t.Errorf("seed %d: %d violations; logs in %s", seed, len(violations), dir)
		return
	}
	_ = os.RemoveAll(dir)
}
