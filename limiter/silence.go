package limiter

import (
	"time"
)

const (
	// SilenceTimeout is the time without a byte after which the probing starts.
	SilenceTimeout = 3 * time.Second
	// ProbeTimeout is how long one probe may take. Late answers are ignored.
	ProbeTimeout = 400 * time.Millisecond
	// probeInterval is the time between the starts of two probes. Four fit in
	// before the decision and two answers suffice, so two may be lost.
	probeInterval = 450 * time.Millisecond
	// silenceLimit is the time after the last sign of life (a byte, or progress
	// between two answers) at which the connection is given up. It includes
	// the last probe's timeout and stays within the bound of 5 s.
	silenceLimit = 4900 * time.Millisecond
)

// SilenceAction says what the owner of a connection has to do.
type SilenceAction int

// The actions of a SilenceDetector.
const (
	// SilenceNone asks for nothing until the time given by Next.
	SilenceNone SilenceAction = iota
	// SilenceProbe asks for a health probe on a new connection.
	SilenceProbe
	// SilenceGiveUp asks to abandon the connection.
	SilenceGiveUp
)

// ProbeResult is what an endpoint says about an attempt.
type ProbeResult struct {
	// Running tells whether the endpoint still runs the attempt.
	Running bool
	// Progress counts the work done for the attempt, prefill steps and waiting
	// turns included. It moves as long as the attempt is not stuck.
	Progress uint64
	// Sent counts the units (tokens) the endpoint has written to the
	// connection; 0 if it does not say.
	Sent uint64
}

// SilenceDetector decides whether a connection without a byte is silent or its
// answer only slow. It is a pure state machine over times and is not safe for
// concurrent use. A connection is given up if the attempt no longer runs, if
// it makes no progress, or if the endpoint has sent more than was received.
type SilenceDetector struct {
	alive     time.Time // last byte, or last progress that a probe showed
	received  uint64
	nextProbe time.Time
	probeAt   time.Time   // start of the last probe, zero if it was answered
	previous  ProbeResult // not Running until the first answer of this silence
	// answeredAt is the time of the previous answer.
	answeredAt time.Time
	gaveUp     bool
}

// NewSilenceDetector starts watching at the time the request was sent.
func NewSilenceDetector(now time.Time) *SilenceDetector {
	w := &SilenceDetector{}
	w.RecordReceived(now, 0)
	return w
}

// RecordReceived records that units (tokens) have arrived; 0 stands for bytes that
// carry no token, such as a header.
func (w *SilenceDetector) RecordReceived(now time.Time, units int) {
	w.received += uint64(units)
	w.alive = now
	w.nextProbe = now.Add(SilenceTimeout)
	w.probeAt = time.Time{}
	w.previous = ProbeResult{}
}

// NextPoll returns the time of the next Poll that can ask for an action.
func (w *SilenceDetector) NextPoll() time.Time {
	limit := w.alive.Add(silenceLimit)
	if w.nextProbe.Before(limit) {
		return w.nextProbe
	}
	return limit
}

// Poll returns the action due at now.
func (w *SilenceDetector) Poll(now time.Time) SilenceAction {
	if w.gaveUp || !now.Before(w.alive.Add(silenceLimit)) {
		return w.giveUp()
	}
	if now.Before(w.nextProbe) {
		return SilenceNone
	}
	w.probeAt = now
	w.nextProbe = now.Add(probeInterval)
	return SilenceProbe
}

// HandleProbeResult records the answer to the last probe and returns the action that
// follows from it. A failed probe is not reported: its time simply passes.
func (w *SilenceDetector) HandleProbeResult(now time.Time, answer ProbeResult) SilenceAction {
	if w.gaveUp {
		return SilenceGiveUp
	}
	if w.probeAt.IsZero() || now.Sub(w.probeAt) > ProbeTimeout {
		return SilenceNone
	}
	w.probeAt = time.Time{}
	// What was sent before the previous answer has had time to arrive.
	if !answer.Running || w.previous.Sent > w.received {
		return w.giveUp()
	}
	if w.previous.Running && answer.Progress > w.previous.Progress {
		// The progress may be as old as the previous answer.
		w.alive = w.answeredAt
	}
	w.previous = answer
	w.answeredAt = now
	return SilenceNone
}

func (w *SilenceDetector) giveUp() SilenceAction {
	w.gaveUp = true
	return SilenceGiveUp
}
