package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/corianderlever/corianderlever/balance"
)

// Request is one opaque request of a caller, decoded by the platform's front end.
type Request struct {
	// ID is the id that the caller gave the request. A retry by the caller has
	// another id.
	ID     string `json:"id"`
	Method string `json:"method"`
	// Target is the request target as it was sent; Path is its path.
	Target string `json:"target"`
	Path   string `json:"path"`
	Host   string `json:"host"`
	// Header holds the headers that are passed on to endpoints.
	Header http.Header `json:"header,omitempty"`
	Body   []byte      `json:"-"`
	// Key is the caller's key; empty if it sent none.
	Key string `json:"key,omitempty"`
	// Timeout is how long the caller waits, counted from arrival; zero if not
	// given.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Session identifies the session of the request; empty for none.
	Session string `json:"session,omitempty"`
	// LastEvent is the id of the last stream event that the caller has received;
	// negative for none.
	LastEvent int64 `json:"last_event"`
	// Model is the requested model.
	Model string `json:"model,omitempty"`
	// Parts are the parts of the prompt. All but the last may be shared with other
	// requests.
	Parts []balance.PromptPart `json:"parts,omitempty"`
	// PromptTokens is the length of the prompt and MaxOutputTokens the maximum
	// length of the answer, in tokens.
	PromptTokens    int `json:"prompt_tokens,omitempty"`
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
	// OutputHint is the caller's estimate of the length of the answer in tokens;
	// zero for none.
	OutputHint int `json:"output_hint,omitempty"`
}

// sessionKey returns the key that maps all requests of a sessionKey to one version. A
// request without a sessionKey is a sessionKey of its own.
func (r *Request) sessionKey() string {
	if r.Session != "" {
		return r.Session
	}
	return r.ID
}

// unsharedTokens returns the number of prompt tokens that the request shares with
// no other.
func (r *Request) unsharedTokens() int {
	if n := len(r.Parts); n > 0 {
		return r.Parts[n-1].Tokens
	}
	return r.PromptTokens
}

// Attempt is the information about an attempt that the endpoint receives in addition
// to the caller's headers.
type Attempt struct {
	// Endpoint is the ID of the endpoint that must answer.
	Endpoint string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Team is the caller's team; empty for requests without a key.
	Team string
	// Model is the model to run; empty for plain services.
	Model string
	// Priority is the priority at the engine, 0 being the highest; negative for
	// none.
	Priority int
	// LastEvent is the id of the event after which the stream resumes; negative
	// for none.
	LastEvent int64
}

// Reply is the information in the header of an endpoint's answer.
type Reply struct {
	// ID is the id of the request that the answer belongs to; empty if not given.
	ID string
	// Signed is set if the answer carries the signature of an endpoint.
	Signed bool
	// NotRun states that the endpoint did not run the request.
	NotRun bool
	// Confidence is the model's confidence in its answer, 0 to 100; -1 if not
	// given.
	Confidence int
	// Load is the load that the endpoint reports; nil if not given.
	Load *Load
	// RateLimit is the number of requests a second that the endpoint takes from all
	// hosts together; zero if it named no limit.
	RateLimit float64
	// Leaving is set if the endpoint is about to stop and wants no more requests.
	Leaving bool
	// Brittle is set if the endpoint cannot bear to reject many requests at this time.
	Brittle bool
	// RetryAfter is how long an endpoint that has rejected the request wants no more
	// requests from this host; zero if it did not say.
	RetryAfter time.Duration
}

// Load is the load that an endpoint reports: requests running and waiting, and
// slots in total.
type Load struct {
	Running, Waiting, Slots int
}

// Codec translates between the relay's types and the headers that router and
// endpoints exchange.
type Codec interface {
	// Encode sets the headers of an attempt.
	Encode(h http.Header, a Attempt)
	// Decode parses the header of an answer.
	Decode(h http.Header) Reply
}

// ErrorResponse is an error response that the relay generates itself instead of
// forwarding an endpoint's answer.
type ErrorResponse struct {
	Status int
	// RetryAfter is the time after which the caller may retry; zero sends none.
	RetryAfter time.Duration
	// Reason is the outcome of the request in logs and metrics.
	Reason string
	// Detail is the cause, for the log.
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

// Write sends the response to the caller.
func (r *ErrorResponse) Write(w http.ResponseWriter) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(r.Status)
}
