package pathbench_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// baselineVariable names a daemon built from an earlier version.
const baselineVariable = "PATHBENCH_BASELINE"

// subject is one version of the daemon under comparison.
type subject struct {
	rig   *rig
	took  []time.Duration
	start time.Duration
	cpu   time.Duration
}

// BenchmarkCompare sends requests in turns to the current daemon, to the
// baseline and to the stand-in, so that the noise of the machine falls on all.
// The ratios are those of the current daemon to the baseline.
func BenchmarkCompare(b *testing.B) {
	baseline := os.Getenv(baselineVariable)
	if baseline == "" {
		b.Skip("set " + baselineVariable + " to the file of a daemon to compare with")
	}
	for _, hosts := range []int{1, 3} {
		for _, stream := range []bool{false, true} {
			b.Run(fmt.Sprintf("stream=%t/hosts=%d", stream, hosts), func(b *testing.B) { benchCompare(b, baseline, hosts, stream) })
		}
	}
}

func benchCompare(b *testing.B, baseline string, hosts int, stream bool) {
	opts := fast(hosts)
	current := &subject{rig: newRig(b, opts)}
	opts.binary = baseline
	before := &subject{rig: newRig(b, opts)}
	subjects := []*subject{current, before}
	c := newCaller(1)
	ctx := context.Background()
	for _, s := range subjects {
		for range warmUp {
			check(b, c.chat(ctx, s.rig.entries[0], stream))
		}
		s.start = s.rig.cpu(b)
	}
	var straight []time.Duration
	for b.Loop() {
		for _, s := range subjects {
			start := time.Now()
			check(b, c.chat(ctx, s.rig.entries[0], stream))
			s.took = append(s.took, time.Since(start))
		}
		start := time.Now()
		check(b, c.generate(ctx, current.rig.engines[0].Addr()))
		straight = append(straight, time.Since(start))
	}
	for _, s := range subjects {
		s.cpu = s.rig.cpu(b) - s.start
		slices.Sort(s.took)
	}
	slices.Sort(straight)
	direct := quantile(straight, 0.5)
	added := quantile(current.took, 0.5) - direct
	addedBefore := quantile(before.took, 0.5) - direct
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ms(added), "added-p50-ms")
	b.ReportMetric(ms(addedBefore), "base-added-p50-ms")
	b.ReportMetric(float64(added)/float64(addedBefore), "added-ratio")
	b.ReportMetric(float64(current.cpu)/float64(before.cpu), "cpu-ratio")
}

// compareRound is the number of requests of one version's turn under load.
const compareRound = 1000

// BenchmarkCompareLoad does the same with loadWorkers requests under way.
func BenchmarkCompareLoad(b *testing.B) {
	baseline := os.Getenv(baselineVariable)
	if baseline == "" {
		b.Skip("set " + baselineVariable + " to the file of a daemon to compare with")
	}
	for _, hosts := range []int{1, 3} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchCompareLoad(b, baseline, hosts) })
	}
}

func benchCompareLoad(b *testing.B, baseline string, hosts int) {
	opts := fast(hosts)
	current := &subject{rig: newRig(b, opts)}
	opts.binary = baseline
	before := &subject{rig: newRig(b, opts)}
	subjects := []*subject{current, before}
	c := newCaller(loadWorkers)
	for _, s := range subjects {
		check(b, load(c, s.rig.entries[0], warmUp))
		s.start = s.rig.cpu(b)
	}
	elapsed := make([]time.Duration, len(subjects))
	rounds := 0
	for b.Loop() {
		rounds++
		for i, s := range subjects {
			start := time.Now()
			check(b, load(c, s.rig.entries[0], compareRound))
			elapsed[i] += time.Since(start)
		}
	}
	for _, s := range subjects {
		s.cpu = s.rig.cpu(b) - s.start
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(rounds*compareRound)/elapsed[0].Seconds(), "req/s")
	b.ReportMetric(float64(elapsed[1])/float64(elapsed[0]), "req/s-ratio")
	b.ReportMetric(float64(current.cpu)/float64(before.cpu), "cpu-ratio")
}
