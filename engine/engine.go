// Package engine is a client of model engines and plain services. The protocol
// is HTTP, with server-sent events for generated tokens.
package engine

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// Names of headers in requests to endpoints.
const (
	// HeaderAttemptID names the attempt. Endpoints repeat it in their answers, also in
	// rejections; without it, an answer on a kept connection has an unknown outcome.
	HeaderAttemptID  = "X-Attempt-Id"
	HeaderDeadlineMS = "X-Deadline-Ms"
	HeaderPriority   = "X-Priority"
)

// HeaderRateLimit is the name of the header in answers in which an endpoint names the
// number of requests a second that it takes from all hosts together.
const HeaderRateLimit = "X-Rate-Limit"

// Errors of SendOrder.
var (
	// ErrStaleFencing reports an order with a stale fencing token.
	ErrStaleFencing = errors.New("engine: order has a stale fencing token")
	// ErrOrderRejected reports an order that the endpoint rejected for another reason.
	ErrOrderRejected = errors.New("engine: order rejected")
)

// ErrNotEnded reports a reply to Cancel that does not say that the attempt has ended.
var ErrNotEnded = errors.New("engine: attempt not ended")

// GenerateRequest is the body of POST /v1/generate.
type GenerateRequest struct {
	// Attempt identifies this attempt; every event of the answer contains it.
	Attempt string `json:"attempt"`
	// Version is the model version to run.
	Version   string        `json:"version"`
	Messages  []api.Message `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	// ResumeFrom is the index of the first token to generate. The engine continues
	// the text in Prefix, which an earlier attempt produced.
	ResumeFrom int    `json:"resume_from,omitempty"`
	Prefix     string `json:"prefix,omitempty"`
	// Priority orders requests in the engine's queue; 0 is the most urgent.
	Priority    int      `json:"priority"`
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	User        string   `json:"user,omitempty"`
}

// Event is one server-sent event of an engine.
type Event struct {
	Attempt string `json:"attempt"`
	// Index is the index of the token in the answer, from 0.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Final is set only in the last event.
	Final *Final `json:"final,omitempty"`
}

// Final is the content of the last event of an answer.
type Final struct {
	PromptTokens int    `json:"prompt_tokens"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	// CachedTokens is the number of prompt tokens found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// LoadReport is an endpoint's report of its load. It may be stale.
type LoadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Capacity int      `json:"capacity"`
	Versions []string `json:"versions,omitempty"`
	// Leaving is true while the endpoint drains.
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// CacheEvent reports that the engine stored or evicted a prefix block.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// AttemptStatus is the response to a probe of an attempt.
type AttemptStatus struct {
	Running bool `json:"running"`
	// Progress counts the work done for the attempt, including its progress in
	// the engine's queue. It increases unless the attempt is stuck.
	Progress uint64 `json:"progress"`
	// Sent is the number of tokens written to the connection so far.
	Sent uint64 `json:"sent"`
}

// CancelReply is the response to DELETE /v1/attempts/{attempt}. The endpoint sends it once the
// attempt has ended, also to a call for an attempt that it does not know, and starts an attempt
// of that name no more: its request may still be on the way. It rejects that one as not run.
type CancelReply struct {
	// Attempt is the attempt of the call.
	Attempt string `json:"attempt"`
	// Ended is false if the endpoint cannot end the attempt and works on it.
	Ended bool `json:"ended"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// The kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order asks an engine to change what it serves.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Version string    `json:"version,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Fencing is the fencing token of the role that sends the order.
	Fencing int64 `json:"fencing"`
}

// Error is a failed attempt.
type Error struct {
	// Outcome states whether the endpoint has run the request.
	Outcome api.Outcome
	// Lost is true if the request may have been sent but no complete valid answer
	// arrived, as when the endpoint crashes.
	Lost bool
	// Busy is true if the endpoint rejected the request for lack of capacity.
	Busy bool
	// Silent is true if the connection was abandoned because no data arrived.
	Silent bool
	// Status is the HTTP status, or zero if no response arrived.
	Status int
	// RetryAfter is the delay before a retry that the endpoint asked for.
	RetryAfter time.Duration
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	return "engine: " + string(e.Outcome) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NoSuchCall reports whether an endpoint has answered that it has no such call.
func NoSuchCall(err error) bool {
	var failed *Error
	return errors.As(err, &failed) && (failed.Status == http.StatusNotFound || failed.Status == http.StatusMethodNotAllowed)
}

// TurnedAway reports whether an endpoint that is reachable has refused a request or its
// connection. It may still serve its other connections.
func TurnedAway(err error) bool {
	var failed *Error
	if errors.As(err, &failed) && failed.Status != 0 {
		return failed.Busy
	}
	return errors.IsAny(err, syscall.ECONNREFUSED, syscall.ECONNRESET, io.EOF)
}
