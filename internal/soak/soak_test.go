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
	duration  = flag.Duration("time", 10*time.Second, "time of disturbances for each seed")
)

// regressions are the seeds that once failed, with the cause.
var regressions = map[uint64]string{}

const (
	soakHosts   = 5
	soakCallers = 8
)

// TestSoak guards against promises that break when real processes meet faults
// in series and at the same time: kills, pauses, stops, a store that is down,
// slow, silent or forgetful, and endpoints that fail, lose or cut answers.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx := context.Background()
	binary, err := soak.Build(ctx, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for i := range uint64(*seeds) {
		play(ctx, t, binary, *firstSeed+i)
	}
	for seed, cause := range regressions {
		t.Logf("regression seed %d: %s", seed, cause)
		play(ctx, t, binary, seed)
	}
}

func play(ctx context.Context, t *testing.T, binary string, seed uint64) {
	t.Helper()
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		t.Fatal(err)
	}
	bad, err := soak.Run(ctx, soak.Options{
		Seed: seed, Duration: *duration, Hosts: soakHosts, Callers: soakCallers, Dir: dir, Binary: binary, Logf: t.Logf,
	})
	if err != nil {
		t.Fatalf("seed %d: %v; logs in %s", seed, err, dir)
	}
	for _, b := range bad[:min(len(bad), 10)] {
		t.Errorf("seed %d: %s", seed, b)
	}
	if len(bad) > 0 {
		t.Errorf("seed %d: %d promises broken; logs in %s", seed, len(bad), dir)
		return
	}
	_ = os.RemoveAll(dir)
}
