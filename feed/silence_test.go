package feed_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// answerAfter answers the follower's next call after some time. The call must need no pause.
func (r *fixture) answerAfter(d time.Duration, a answer) {
	<-r.source.called
	r.boot.add(d)
	r.source.answers <- a
	<-r.sink.ticks
}

// started returns a follower whose state is current and whose next call needs no pause.
func started(t *testing.T) *fixture {
	t.Helper()
	r := start(t)
	r.boot.add(time.Minute)
	for range 2 { // a listing, then a call without changes
		r.answer(t, answer{at: 1})
		<-r.sink.ticks
	}
	return r
}

func (r *fixture) expectSilence(t *testing.T, want time.Duration) {
	t.Helper()
	if got, ok := r.Silence(); !ok || got != want {
		t.Errorf("got silence %v, %v, want %v, true", got, ok, want)
	}
}

// TestSilenceOfTheStore guards against a change that a host takes for made when it arrives,
// although the store did not answer in time before it; and against one that it takes for older
// because nothing had changed before it.
func TestSilenceOfTheStore(t *testing.T) {
	const wait = time.Second // the fixture's
	change := answer{events: []kv.Event{{Entry: kv.Entry{Key: "a", Revision: 2}}}, at: 2}

	t.Run("heard at once", func(t *testing.T) {
		r := started(t)
		r.answerAfter(wait, answer{at: 1})
		r.answerAfter(wait/2, change)
		r.expectSilence(t, 0)
	})
	t.Run("in a late answer", func(t *testing.T) {
		r := started(t)
		r.answerAfter(wait+900*time.Millisecond, change)
		r.expectSilence(t, wait+900*time.Millisecond)
	})
	t.Run("right after a late answer", func(t *testing.T) {
		r := started(t)
		r.answerAfter(wait+900*time.Millisecond, answer{at: 1})
		r.answerAfter(100*time.Millisecond, change)
		r.expectSilence(t, wait+time.Second)
	})
	t.Run("long after a late answer", func(t *testing.T) {
		r := started(t)
		r.answerAfter(wait+900*time.Millisecond, answer{at: 1})
		r.answerAfter(100*time.Millisecond, answer{at: 1}) // the state is 900 ms old by then
		for range 4 {
			r.answerAfter(wait, answer{at: 1})
		}
		r.answerAfter(wait/2, change)
		r.expectSilence(t, 0)
	})
	t.Run("from another host during a late call", func(t *testing.T) {
		r := started(t)
		<-r.source.called
		r.boot.add(wait + 900*time.Millisecond)
		r.expectSilence(t, wait+900*time.Millisecond)
		r.source.answers <- answer{at: 1}
	})
	t.Run("after an outage", func(t *testing.T) {
		r := started(t)
		<-r.source.called
		r.boot.add(2 * wait)
		r.source.answers <- answer{err: errors.New("down")}
		r.answer(t, change)
		<-r.sink.ticks
		r.expectSilence(t, 2*wait)
	})
}

// TestHostWithoutTheStoreKnowsNoSilence guards against a host that reports that it heard of a
// change at once, although the store does not answer it.
func TestHostWithoutTheStoreKnowsNoSilence(t *testing.T) {
	r := start(t)
	r.boot.add(time.Minute)
	if _, ok := r.Silence(); ok {
		t.Error("got a silence before the first answer")
	}
	r.answer(t, answer{at: 1})
	<-r.sink.ticks
	r.boot.add(time.Minute)
	if _, ok := r.Silence(); ok {
		t.Error("got a silence a minute after the last answer")
	}
}
