package membership

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestClusterConverges guards against a live host that stays lost, a dead one that
// stays listed, and incarnations that fall, under message loss, reordering,
// partitions, one-way links, crashes, planned stops and replacements at the same
// address.
func TestClusterConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			c := newCluster(rapid.Uint64().Draw(t, "seed"))
			defer c.stopAll()
			n := rapid.IntRange(2, 7).Draw(t, "hosts")
			c.startHosts(n)
			c.checkConverged(t)
			for step := range rapid.IntRange(1, 8).Draw(t, "steps") {
				hosts := c.hosts()
				i := rapid.IntRange(0, n-1).Draw(t, "host")
				c.mu.Lock()
				h := c.up[addrOf(i)]
				c.mu.Unlock()
				switch rapid.SampledFrom([]string{"loss", "partition", "one way", "kill", "leave", "start", "replace", "no faults"}).Draw(t, "step") {
				case "loss":
					c.setFaults(0.4, 400*time.Millisecond, nil)
				case "partition":
					c.setFaults(0, time.Second, func(a, b string) bool { return (a < addrOf(i)) != (b < addrOf(i)) })
				case "one way":
					c.setFaults(0, time.Millisecond, func(a, b string) bool { return a == addrOf(i) && b > a })
				case "kill":
					if h != nil && len(hosts) > 1 {
						c.kill(h)
					}
				case "leave":
					if h != nil && len(hosts) > 1 {
						h.Leave()
						c.run(time.Second)
						c.stopGracefully(h)
					}
				case "start":
					if h == nil {
						c.start(i, fmt.Sprintf("host-%03d", i))
					}
				case "replace":
					if h != nil {
						c.kill(h)
						c.start(i, fmt.Sprintf("new-%d-%d", step, i))
					}
				case "no faults":
					c.setFaults(0, time.Millisecond, nil)
				}
				c.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * time.Millisecond)
			}
			c.setFaults(0, 2*time.Millisecond, nil)
			// Allows two retry periods to find lost hosts, then suspicion and gossip.
			c.run(15 * time.Second)
			c.checkConverged(t)
		})
	})
}

// TestDeadHostIsDetectedWithinLimit guards against slow failure detection: a dead
// host must be suspected, and so leave the entry lists, 1.5 s after its end and
// fail after 3 s, whether connections to it are refused or calls time out. One
// heartbeat period is allowed for gossip.
func TestDeadHostIsDetectedWithinLimit(t *testing.T) {
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := newCluster(7)
			defer c.stopAll()
			c.startHosts(7)
			victim := c.hosts()[3]
			if silent {
				c.setFaults(0, time.Millisecond, func(a, b string) bool { return a == victim.addr || b == victim.addr })
			} else {
				c.kill(victim)
			}
			c.run(1500*time.Millisecond + DefaultInterval)
			check := func(want State) {
				for _, h := range c.hosts() {
					if got := h.state("host-003"); h != victim && got < want {
						t.Errorf("silent %v: %s sees %v, want %v", silent, h.Self().Host, got, want)
					}
				}
			}
			check(Suspect)
			c.run(1500 * time.Millisecond)
			check(Failed)
			if silent && victim.HasMajority() {
				t.Error("HasMajority is true at a host that was cut off for 3 s")
			}
		})
	}
}

// TestBrokenLinkLeavingHostsAndSignals guards against a host that is suspected
// because of one broken link, against leaving hosts in the entry list or in the
// majority, and against signals that take over a second.
func TestBrokenLinkLeavingHostsAndSignals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(11)
		defer c.stopAll()
		c.startHosts(7)
		hosts := c.hosts()
		var mu sync.Mutex
		got := make(map[string]int)
		for _, h := range hosts[1:] {
			h.RegisterSignal("s", nil, func(from Member, data json.RawMessage) {
				mu.Lock()
				defer mu.Unlock()
				got[h.addr+from.Host+string(data)]++
			})
		}
		hosts[1].RegisterSignal("big", nil, func(Member, json.RawMessage) { t.Error("a signal over MaxSignalBytes was delivered") })
		hosts[0].RegisterSignal("s", func() json.RawMessage { return json.RawMessage("1") }, nil)
		hosts[0].RegisterSignal("big", func() json.RawMessage { return json.RawMessage(`"` + strings.Repeat("x", MaxSignalBytes) + `"`) }, nil)
		c.run(time.Second + 10*time.Millisecond)
		mu.Lock()
		for _, h := range hosts[1:] {
			if got[h.addr+"host-0001"] == 0 {
				t.Errorf("%s received no signal within a second", h.Self().Host)
			}
		}
		mu.Unlock()
		c.setFaults(0, time.Millisecond, func(a, b string) bool {
			return a == hosts[1].addr && b == hosts[2].addr || b == hosts[1].addr && a == hosts[2].addr
		})
		for range 20 {
			c.run(DefaultInterval)
			c.checkConverged(t)
		}
		c.setFaults(0, time.Millisecond, nil)
		for _, h := range hosts[:4] {
			h.Leave()
		}
		c.run(time.Second + DefaultInterval)
		for _, h := range hosts[4:] {
			if n := len(h.Entries(c.clock.Now()).Entries); n != 3 {
				t.Errorf("%s lists %d hosts while four leave, want 3", h.Self().Host, n)
			}
		}
		for _, h := range hosts[:4] {
			c.stopGracefully(h)
		}
		c.run(4 * time.Second)
		c.checkConverged(t)
	})
}

// TestLargeFleetConvergesWithinBandwidth guards against heartbeats over the limit
// of 12 KB/s for control traffic and against gossip that does not reach all hosts
// of a large fleet.
func TestLargeFleetConvergesWithinBandwidth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 60
		c := newCluster(13)
		defer c.stopAll()
		c.startHosts(n)
		c.run(10 * time.Second)
		c.checkConverged(t)
		c.mu.Lock()
		c.bytes = 0
		c.mu.Unlock()
		c.run(10 * time.Second)
		c.mu.Lock()
		perHost := c.bytes / n / 10
		c.mu.Unlock()
		if perHost > 12<<10 {
			t.Errorf("%d bytes per second sent by each host without faults, want at most 12 KiB", perHost)
		}
		t.Logf("bytes sent per host and second: %d", perHost)
		for _, h := range c.hosts()[:5] {
			c.kill(h)
		}
		c.run(5 * time.Second)
		c.checkConverged(t)
	})
}
