package balance

import (
	"fmt"
	"time"

	"github.com/corianderlever/corianderlever/balance"
)

// pacedOracle knows the speeds, queues and caches of all engines and the lengths of the
// running answers. It minimises the delay of the request and of all others.
func pacedOracle(w *paceWorld) paceChooser {
	return func(_ int, s *stream, _ string) int {
		best, least := 0, time.Duration(0)
		for i, e := range w.engines {
			if cost := e.oracleCost(s); i == 0 || cost < least {
				best, least = i, cost
			}
		}
		return best
	}
}

func (e *batchEngine) oracleCost(s *stream) time.Duration {
	streams := min(len(e.running), batchSlots-1)
	prefill := time.Duration(e.factor() * float64(time.Duration(e.uncachedOf(s))*tokenTime))
	step, growth := e.stepTime(streams+1), e.stepTime(streams+1)-e.stepTime(streams)
	wait, remaining := time.Duration(0), 0
	for _, r := range e.running {
		wait += time.Duration(e.factor() * float64(time.Duration(r.uncached)*tokenTime))
		remaining += r.events - r.emitted
	}
	if queue := e.load() + 1 - batchSlots; queue > 0 {
		wait += time.Duration(queue) * step * streamEvents / batchSlots
	}
	return wait + prefill*time.Duration(1+len(e.running)) + streamEvents*step + time.Duration(remaining)*growth
}

// pacedChoosers gives each host an EngineChooser, with or without measured paces.
func pacedChoosers(paced bool) func(*paceWorld) paceChooser {
	return func(w *paceWorld) paceChooser {
		var specs []balance.EngineSpec
		for i := range w.engines {
			spec := balance.EngineSpec{ID: engineID(i), FailureDomain: "d", CacheTokens: promptCache}
			if paced {
				spec.Slots = batchSlots
			}
			specs = append(specs, spec)
		}
		for range w.hostCount() {
			h := balance.NewEngineChooser(w.sim.Clock, "d")
			h.SetEngines(specs)
			w.hosts = append(w.hosts, h)
		}
		share := w.shareBySum
		if w.condition.few {
			share = w.shareDirectly
		}
		w.sim.Every(500*time.Millisecond, share)
		return func(host int, s *stream, id string) int { return w.chooseEngine(w.hosts[host], s, id, paced) }
	}
}

func (w *paceWorld) chooseEngine(h *balance.EngineChooser, s *stream, id string, paced bool) int {
	req := s.request(id)
	choice, err := h.Choose(req)
	if err != nil {
		panic(err)
	}
	f := h.Start(choice, req)
	s.onEvent = f.FirstEvent
	if paced {
		s.onEvent = func() { f.Event(w.sim.Now()) }
	}
	s.onEnd = f.End
	var i int
	if _, err := fmt.Sscanf(choice.Endpoint, "engine-%d", &i); err != nil {
		panic(err)
	}
	return i
}

// Sizes of the messages between hosts, as in package relay.
const (
	uploadBytes, heartbeatBytes, sumBytes = 2 << 10, 340, 4 << 10
)

// shareBySum sends the sum of the loads and paces to all hosts after the condition's delay.
func (w *paceWorld) shareBySum() {
	table := balance.NewLoadTable(w.sim.Clock)
	own := make([][]byte, len(w.hosts))
	for i, h := range w.hosts {
		own[i] = balance.EncodeLoads(h.LocalLoads(), uploadBytes)
		check(table.Observe(fmt.Sprint(i), balance.LoadSum{Hosts: 1, Digest: own[i], Paces: h.LocalPaces(heartbeatBytes)}))
	}
	sum := balance.SumLoads(sumBytes, table)
	sum.AgeMS = w.condition.delay.Milliseconds()
	w.sim.After(w.condition.delay, func() {
		for i, h := range w.hosts {
			check(h.ObserveSum(sum, own[i], len(w.hosts)))
			check(h.ObservePaceSum(balance.PaceSum{Digest: sum.Paces}))
		}
	})
}

// shareDirectly sends the loads and paces of each host to all others.
func (w *paceWorld) shareDirectly() {
	for i, from := range w.hosts {
		loads, paces := balance.EncodeLoads(from.LocalLoads(), heartbeatBytes), from.LocalPaces(heartbeatBytes)
		w.sim.After(w.condition.delay, func() {
			for j, to := range w.hosts {
				if j != i {
					check(to.ObserveDigest(fmt.Sprint(i), loads, len(w.hosts)))
					check(to.ObservePaces(fmt.Sprint(i), paces))
				}
			}
		})
	}
}

func check(err error) {
	if err != nil {
		panic(err)
	}
}
