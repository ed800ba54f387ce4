package feed

import (
	"time"

	"github.com/corianderlever/corianderlever/internal/boottime"
)

// lateAnswer is the time by which an answer of the store may exceed the wait of its call. The
// store may have been silent before a later one.
const lateAnswer = 300 * time.Millisecond

// storeCall is a call to the store that is to be answered within wait.
type storeCall struct {
	started boottime.Instant
	wait    time.Duration
}

func (c storeCall) late(now boottime.Instant) bool { return now.Sub(c.started) > c.wait+lateAnswer }

// silence is a time in which the store did not answer in time. A change that arrives right after
// it may have been made, or tried, at any moment of it.
type silence struct {
	from, until boottime.Instant
}

// Silence returns for how long changes that arrive now may have been held up because the store
// did not answer in time, or false if this host does not follow the store. Silences that are
// shorter than the wait of a call may go unnoticed.
func (f *Follower) Silence() (time.Duration, bool) {
	if !f.direct() {
		return 0, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.opts.Boottime()
	if f.call.started != 0 && f.call.late(now) {
		f.extendSilence(now)
	}
	switch {
	case f.storeAnswered == 0:
		return 0, false
	case f.silence.until != 0 && now.Sub(f.silence.until) <= f.opts.SettleTime:
		return now.Sub(f.silence.from), true
	}
	return 0, now.Sub(f.storeAnswered) <= f.answerInterval()
}

// answerInterval is the longest time between two answers of a store that answers in time.
func (f *Follower) answerInterval() time.Duration {
	t := f.opts.Timing()
	return t.Pause + t.Wait + lateAnswer
}

// beginCall records the start of a call to the store.
func (f *Follower) beginCall(c storeCall) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.call = c
}

// endCall records the end of the call, and whether the store answered it in time.
func (f *Follower) endCall(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now := f.opts.Boottime(); err != nil || f.call.late(now) {
		f.extendSilence(now)
	}
	f.call = storeCall{}
}

// extendSilence records that the store has not answered the current call in time. Silences with
// less than SettleTime between them count as one. The caller holds mu.
func (f *Follower) extendSilence(now boottime.Instant) {
	if f.silence.until == 0 || f.call.started.Sub(f.silence.until) > f.opts.SettleTime {
		f.silence.from = f.call.started
		if f.call.started.Sub(f.storeAnswered) > f.answerInterval() {
			f.silence.from = f.storeAnswered // this host did not call the store in between
		}
	}
	f.silence.until = now
}
