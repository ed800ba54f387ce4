package configstore

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against a withdrawn version that runs after a pause of the host: the
// heartbeats that waited in its connections arrive at once when it continues,
// and then look like a majority that has vouched all the while.
func TestOldHeartbeatsDoNotVouchAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(3, 8)
		defer w.stop()
		paused := w.nodes[2]
		if !paused.Fresh() {
			t.Fatal("host 2 is not fresh before the pause")
		}
		paused.kv.set(func(f *faultKV) { f.outage = true })
		w.setCut(func(a, b int) bool { return (a == 2) != (b == 2) })
		w.clock.Advance(12 * time.Second)
		w.mu.Lock()
		for host := range paused.heard {
			paused.heard[host] = w.clock.Now()
		}
		w.mu.Unlock()
		if paused.Fresh() {
			t.Error("host 2 takes new work right after the pause")
		}
		w.setCut(func(int, int) bool { return false })
		paused.kv.set(func(f *faultKV) { f.outage = false })
		w.run(resumeTime + heartbeatEvery + SyncInterval)
		if !paused.Fresh() {
			t.Error("host 2 does not return after the pause")
		}
	})
}
