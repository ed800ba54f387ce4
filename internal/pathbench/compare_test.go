package pathbench_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"
)

// baselineVariable is the environment variable with the path of a daemon built
// from an earlier version.
const baselineVariable = "PATHBENCH_BASELINE"

// candidate is one version of the daemon under comparison.
type candidate struct {
	deployment *deployment
	latencies  []time.Duration
	cpuBefore  time.Duration
	cpu        time.Duration
}

// BenchmarkCompare sends requests in turn to the current daemon, to the baseline
// and directly to an engine, so that noise of the machine affects all alike. The
// reported ratios are current daemon to baseline.
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
	opts := fastEngines(hosts)
	current := &candidate{deployment: newDeployment(b, opts)}
	opts.binary = baseline
	baselineDaemon := &candidate{deployment: newDeployment(b, opts)}
	candidates := []*candidate{current, baselineDaemon}
	c := newCaller(1)
	ctx := context.Background()
	for _, s := range candidates {
		for range warmUp {
			check(b, c.chat(ctx, s.deployment.entries[0], stream))
		}
		s.cpuBefore = s.deployment.cpu(b)
	}
	var directTimes []time.Duration
	for b.Loop() {
		for _, s := range candidates {
			start := time.Now()
			check(b, c.chat(ctx, s.deployment.entries[0], stream))
			s.latencies = append(s.latencies, time.Since(start))
		}
		start := time.Now()
		check(b, c.generate(ctx, current.deployment.engines[0].Addr()))
		directTimes = append(directTimes, time.Since(start))
	}
	for _, s := range candidates {
		s.cpu = s.deployment.cpu(b) - s.cpuBefore
		slices.Sort(s.latencies)
	}
	slices.Sort(directTimes)
	direct := quantile(directTimes, 0.5)
	added := quantile(current.latencies, 0.5) - direct
	addedBefore := quantile(baselineDaemon.latencies, 0.5) - direct
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ms(added), "added-p50-ms")
	b.ReportMetric(ms(addedBefore), "base-added-p50-ms")
	b.ReportMetric(float64(added)/float64(addedBefore), "added-ratio")
	b.ReportMetric(float64(current.cpu)/float64(baselineDaemon.cpu), "cpu-ratio")
}

// compareRound is the number of requests that each daemon gets per turn under
// load.
const compareRound = 1000

// BenchmarkCompareLoad compares the daemons like BenchmarkCompare, with
// loadWorkers requests in flight. req/s-ratio is the throughput of the current
// daemon relative to the baseline, cpu-ratio its processor time.
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
	opts := fastEngines(hosts)
	current := &candidate{deployment: newDeployment(b, opts)}
	opts.binary = baseline
	baselineDaemon := &candidate{deployment: newDeployment(b, opts)}
	candidates := []*candidate{current, baselineDaemon}
	c := newCaller(loadWorkers)
	for _, s := range candidates {
		check(b, load(c, s.deployment.entries[0], warmUp))
		s.cpuBefore = s.deployment.cpu(b)
	}
	elapsed := make([]time.Duration, len(candidates))
	rounds := 0
	for b.Loop() {
		rounds++
		for i, s := range candidates {
			start := time.Now()
			check(b, load(c, s.deployment.entries[0], compareRound))
			elapsed[i] += time.Since(start)
		}
	}
	for _, s := range candidates {
		s.cpu = s.deployment.cpu(b) - s.cpuBefore
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(rounds*compareRound)/elapsed[0].Seconds(), "req/s")
	b.ReportMetric(float64(elapsed[1])/float64(elapsed[0]), "req/s-ratio")
	b.ReportMetric(float64(current.cpu)/float64(baselineDaemon.cpu), "cpu-ratio")
}
