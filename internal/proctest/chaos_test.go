package proctest_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/resource"
)

func (tr *testRun) kill(i int) {
	tr.log("kill host %d", i)
	tr.oracle.Kills = append(tr.oracle.Kills, time.Now())
	tr.must(tr.Hosts[i].Kill())
}

func (tr *testRun) restart(i int) {
	tr.must(tr.Hosts[i].Start(tr.ctx))
	tr.log("host %d restarted", i)
}

// loseReplies makes random writes to the store fail, either before or after they
// take effect.
func (tr *testRun) loseReplies(rng *rand.Rand) {
	tr.log("lose requests and replies of writes")
	var mu sync.Mutex
	source := rand.New(rand.NewPCG(rng.Uint64(), 2))
	tr.Faults.OnCall(func(call memkv.Call, _ string) memkv.Fault {
		mu.Lock()
		defer mu.Unlock()
		if call != memkv.CallCompareAndSwap && call != memkv.CallDelete {
			return memkv.None
		}
		return []memkv.Fault{memkv.None, memkv.None, memkv.ReplyLost, memkv.RequestLost}[source.IntN(4)]
	})
}

// injectFaults injects all faults in sequence and returns the time at which the
// withdrawal was accepted.
func (tr *testRun) injectFaults(rng *rand.Rand) time.Time {
	order := rng.Perm(hosts)
	tr.wait(time.Second)
	tr.kill(order[0])
	tr.must(tr.Endpoints.Engines[0].Restart())
	tr.wait(time.Second)
	tr.restart(order[0])
	accepted := tr.firstPause(rng, order)
	tr.secondPause(rng, order)
	return accepted
}

// firstPause pauses a host while watches deliver nothing, replies are lost, a
// version is withdrawn, open responses stall, and the store has an outage.
func (tr *testRun) firstPause(rng *rand.Rand, order []int) time.Time {
	tr.log("pause host %d", order[1])
	paused := time.Now()
	tr.must(tr.Hosts[order[1]].Pause())
	tr.Faults.Inject(memkv.SilentWatch, memkv.Always)
	tr.loseReplies(rng)
	tr.wait(time.Second)
	accepted := tr.withdraw(order[2])
	tr.log("stall responses of engine 1")
	tr.Endpoints.Engines[1].StallOpenResponses()
	tr.wait(3 * time.Second)
	tr.Faults.ClearAll()
	tr.log("outage")
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.wait(3 * time.Second)
	tr.Faults.ClearAll()
	tr.log("outage ends")
	tr.wait(time.Until(paused.Add(pauseTime)))
	tr.must(tr.Hosts[order[1]].Resume())
	tr.log("resume host %d", order[1])
	return accepted
}

// secondPause pauses another host, kills a host while the store is slow, and
// kills and restarts one during an outage. The time between the kills suffices
// for peers to write the billing records of the host killed first.
func (tr *testRun) secondPause(rng *rand.Rand, order []int) {
	tr.log("pause host %d", order[3])
	paused := time.Now()
	tr.must(tr.Hosts[order[3]].Pause())
	tr.log("slow store")
	tr.Faults.SetDelay(200 * time.Millisecond)
	tr.kill(order[2])
	tr.wait(time.Second)
	tr.restart(order[2])
	tr.Faults.ClearAll()
	tr.wait(3 * time.Second)
	tr.log("outage")
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.wait(500 * time.Millisecond)
	tr.kill(order[0])
	tr.wait(500 * time.Millisecond)
	tr.restart(order[0])
	tr.Faults.ClearAll()
	tr.log("outage ends, restart engine 2, stall responses of engine 0")
	tr.must(tr.Endpoints.Engines[2].Restart())
	tr.Endpoints.Engines[0].StallOpenResponses()
	tr.loseReplies(rng)
	tr.wait(time.Until(paused.Add(pauseTime)))
	tr.must(tr.Hosts[order[3]].Resume())
	tr.log("resume host %d", order[3])
}

// withdraw withdraws the version withdrawnVersion through a host and returns the
// time of acceptance.
func (tr *testRun) withdraw(host int) time.Time {
	list, err := tr.Admin(host).List(tr.ctx, string(resource.KindVersion), withdrawnVersion)
	tr.must(err)
	r := list.Resources[0]
	r.Spec.(*resource.Version).State = resource.VersionWithdrawn
	accepted, err := tr.Apply(tr.ctx, host, r)
	tr.must(err)
	tr.log("withdrawal accepted")
	return accepted
}

func (tr *testRun) rollingRestart() {
	tr.wait(500 * time.Millisecond)
	tr.log("rolling restart")
	for i, p := range tr.Hosts {
		if err := p.Terminate(tr.ctx); err != nil {
			tr.t.Errorf("seed %d: stop host %d: %v", seed, i, err)
		}
		tr.must(p.Start(tr.ctx))
	}
	tr.log("rolling restart ended")
}
