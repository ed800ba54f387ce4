// Package limiter contains the limits that keep faults from spreading: adaptive
// concurrency limits per endpoint, retry budgets, outlier ejection, a guard
// against requests that crash endpoints, and detection of silent connections.
// The types do no I/O. All types except SilenceDetector are safe for concurrent
// use.
package limiter

import (
	"github.com/cockroachdb/errors"
)

// ErrInvalidMarks reports that crash marks received from a peer cannot be
// decoded.
var ErrInvalidMarks = errors.New("limiter: invalid crash marks")

// Outcome classifies the result of an attempt for the limits.
type Outcome int

// The outcomes of an attempt.
const (
	// OutcomeOK is a successful response. Its latency is used as a sample.
	OutcomeOK Outcome = iota
	// OutcomeOverload is a rejection or timeout because the endpoint is at
	// capacity.
	OutcomeOverload
	// OutcomeError is a fault of the endpoint or of the connection.
	OutcomeError
	// OutcomeIgnored is a result that gives no information about the endpoint,
	// such as a cancelled call.
	OutcomeIgnored
)
