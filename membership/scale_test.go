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

// Guards against signals that grow over the 12 KB/s of section 4 with the size
// of the fleet, against a signal that never gets its turn, and against dead
// hosts that are found late because nobody happens to ping them.
func TestLargeFleetRationsSignalsAndPingsEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		c := newCluster(17)
		defer c.stopAll()
		c.form(n)
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
			t.Errorf("%d bytes a second sent by each host, want at most 12 KiB", perHost)
		}
		mu.Lock()
		t.Logf("bytes sent per host and second: %d, signals received: %v", perHost, got)
		// One period has at least a ping and its answer of each host.
		if got["a"] < n || got["b"] < n || got["c"] < n*seconds*2 {
			t.Errorf("received signals %v of %d hosts in %d s", got, n, seconds)
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
