package feed_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"
)

// silentPath is a disturbance in which calls of some hosts get no answer.
type silentPath struct {
	name string
	// store holds the hosts that the store does not answer.
	store []int
	// peer is the host that exchanges no messages with others; negative for none.
	peer int
}

func (p silentPath) disturbs(host int) bool { return host == p.peer || p.cutOff(host) }

// cutOff reports whether the store does not answer a host.
func (p silentPath) cutOff(host int) bool { return slices.Contains(p.store, host) }

var silentPaths = []silentPath{
	{"a reader cut off from the store", []int{1}, -1},
	{"two readers cut off from the store", []int{0, 2}, -1},
	{"all readers cut off from the store", []int{0, 1, 2}, -1},
	{"all readers and the next host cut off from the store", []int{0, 1, 2, 3}, -1},
	{"a reader paused", []int{1}, 1},
	{"a reader cut off from the other hosts", nil, 1},
	{"a reader cut off from the store, another one paused", []int{0, 2}, 2},
}

// writeOthers changes other keys of the store until stop is closed.
func (s *fleetStore) writeOthers(interval time.Duration, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(interval):
			s.change()
		}
	}
}

// TestUndisturbedHostsLearnOfChangesInTime guards against a change that hosts put in force too
// late although nothing disturbs them, because the host that they follow is cut off from the
// store, is paused or does not reach them. It cuts at each phase of the calls.
func TestUndisturbedHostsLearnOfChangesInTime(t *testing.T) {
	const busy, calm, idle = 70 * time.Millisecond, 300 * time.Millisecond, time.Hour
	for _, fleet := range []struct {
		hosts  int
		limit  time.Duration
		step   time.Duration   // between two phases
		writes []time.Duration // between two writes of others
	}{
		{7, 2 * time.Second, 100 * time.Millisecond, []time.Duration{busy, calm, idle}},
		{9, 2 * time.Second, 60 * time.Millisecond, []time.Duration{calm}},
		{64, 3 * time.Second, testWait / 2, []time.Duration{calm}},
		{295, 4 * time.Second, testWait, []time.Duration{calm}},
	} {
		for _, path := range silentPaths {
			t.Run(fmt.Sprint(fleet.hosts, " hosts, ", path.name), func(t *testing.T) {
				for _, interval := range fleet.writes {
					worst := time.Duration(0)
					for phase := time.Duration(0); phase < testWait; phase += fleet.step {
						took := playSilentPath(t, fleet.hosts, fleet.limit, path, interval, phase)
						worst = max(worst, took)
					}
					t.Logf("writes every %v: the last host knew after %v", interval, worst)
					if worst > fleet.limit {
						t.Errorf("writes every %v: the last host knew after %v, want at most %v", interval, worst, fleet.limit)
					}
				}
			})
		}
	}
}

// playSilentPath cuts paths at a phase of the calls and changes the store right after, and
// again while the cut goes on. It returns the longest time after which all undisturbed hosts
// know a change.
func playSilentPath(t *testing.T, hosts int, limit time.Duration, path silentPath, interval, phase time.Duration) (took time.Duration) {
	t.Helper()
	const calm, changeDelay, changes, pause = 8 * time.Second, 20 * time.Millisecond, 4, 370 * time.Millisecond
	runFleetWithin(t, hosts, limit, func(t *testing.T, f *fleet) {
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { f.store.writeOthers(interval, stop) })
		time.Sleep(calm + phase)
		f.store.setSilent(path.cutOff)
		f.silent.Store(int64(path.peer))
		time.Sleep(changeDelay)
		for range changes {
			took = max(took, f.awaitAt(t, f.store.change(), 2*limit, func(host int) bool { return !path.disturbs(host) }))
			time.Sleep(pause)
		}
		close(stop)
		wg.Wait()
	})
	return took
}
