package balance

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/balance"
)

// perfectChooser reads the current queues and caches of all engines and
// minimises the expected time to first token.
func perfectChooser(w *world) chooser {
	return func(host int, j *job) int {
		best, least := 0, 0.0
		for i, e := range w.engines {
			jobs := e.running + len(e.waiting)
			cost := float64(len(j.blocks)-e.cached(j.blocks)) * blockTime.Seconds()
			cost += 0.02 * w.shape.decode.Seconds() * float64(jobs) / float64(e.slots)
			if queue := jobs + 1 - e.slots; queue > 0 {
				cost += w.shape.decode.Seconds() * float64(queue) / float64(e.slots)
			}
			if i%domains != host%domains {
				cost += farDelay.Seconds()
			}
			if i == 0 || cost < least {
				best, least = i, cost
			}
		}
		return best
	}
}

// roundRobin lets each host cycle through the engines, starting at its own index.
func roundRobin(*world) chooser {
	next := make([]int, hosts)
	for h := range next {
		next[h] = h
	}
	return func(host int, _ *job) int {
		next[host] = (next[host] + 1) % engineCount
		return next[host]
	}
}

// twoChoices picks the less loaded of two random engines according to the last
// load report.
func twoChoices(w *world) chooser {
	reported := make([]int, engineCount)
	w.sim.Every(reportPeriod, func() {
		for i, e := range w.engines {
			jobs := e.running + len(e.waiting)
			w.sim.After(reportDelay, func() { reported[i] = jobs })
		}
	})
	return func(int, *job) int {
		a, b := w.random.IntN(engineCount), w.random.IntN(engineCount)
		if reported[b] < reported[a] {
			return b
		}
		return a
	}
}

// pickers gives each host its own Picker, which receives delayed load reports
// and cache events.
func pickers(w *world) chooser {
	var list []balance.Endpoint
	for i := range w.engines {
		list = append(list, balance.Endpoint{
			ID: engineID(i), FailureDomain: domainID(i), Versions: []string{"v"}, Concurrency: w.shape.slots,
		})
	}
	for h := range hosts {
		cfg := balance.DefaultConfig(domainID(h))
		cfg.BlockPrefillTime = blockTime
		cfg.ServiceTime = w.shape.decode
		p := balance.NewPicker(w.sim.Clock, rand.New(rand.NewPCG(uint64(h), 7)), cfg)
		p.SetEndpoints(list)
		w.pickers = append(w.pickers, p)
	}
	for i, e := range w.engines {
		w.report(i, e)
		w.publish(i, e)
	}
	return w.pick
}

// report sends the load reports of engine i periodically. Each engine starts at
// a different offset, so that the reports are spread over the period.
func (w *world) report(i int, e *engine) {
	phase := time.Duration(i) * reportPeriod / engineCount
	w.sim.After(phase, func() { w.sim.Every(reportPeriod, func() { w.sendReport(i, e) }) })
}

// sendReport sends the current load of engine i to all hosts after reportDelay.
func (w *world) sendReport(i int, e *engine) {
	r := balance.LoadReport{Endpoint: engineID(i), At: w.sim.Now(), Running: e.running, Waiting: len(e.waiting)}
	for _, p := range w.pickers {
		w.sim.After(reportDelay, func() { p.ObserveReport(r) })
	}
}

// publish sends the cache events of engine i periodically. Each host loses the
// share eventLoss of them.
func (w *world) publish(i int, e *engine) {
	w.sim.Every(eventPeriod, func() {
		e.sequence++
		event := balance.CacheEvent{Endpoint: engineID(i), Sequence: e.sequence, Added: e.added, Removed: e.removed}
		e.added, e.removed = nil, nil
		for _, p := range w.pickers {
			if w.random.Float64() < eventLoss {
				continue
			}
			w.sim.After(eventDelay, func() { p.ObserveCacheEvent(event) })
		}
	})
}

// pick asks the host's Picker for an engine and reports the job's start and end
// to it.
func (w *world) pick(host int, j *job) int {
	p := w.pickers[host]
	choice, err := p.Pick(balance.Request{Version: "v", Prefix: j.blocks})
	if err != nil {
		panic(err)
	}
	i, err := strconv.Atoi(choice.Endpoint[len("engine-"):])
	if err != nil {
		panic(err)
	}
	p.Started(choice.Endpoint, j.blocks)
	started := w.sim.Now()
	j.done = func() { p.Finished(choice.Endpoint, max(w.sim.Now().Sub(started), time.Microsecond)) }
	return i
}
