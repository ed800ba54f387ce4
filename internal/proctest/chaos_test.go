package proctest_test

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/resource"
)

func (tr *trial) kill(i int) {
	tr.log("kill host %d", i)
	tr.oracle.Kills = append(tr.oracle.Kills, time.Now())
	tr.must(tr.Hosts[i].Kill())
}

func (tr *trial) restart(i int) {
	tr.must(tr.Hosts[i].Start(tr.ctx))
	tr.log("host %d is back", i)
}

// lostReplies loses replies of writes, before and after they take effect.
func (tr *trial) lostReplies(rng *rand.Rand) {
	tr.log("lost replies")
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

// chaos injects the faults. It returns when the withdrawal was accepted.
func (tr *trial) chaos(rng *rand.Rand) time.Time {
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

// firstPause pauses a host while watches are silent, replies get lost, a
// version is withdrawn, connections go silent, and the store has an outage.
func (tr *trial) firstPause(rng *rand.Rand, order []int) time.Time {
	tr.log("pause host %d", order[1])
	paused := time.Now()
	tr.must(tr.Hosts[order[1]].Pause())
	tr.Faults.Inject(memkv.SilentWatch, memkv.Always)
	tr.lostReplies(rng)
	tr.wait(time.Second)
	accepted := tr.withdraw(order[2])
	tr.log("silence engine 1")
	tr.Endpoints.Engines[1].StallOpenResponses()
	tr.wait(3 * time.Second)
	tr.Faults.ClearAll()
	tr.log("outage")
	tr.Faults.Inject(memkv.Outage, memkv.Always)
	tr.wait(3 * time.Second)
	tr.Faults.ClearAll()
	tr.log("outage ends")
	tr.wait(time.Until(paused.Add(pause)))
	tr.must(tr.Hosts[order[1]].Resume())
	tr.log("resume host %d", order[1])
	return accepted
}

// secondPause pauses another host, kills a host while the store is slow, and
// kills and restarts one in an outage. The kills are far enough apart for
// peers to write the records of the first.
func (tr *trial) secondPause(rng *rand.Rand, order []int) {
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
	tr.log("outage ends, restart engine 2, silence engine 0")
	tr.must(tr.Endpoints.Engines[2].Restart())
	tr.Endpoints.Engines[0].StallOpenResponses()
	tr.lostReplies(rng)
	tr.wait(time.Until(paused.Add(pause)))
	tr.must(tr.Hosts[order[3]].Resume())
	tr.log("resume host %d", order[3])
}

func (tr *trial) withdraw(host int) time.Time {
	list, err := tr.Admin(host).List(tr.ctx, string(resource.KindVersion), withdrawn)
	tr.must(err)
	r := list.Resources[0]
	r.Spec.(*resource.Version).State = resource.VersionWithdrawn
	accepted, err := tr.Apply(tr.ctx, host, r)
	tr.must(err)
	tr.log("withdrawal accepted")
	return accepted
}

func (tr *trial) rollingRestart() {
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
