package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"runtime"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/balance"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
)

// SubsetSize is the number of endpoints of a version that the daemon selects for
// one host.
const SubsetSize = 64

func balanceEndpoints(n int) []balance.Endpoint {
	var out []balance.Endpoint
	for i := range n {
		out = append(out, balance.Endpoint{ID: fmt.Sprintf("engine-%05d", i), FailureDomain: fmt.Sprintf("domain-%02d", i%Domains),
			Versions: []string{fmt.Sprint(i % versions), fmt.Sprint((i + 1) % versions)}, Concurrency: 16})
	}
	return out
}

func newPicker() *balance.Picker {
	return balance.NewPicker(clockwork.NewRealClock(), rand.New(rand.NewPCG(5, 5)), balance.DefaultConfig("domain-00"))
}

// PickerMemory returns the heap size of a picker with n endpoints, and the heap
// that the given number of known prefix blocks adds, both in bytes.
func PickerMemory(n, blocks int) (endpoints, prefixes float64) {
	before := heap()
	p := newPicker()
	p.SetEndpoints(balanceEndpoints(n))
	endpoints = heap() - before
	for i := range blocks {
		p.Started("engine-00000", []uint64{uint64(i) * 0x9e3779b97f4a7c15})
	}
	prefixes = heap() - before - endpoints
	runtime.KeepAlive(p)
	return endpoints, prefixes
}

// SubsetCost returns the processor time to choose the endpoint subset of a
// version with n endpoints in a fleet of Hosts hosts, and the mean number of
// endpoints chosen.
func SubsetCost(n int) (seconds, chosen float64) {
	const rounds = 5
	hosts, endpoints := make([]string, Hosts), make([]string, n)
	for i := range hosts {
		hosts[i] = fmt.Sprintf("host-%04d", i)
	}
	for i := range endpoints {
		endpoints[i] = fmt.Sprintf("engine-%05d", i)
	}
	cpu := cpuSeconds()
	for i := range rounds {
		chosen += float64(len(balance.Subset(hosts[i], hosts, endpoints, SubsetSize))) / rounds
	}
	return (cpuSeconds() - cpu) / rounds, chosen
}

// ReportCost returns the processor time in seconds to fetch one load report and
// the cache events over HTTP on loopback, including client and server.
func ReportCost(rounds int) (float64, error) {
	e := fakeengine.New(fakeengine.Options{Versions: []string{"model-0-v0"}, Capacity: 16})
	if err := e.Listen("127.0.0.1:0"); err != nil {
		return 0, errors.Wrap(err, "capacity: start engine")
	}
	defer func() { _ = e.Close() }() // no request is in flight
	c := engine.NewClient(&http.Transport{})
	defer c.CloseIdle()
	ctx := context.Background()
	cpu := cpuSeconds()
	for range rounds {
		if _, err := c.Load(ctx, e.Addr()); err != nil {
			return 0, errors.Wrap(err, "capacity: load report")
		}
		if _, err := c.CacheEvents(ctx, e.Addr(), 0); err != nil {
			return 0, errors.Wrap(err, "capacity: cache events")
		}
	}
	return (cpuSeconds() - cpu) / float64(rounds), nil
}
