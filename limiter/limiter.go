// Package limiter holds the limits that keep faults from spreading: adaptive
// concurrency per endpoint, a retry budget, ejection of failing endpoints, a
// guard against requests that crash endpoints, and detection of silent
// connections. Every type maps state to a decision and does no I/O. All types
// but SilenceDetector are safe for concurrent use.
package limiter

import (
	"github.com/cockroachdb/errors"
)

// ErrInvalidMarks reports crash marks of a peer that cannot be decoded.
var ErrInvalidMarks = errors.New("limiter: invalid crash marks")

// Outcome says how an attempt ended, as far as the limits are concerned.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK is an answer; its latency counts.
	OutcomeOK Outcome = iota
	// OutcomeOverload is a refusal or a timeout because the endpoint is full.
	OutcomeOverload
	// OutcomeError is a fault of the endpoint or of the connection.
	OutcomeError
	// OutcomeIgnored says nothing about the endpoint, such as a cancelled call.
	OutcomeIgnored
)
