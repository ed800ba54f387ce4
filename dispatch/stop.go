package dispatch

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/internal/drain"
)

// Codes in logs and metrics of requests that were cancelled. Callers never see them.
const (
	codeStopping   = "host_stopping"
	codeCallerLeft = "caller_left"
)

// stopRetryMS is the time after which the caller of a request that has not run may send it
// to another host, in milliseconds. Other hosts can take it at once.
const stopRetryMS = 100

// endedByStop replaces the error of a request that was cancelled because this host stops. The
// codes are those that callers of earlier releases retry.
func endedByStop(ctx context.Context, err error, mayHaveRun bool) error {
	if err == nil || !drain.Stopping(ctx) || isDecision(err) {
		return err
	}
	out := apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "this host is stopping, the request has not run")
	if mayHaveRun {
		out = apiError(http.StatusBadGateway, api.CodeEndpointFailed, "this host is stopping and has ended the request")
		out.Outcome = api.OutcomeUnknown
		return out
	}
	out.RetryAfterMS = stopRetryMS
	return out
}

// isDecision reports whether an error is about the request itself, so that it holds at any
// host. An overloaded host is not.
func isDecision(err error) bool {
	var decided *api.Error
	return errors.As(err, &decided) && decided.Status < http.StatusInternalServerError && decided.Code != api.CodeOverloaded
}

// cancelCode returns the code for logs and metrics of a request that was cancelled; empty if
// it was not.
func cancelCode(ctx context.Context) string {
	switch {
	case ctx.Err() == nil:
		return ""
	case drain.Stopping(ctx):
		return codeStopping
	case errors.Is(ctx.Err(), context.Canceled):
		return codeCallerLeft
	}
	return ""
}
