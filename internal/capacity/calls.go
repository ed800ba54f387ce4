package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// Parameters of the run of a deployment of the current size.
const (
	clusterHosts   = 7
	clusterEngines = 3
	countTime      = 20 * time.Second
	clusterTimeout = 40 * time.Second
)

// Calls holds the calls of a cluster to the key-value service during a run.
type Calls struct {
	// Seconds is the duration of the run.
	Seconds float64
	// ByMechanism counts the calls by operation and first segment of the key, joined
	// by a space.
	ByMechanism map[string]int64
	// Watching is the number of open watches at the end of the run.
	Watching int64
	// Requests is the number of requests served during the run.
	Requests int
	// Failed is the number of failed requests, Err the last error.
	Failed int
	Err    error
}

// CountCalls counts the calls of seven hosts during countTime, with about one
// request per second on each host.
func CountCalls() (Calls, error) {
	ctx, cancel := context.WithTimeout(context.Background(), clusterTimeout)
	defer cancel()
	c, err := demo.StartCluster(ctx, demo.ClusterOptions{
		Hosts: clusterHosts, Engines: clusterEngines, Logger: discardLogger(), Rand: rand.New(rand.NewPCG(6, 6)),
	})
	if err != nil {
		return Calls{}, errors.Wrap(err, "capacity: start the cluster")
	}
	defer func() { _ = c.Stop(context.Background()) }() // the measurement does not depend on the shutdown
	var mu sync.Mutex
	out := Calls{ByMechanism: make(map[string]int64)}
	for _, f := range c.Faults {
		f.OnCall(func(call memkv.Call, key string) memkv.Fault {
			mu.Lock()
			defer mu.Unlock()
			keyPrefix, _, _ := strings.Cut(key, "/")
			out.ByMechanism[string(call)+" "+keyPrefix]++
			return memkv.None
		})
	}
	start := time.Now()
	for time.Since(start) < countTime {
		for _, addr := range c.EntryAddresses() {
			text := fmt.Sprintf("question %d", out.Requests+out.Failed)
			body := api.ChatRequest{Model: "small", MaxTokens: 4, Messages: []api.Message{{Role: "user", Content: text}}}
			if _, err := demo.DirectClient(addr, demo.TeamKey).Chat(ctx, client.Request{}, body); err == nil {
				out.Requests++
			} else {
				out.Failed++
				out.Err = err
			}
		}
		time.Sleep(time.Second)
	}
	for _, f := range c.Faults {
		out.Watching += f.OpenWatches()
		f.OnCall(nil)
	}
	out.Seconds = time.Since(start).Seconds()
	return out, nil
}
