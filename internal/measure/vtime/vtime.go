// Package vtime runs small discrete-event simulations in virtual time for the
// measurements. Events at the same time run in the order in which they were
// scheduled, so runs with the same seed give the same results.
package vtime

import (
	"container/heap"
	"time"

	"github.com/jonboulle/clockwork"
)

// Start is the virtual time at which every simulation begins.
var Start = time.Unix(1_700_000_000, 0)

// event is a function to run at a virtual time. seq orders events at the same
// time.
type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// Sim is a queue of events and the clock that they advance. It is not safe for
// concurrent use.
type Sim struct {
	// Clock is set to the time of the running event.
	Clock *clockwork.FakeClock

	now       time.Time
	queue     events
	scheduled int
}

// New returns a simulation at Start.
func New() *Sim {
	return &Sim{Clock: clockwork.NewFakeClockAt(Start), now: Start}
}

// Now returns the virtual time.
func (s *Sim) Now() time.Time { return s.now }

// Elapsed returns the virtual time since Start.
func (s *Sim) Elapsed() time.Duration { return s.now.Sub(Start) }

// After schedules a call of run after d. A negative d counts as zero.
func (s *Sim) After(d time.Duration, run func()) {
	s.scheduled++
	heap.Push(&s.queue, event{at: s.now.Add(max(0, d)), seq: s.scheduled, run: run})
}

// Every schedules a call of run after each period, the first one after one period.
func (s *Sim) Every(period time.Duration, run func()) {
	s.After(period, func() {
		run()
		s.Every(period, run)
	})
}

// Run executes all events due up to and including the time Start+length.
func (s *Sim) Run(length time.Duration) {
	end := Start.Add(length)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		e := heap.Pop(&s.queue).(event)
		s.Clock.Advance(e.at.Sub(s.now))
		s.now = e.at
		e.run()
	}
}
