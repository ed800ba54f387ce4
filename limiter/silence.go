package limiter

import (
	"time"
)

const (
	// SilenceTimeout is the time without a received byte after which probing
	// starts.
	SilenceTimeout = 3 * time.Second
	// ProbeTimeout is the maximum duration of one probe. Later results are
	// ignored.
	ProbeTimeout = 400 * time.Millisecond
	// probeInterval is the time between the starts of two probes. Four probes
	// fit between SilenceTimeout and giveUpTimeout. Two results suffice for a
	// decision, so two probes may be lost.
	probeInterval = 450 * time.Millisecond
	// giveUpTimeout is the time after the last received byte, or the last
	// progress between two probe results, at which the connection is given up.
	// It includes the timeout of the last probe and stays within the limit of
	// 5 s.
	giveUpTimeout = 4900 * time.Millisecond
)

// SilenceAction is the action that the owner of a connection has to take.
type SilenceAction int

// The actions of a SilenceDetector.
const (
	// SilenceNone requires no action until the time returned by NextPoll.
	SilenceNone SilenceAction = iota
	// SilenceProbe requires a health probe on a new connection.
	SilenceProbe
	// SilenceGiveUp requires the connection to be abandoned.
	SilenceGiveUp
)

// ProbeResult is the state of an attempt as reported by its endpoint.
type ProbeResult struct {
	// Running reports whether the endpoint is still running the attempt.
	Running bool
	// Progress counts the work done for the attempt, including prefill steps
	// and scheduling turns spent waiting. It increases as long as the attempt
	// is not stuck.
	Progress uint64
	// Sent is the number of units (tokens) that the endpoint has written to the
	// connection, or 0 if the endpoint does not report it.
	Sent uint64
}

// SilenceDetector decides whether a connection that delivers no bytes is broken
// or its response is only slow. It is a state machine over the times passed to
// it and is not safe for concurrent use. A connection is given up if the
// attempt no longer runs, if it makes no progress, or if the endpoint has sent
// more than was received. An endpoint that turns probes away tells none of this.
type SilenceDetector struct {
	lastProgress time.Time // last byte, or last progress shown by a probe
	received     uint64
	nextProbe    time.Time
	probeStarted time.Time   // start of the pending probe, zero if none
	previous     ProbeResult // zero until the first result since the last byte
	// previousAt is when the previous result was received.
	previousAt time.Time
	abandoned  bool
}

// NewSilenceDetector returns a detector for a request that was sent at now.
func NewSilenceDetector(now time.Time) *SilenceDetector {
	d := &SilenceDetector{}
	d.RecordReceived(now, 0)
	return d
}

// RecordReceived records that units (tokens) have arrived. Zero units mean
// bytes that carry no token, such as a header.
func (d *SilenceDetector) RecordReceived(now time.Time, units int) {
	d.received += uint64(units)
	d.lastProgress = now
	d.nextProbe = now.Add(SilenceTimeout)
	d.probeStarted = time.Time{}
	d.previous = ProbeResult{}
}

// NextPoll returns the time of the next Poll that can require an action.
func (d *SilenceDetector) NextPoll() time.Time {
	limit := d.lastProgress.Add(giveUpTimeout)
	if d.nextProbe.Before(limit) {
		return d.nextProbe
	}
	return limit
}

// Poll returns the action due at now.
func (d *SilenceDetector) Poll(now time.Time) SilenceAction {
	if d.abandoned || !now.Before(d.lastProgress.Add(giveUpTimeout)) {
		return d.giveUp()
	}
	if now.Before(d.nextProbe) {
		return SilenceNone
	}
	d.probeStarted = now
	d.nextProbe = now.Add(probeInterval)
	return SilenceProbe
}

// HandleProbeResult records the result of the last probe and returns the action
// that follows from it. Failed probes need not be reported.
func (d *SilenceDetector) HandleProbeResult(now time.Time, result ProbeResult) SilenceAction {
	if d.abandoned {
		return SilenceGiveUp
	}
	if d.probeStarted.IsZero() || now.Sub(d.probeStarted) > ProbeTimeout {
		return SilenceNone
	}
	d.probeStarted = time.Time{}
	// Units sent before the previous result have had time to arrive.
	if !result.Running || d.previous.Sent > d.received {
		return d.giveUp()
	}
	if d.previous.Running && result.Progress > d.previous.Progress {
		// The progress may have been made right after the previous result.
		d.lastProgress = d.previousAt
	}
	d.previous = result
	d.previousAt = now
	return SilenceNone
}

// HandleProbeTurnedAway records that the endpoint has refused the last probe, be it
// the connection or the request. The endpoint is reachable, and its answer may only
// be slow.
func (d *SilenceDetector) HandleProbeTurnedAway(now time.Time) {
	if d.probeStarted.IsZero() || now.Sub(d.probeStarted) > ProbeTimeout {
		return
	}
	d.lastProgress = d.probeStarted
	d.probeStarted = time.Time{}
}

func (d *SilenceDetector) giveUp() SilenceAction {
	d.abandoned = true
	return SilenceGiveUp
}
