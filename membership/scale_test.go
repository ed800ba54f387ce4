package membership

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestLargeFleetLimitsSignalsAndPingsEveryHost guards against signals that exceed
// the 12 KB/s for control traffic as the fleet grows, against a signal that the
// rotation never sends, and against dead hosts that are detected late because no
// host happens to ping them.
func TestLargeFleetLimitsSignalsAndPingsEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		c := newCluster(17)
		defer c.stopAll()
		c.startHosts(n)
		c.run(10 * time.Second)
		var mu sync.Mutex
		got := make(map[string]int)
		size := map[string]int{"a": 4000, "b": 6000, "c": smallSignalBytes - 2}
		for _, h := range c.hosts() {
			for name, bytes := range size {
				h.RegisterSignal(name, func() json.RawMessage { return json.RawMessage(`"` + strings.Repeat("x", bytes) + `"`) },
					func(Member, json.RawMessage) { mu.Lock(); defer mu.Unlock(); got[name]++ })
			}
		}
		c.mu.Lock()
		c.bytes = 0
		c.mu.Unlock()
		const seconds = 20
		c.run(seconds * time.Second)
		c.mu.Lock()
		perHost := c.bytes / n / seconds
		c.mu.Unlock()
		if perHost > 12<<10 {
			t.Errorf("%d bytes per second sent by each host, want at most 12 KiB", perHost)
		}
		mu.Lock()
		t.Logf("bytes sent per host and second: %d, signals received: %v", perHost, got)
		// Each host sends at least a ping and an answer in each period.
		if got["a"] < n || got["b"] < n || got["c"] < n*seconds*2 {
			t.Errorf("received too few signals %v from %d hosts in %d s", got, n, seconds)
		}
		mu.Unlock()
		var pinged sync.Map
		for _, h := range c.hosts() {
			ping := h.handlers[MethodPing]
			c.mu.Lock()
			h.handlers[MethodPing] = func(ctx context.Context, from string, params json.RawMessage) (any, error) {
				pinged.Store(h.addr, true)
				return ping(ctx, from, params)
			}
			c.mu.Unlock()
		}
		for range seconds {
			pinged.Clear()
			c.run(2 * DefaultInterval)
			for _, h := range c.hosts() {
				if _, ok := pinged.Load(h.addr); !ok {
					t.Fatalf("%s was not pinged in two periods", h.Self().Host)
				}
			}
		}
	})
}
