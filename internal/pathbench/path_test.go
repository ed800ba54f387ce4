package pathbench_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// warmUp is the number of requests sent before a measurement.
const warmUp = 200

// BenchmarkAdded measures the latency that a host adds to a request, with one
// request in flight, relative to an equivalent request sent directly to an
// engine. The two kinds are sent in turn.
// Target: added-p50-ms at most 0.5.
func BenchmarkAdded(b *testing.B) {
	for _, hosts := range []int{1, 3} {
		for _, stream := range []bool{false, true} {
			kind := "plain"
			if stream {
				kind = "stream"
			}
			b.Run(fmt.Sprintf("%s/hosts=%d", kind, hosts), func(b *testing.B) { benchAdded(b, hosts, stream) })
		}
	}
}

func benchAdded(b *testing.B, hosts int, stream bool) {
	r := newDeployment(b, fastEngines(hosts))
	c := newCaller(1)
	ctx := context.Background()
	entry, direct := r.entries[0], r.engines[0].Addr()
	for range warmUp {
		check(b, c.chat(ctx, entry, stream))
		check(b, c.generate(ctx, direct))
	}
	var hostTimes, directTimes []time.Duration
	before := r.cpu(b)
	for b.Loop() {
		start := time.Now()
		check(b, c.chat(ctx, entry, stream))
		hostDone := time.Now()
		check(b, c.generate(ctx, direct))
		hostTimes = append(hostTimes, hostDone.Sub(start))
		directTimes = append(directTimes, time.Since(hostDone))
	}
	cpuUsed := r.cpu(b) - before
	slices.Sort(hostTimes)
	slices.Sort(directTimes)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ms(quantile(hostTimes, 0.5)-quantile(directTimes, 0.5)), "added-p50-ms")
	b.ReportMetric(ms(quantile(hostTimes, 0.95)-quantile(directTimes, 0.95)), "added-p95-ms")
	b.ReportMetric(float64(quantile(hostTimes, 0.5))/float64(quantile(directTimes, 0.5)), "ratio-p50")
	b.ReportMetric(ms(quantile(directTimes, 0.5)), "direct-p50-ms")
	b.ReportMetric(ms(cpuUsed)/float64(len(hostTimes)), "host-cpu-ms/req")
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// quantile returns the q-quantile of sorted values.
func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[int(q*float64(len(sorted)-1))]
}

// loadWorkers is the number of requests in flight under load.
const loadWorkers = 64

// BenchmarkThroughput measures the throughput of one host on
// hostProcs cores. Target: req/s at least 8000.
func BenchmarkThroughput(b *testing.B) {
	for _, hosts := range []int{1, 3} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchThroughput(b, hosts) })
	}
}

func benchThroughput(b *testing.B, hosts int) {
	r := newDeployment(b, fastEngines(hosts))
	c := newCaller(loadWorkers)
	check(b, load(c, r.entries[0], 10*warmUp))
	before := processTime(b, r.procs[0])
	b.ResetTimer()
	start := time.Now()
	check(b, load(c, r.entries[0], b.N))
	elapsed := time.Since(start)
	cpuUsed := processTime(b, r.procs[0]) - before
	b.ReportMetric(float64(b.N)/elapsed.Seconds(), "req/s")
	b.ReportMetric(ms(cpuUsed)/float64(b.N), "host-cpu-ms/req")
	b.ReportMetric(cpuUsed.Seconds()/elapsed.Seconds(), "host-cores")
}

// load sends n plain requests with loadWorkers workers and returns the first error.
func load(c *caller, entry string, n int) error {
	ctx, cancel := context.WithCancelCause(context.Background())
	defer cancel(nil)
	var remaining atomic.Int64
	remaining.Store(int64(n))
	var wg sync.WaitGroup
	for range loadWorkers {
		wg.Go(func() {
			for remaining.Add(-1) >= 0 && ctx.Err() == nil {
				if err := c.chat(ctx, entry, false); err != nil {
					cancel(err)
				}
			}
		})
	}
	wg.Wait()
	return context.Cause(ctx)
}
