// Package engine is the client of the protocol that model engines and plain
// services speak: HTTP with server-sent events for generated tokens.
package engine

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// Header names towards endpoints.
const (
	HeaderAttemptID  = "X-Attempt-Id"
	HeaderDeadlineMS = "X-Deadline-Ms"
	HeaderPriority   = "X-Priority"
)

// Errors of orders.
var (
	// ErrStaleFencing reports an order with a stale fencing token.
	ErrStaleFencing = errors.New("engine: order has a stale fencing token")
	// ErrOrderRejected reports an order that the endpoint rejected for another reason.
	ErrOrderRejected = errors.New("engine: order rejected")
)

// GenerateRequest asks an engine for one answer.
type GenerateRequest struct {
	// Attempt identifies this attempt; every event of the answer repeats it.
	Attempt string `json:"attempt"`
	// Version is the model version to run.
	Version   string        `json:"version"`
	Messages  []api.Message `json:"messages"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	// ResumeFrom is the index of the first token wanted; the engine continues
	// the text in Prefix, which an earlier attempt produced.
	ResumeFrom int    `json:"resume_from,omitempty"`
	Prefix     string `json:"prefix,omitempty"`
	// Priority orders requests in the engine; 0 is the most urgent.
	Priority    int      `json:"priority"`
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	User        string   `json:"user,omitempty"`
}

// Event is one server-sent event of an engine.
type Event struct {
	Attempt string `json:"attempt"`
	// Index numbers the tokens of the answer from 0.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Final is set in the last event.
	Final *Final `json:"final,omitempty"`
}

// Final ends an answer.
type Final struct {
	PromptTokens int    `json:"prompt_tokens"`
	Tokens       int    `json:"tokens"`
	FinishReason string `json:"finish_reason"`
	// CachedTokens is the part of the prompt found in the prefix cache.
	CachedTokens int `json:"cached_tokens"`
}

// LoadReport is what an endpoint says of its load; it may be old.
type LoadReport struct {
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Capacity int      `json:"capacity"`
	Versions []string `json:"versions,omitempty"`
	// Leaving is set while the endpoint drains.
	Leaving bool `json:"leaving,omitempty"`
	// AgeMS is the age of the report in milliseconds.
	AgeMS int64 `json:"age_ms"`
}

// CacheEvent tells that the engine has stored or evicted a prefix block.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Block    uint64 `json:"block"`
	Evicted  bool   `json:"evicted,omitempty"`
}

// AttemptStatus answers a probe about a running attempt.
type AttemptStatus struct {
	Running bool `json:"running"`
	// Progress counts the work done for the attempt, turns in the engine's
	// queue included. It moves as long as the attempt is not stuck.
	Progress uint64 `json:"progress"`
	// Sent is the number of tokens written to the connection so far.
	Sent uint64 `json:"sent"`
}

// OrderKind names an order to an engine.
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
	// Fencing is the fencing number of the role that gives the order.
	Fencing int64 `json:"fencing"`
}

// Error is a failed attempt.
type Error struct {
	// Outcome tells whether the endpoint has run the request.
	Outcome api.Outcome
	// Lost is set when the connection broke after the request was sent, as it
	// does when the endpoint crashes.
	Lost bool
	// Busy is set when the endpoint refused for lack of capacity.
	Busy bool
	// Silent is set when the connection was given up after silence.
	Silent bool
	// Status is the HTTP status, if there was one.
	Status int
	// RetryAfter is the endpoint's wish.
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
