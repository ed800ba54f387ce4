package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/balance"
)

// Request is one opaque request of a caller, as the edge has decoded it.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	// Target is the request target as it was sent; Path is its path.
	Target, Path string
	Host         string
	// Header holds the headers that are passed on to endpoints.
	Header http.Header
	Body   []byte
	// Key is the caller's key; empty if it sent none.
	Key string
	// Timeout is how long the caller waits from now on; zero if it did not say.
	Timeout time.Duration
	// Session names the requests that belong together; empty for none.
	Session string
	// LastEvent is the id of the last event that the caller has of a stream;
	// negative if it has none.
	LastEvent int64
	// Model is the model that the caller asks for.
	Model string
	// Parts are the parts of the prompt, the last of which is the request's own.
	Parts []balance.PromptPart
	// PromptTokens and MaxOutputTokens are the size of the request.
	PromptTokens, MaxOutputTokens int
	// OutputHint is the caller's estimate of the length of the answer, zero if
	// there is none.
	OutputHint int
}

// session returns the key by which requests that belong together find the same
// version.
func (r *Request) session() string {
	if r.Session != "" {
		return r.Session
	}
	return r.ID
}

// ownTokens returns the prompt tokens that no other request shares.
func (r *Request) unsharedTokens() int {
	if n := len(r.Parts); n > 0 {
		return r.Parts[n-1].Tokens
	}
	return r.PromptTokens
}

// Attempt is what an endpoint is told beside the caller's own headers.
type Attempt struct {
	// Endpoint is the ID of the endpoint that must answer.
	Endpoint string
	// Remaining is the time until the caller gives up.
	Remaining time.Duration
	// Team is the caller's team; empty for requests without a key.
	Team string
	// Model is the model to run; empty for plain services.
	Model string
	// Urgency orders the requests at an engine, 0 first; negative leaves it open.
	Urgency int
	// LastEvent is the last event that need not be sent again; negative for none.
	LastEvent int64
}

// Reply is what the header of an endpoint's answer says.
type Reply struct {
	// ID is the attempt that the answer belongs to; empty if it does not say.
	ID string
	// Signed is set if the answer carries the signature of an endpoint.
	Signed bool
	// NotRun states that the endpoint did not run the request.
	NotRun bool
	// Confidence is the model's opinion of its answer, 0 to 100; -1 if not given.
	Confidence int
	// Load is the endpoint's own account of its load; nil if it does not say.
	Load *Load
}

// Load is an endpoint's own account of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Codec knows the names of the headers between the system and the endpoints.
type Codec interface {
	// Encode sets the headers of an attempt.
	Encode(h http.Header, a Attempt)
	// Decode reads the header of an answer.
	Decode(h http.Header) Reply
}

// ErrorResponse is a final answer of the host's own.
type ErrorResponse struct {
	Status int
	// RetryAfter tells the caller when to come back; zero leaves it open.
	RetryAfter time.Duration
	// Reason is a short word for logs and metrics.
	Reason string
	// Detail holds what decided.
	Detail string
}

// Error implements error.
func (r *ErrorResponse) Error() string { return r.Reason + ": " + r.Detail }

// NotRun reports whether the status promises that the request has not run.
func (r *ErrorResponse) NotRun() bool {
	switch r.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return true
	}
	return false
}

// Write sends the response.
func (r *ErrorResponse) Write(w http.ResponseWriter) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.Status)
}
