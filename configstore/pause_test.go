package configstore

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestOldHeartbeatsDoNotVouchAfterAPause guards against running a withdrawn version
// after a pause of the host. The heartbeats that waited in its connections arrive
// at once when it resumes, and then look like an uninterrupted majority.
func TestOldHeartbeatsDoNotVouchAfterAPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimCluster(3, 8)
		defer sim.stop()
		paused := sim.hosts[2]
		if !paused.Fresh() {
			t.Fatal("host 2 is not fresh before the pause")
		}
		paused.kv.set(func(f *faultKV) { f.outage = true })
		sim.setPartition(func(a, b int) bool { return (a == 2) != (b == 2) })
		sim.clock.Advance(12 * time.Second)
		sim.mu.Lock()
		for host := range paused.lastHeartbeat {
			paused.lastHeartbeat[host] = sim.clock.Now()
		}
		sim.mu.Unlock()
		if paused.Fresh() {
			t.Error("host 2 accepts new work right after the pause")
		}
		sim.setPartition(func(int, int) bool { return false })
		paused.kv.set(func(f *faultKV) { f.outage = false })
		sim.run(resumeDelay + heartbeatInterval + SyncInterval)
		if !paused.Fresh() {
			t.Error("host 2 is not fresh after the pause")
		}
	})
}
