package balance_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
)

// Size of the large fleet of the benchmarks.
const (
	largeFleetHosts   = 295
	largeFleetEngines = 248
)

// largeFleet returns a chooser of a large fleet whose engines all have some load.
func largeFleet(b *testing.B, summed bool) *balance.EngineChooser {
	b.Helper()
	e := balance.NewEngineChooser(clockwork.NewFakeClock(), "a")
	var specs []balance.EngineSpec
	loads := make(map[string]balance.EngineLoad)
	for i := range largeFleetEngines {
		id := fmt.Sprintf("i-%08x", i)
		specs = append(specs, balance.EngineSpec{ID: id, FailureDomain: string(rune('a' + i%3)), Version: fmt.Sprint("v", i%2), CacheTokens: 100_000})
		loads[id] = balance.EngineLoad{Running: 1 + i%5, BacklogMS: []int64{0, int64(i % 40)}}
	}
	e.SetEngines(specs)
	digest := balance.EncodeLoads(loads, 1<<16)
	if summed {
		if err := e.ObserveSum(balance.LoadSum{Hosts: largeFleetHosts, Digest: digest}, nil, largeFleetHosts); err != nil {
			b.Fatal(err)
		}
		return e
	}
	for i := range 20 { // the hosts whose heartbeats arrive within their time
		if err := e.ObserveDigest(fmt.Sprint("host-", i), digest, largeFleetHosts); err != nil {
			b.Fatal(err)
		}
	}
	return e
}

// BenchmarkChooseLargeFleet measures the choice of an engine in a large fleet, with the load
// summed up by the store readers and with that of heartbeats alone.
func BenchmarkChooseLargeFleet(b *testing.B) {
	for _, load := range []string{"summed", "heartbeats"} {
		for _, excluded := range []int{0, 60} {
			b.Run(fmt.Sprintf("%s/excluded=%d", load, excluded), func(b *testing.B) {
				e := largeFleet(b, load == "summed")
				req := balance.EngineRequest{Model: "m", Priority: 2, Version: "v1"}
				for i := range 3 {
					req.Parts = append(req.Parts, balance.PromptPart{ID: fmt.Sprint("part-", i), Tokens: 1000})
				}
				for i := range excluded {
					req.Exclude = append(req.Exclude, fmt.Sprintf("i-%08x", 4*i))
				}
				b.ReportAllocs()
				for b.Loop() {
					if _, err := e.Choose(req); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}

// BenchmarkMeanBacklogLargeFleet measures the mean backlog of a large fleet.
func BenchmarkMeanBacklogLargeFleet(b *testing.B) {
	for _, load := range []string{"summed", "heartbeats"} {
		b.Run(load, func(b *testing.B) {
			e := largeFleet(b, load == "summed")
			b.ReportAllocs()
			for b.Loop() {
				e.MeanBacklog("v1", 2)
			}
		})
	}
}
