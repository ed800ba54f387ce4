// Package api defines the messages exchanged between callers and entry hosts.
package api

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxHeaderBytes bounds the header of a response that a client of the system accepts.
const MaxHeaderBytes = 64 << 10

// Outcome states whether a request has run, so that the caller can decide
// whether a retry is safe.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeNotRun means that no endpoint has run or will run the request.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeRun means that the request has run.
	OutcomeRun Outcome = "run"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Header names that callers and entry hosts use.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "X-Request-Id"
	HeaderRank           = "X-Rank"
	HeaderSession        = "X-Session"
	HeaderKind           = "X-Request-Kind"
	// HeaderForwardedBy names the host that has forwarded a request, which is not
	// forwarded again.
	HeaderForwardedBy = "X-Forwarded-By"
	HeaderOutcome     = "X-Outcome"
	// HeaderReplayed marks the stored response of an earlier run.
	HeaderReplayed = "X-Repeat"
)

// Error codes.
const (
	CodeUnauthorized      = "unauthorized"
	CodeForbidden         = "forbidden"
	CodeMalformed         = "malformed_request"
	CodeTooLarge          = "body_too_large"
	CodeSlowClient        = "client_too_slow"
	CodeUnknownModel      = "unknown_model"
	CodeUnknownService    = "unknown_service"
	CodeUnknownRank       = "unknown_rank"
	CodeBadSession        = "bad_session"
	CodeBadIdempotencyKey = "bad_idempotency_key"
	CodeOverloaded        = "overloaded"
	CodeDeadline          = "deadline_exceeded"
	CodeUnavailable       = "unavailable"
	CodeNotClaimed        = "not_claimed"
	CodeAlreadyRun        = "already_run"
	CodeKeyReused         = "key_reused"
	CodeCrashesEndpoints  = "request_crashes_endpoints"
	CodeEndpointFailed    = "endpoint_failed"
	CodeConflict          = "conflict"
	CodeInvalidResource   = "invalid_resource"
	CodeUnknownRequest    = "unknown_request"
	CodeUnknownPath       = "unknown_path"
)

// Error describes a failed or rejected request. ErrorBody carries it.
type Error struct {
	// Status is the HTTP status; it is not part of the body.
	Status int `json:"-"`
	// Code is one of the Code constants.
	Code string `json:"code"`
	// Message explains the error to a person.
	Message string `json:"message"`
	// Outcome states whether the request has run.
	Outcome Outcome `json:"outcome"`
	// RetryAfterMS is the time in milliseconds to wait before a retry.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// RequestID identifies the request in logs and in the bill.
	RequestID string `json:"request_id,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (outcome %s)", e.Code, e.Message, e.Outcome)
}

// ErrorBody wraps an Error in a response.
type ErrorBody struct {
	Error *Error `json:"error"`
}

// WriteError sends e as a response.
func WriteError(w http.ResponseWriter, e *Error) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, string(e.Outcome))
	if e.RetryAfterMS > 0 {
		retry := time.Duration(e.RetryAfterMS) * time.Millisecond
		w.Header().Set("Retry-After", strconv.Itoa(int((retry+time.Second-1)/time.Second)))
	}
	w.WriteHeader(e.Status)
	// The status has already been sent, so a write error cannot be reported.
	_ = json.NewEncoder(w).Encode(ErrorBody{Error: e})
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	// Model is the name of a model or a cascade, or "auto".
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	// Temperature, TopP and User are passed on to the engine.
	Temperature *float64 `json:"temperature,omitempty"`
	TopP        *float64 `json:"top_p,omitempty"`
	User        string   `json:"user,omitempty"`
}

// Usage counts tokens.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// Choice is one alternative of an answer. Responses always hold exactly one.
type Choice struct {
	Index        int      `json:"index"`
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Receipt describes how a request was served. It is sent once the answer is
// complete.
type Receipt struct {
	RequestID string `json:"request_id"`
	// Version is the version that produced the answer.
	Version string `json:"version"`
	// Tokens and Digest let the caller verify that the answer is complete.
	Tokens int    `json:"tokens"`
	Digest string `json:"digest"`
	// Cost is the billed cost in cost units.
	Cost float64 `json:"cost"`
	// Session is a signed token that pins later requests to the version.
	Session string `json:"session,omitempty"`
	// SessionMoved is true if the session moved to another version because its
	// version was withdrawn.
	SessionMoved bool `json:"session_moved,omitempty"`
	// MovedFrom is the version that the session had before it was moved.
	MovedFrom string `json:"moved_from,omitempty"`
}

// ChatResponse is a complete answer, or one event of a streamed answer.
type ChatResponse struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Receipt *Receipt `json:"receipt,omitempty"`
}

// SessionRequest is the body of POST /v1/sessions.
type SessionRequest struct {
	Model string `json:"model"`
}

// SessionResponse is the response to POST /v1/sessions.
type SessionResponse struct {
	Session string `json:"session"`
	Model   string `json:"model"`
	Version string `json:"version"`
}

// EntryAddress is one address that callers may use.
type EntryAddress struct {
	Address       string  `json:"address"`
	FailureDomain string  `json:"failure_domain"`
	Weight        float64 `json:"weight"`
}

// EntriesResponse is the response to GET /v1/entries.
type EntriesResponse struct {
	Entries []EntryAddress `json:"entries"`
	TTLMS   int64          `json:"ttl_ms"`
}

// Digest computes the digest of an answer incrementally.
type Digest struct {
	h hash.Hash64
}

// NewDigest starts the digest of the answer to a request. It includes the
// request id, so that the answer to another request does not match.
func NewDigest(requestID string) *Digest {
	d := &Digest{h: xxhash.New()}
	d.Add(requestID)
	return d
}

// Add appends text to the answer. The digest does not depend on how the text
// is split over calls.
func (d *Digest) Add(text string) {
	// Writing to a hash never returns an error.
	_, _ = d.h.Write([]byte(text))
}

// Sum returns the digest as hex.
func (d *Digest) Sum() string { return hex.EncodeToString(d.h.Sum(nil)) }
