package dispatch

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// ErrStopping is the cancellation cause of the requests that a host ends because it stops.
var ErrStopping = errors.New("dispatch: this host is stopping")

// Codes in logs and metrics of requests that were cancelled. Callers never see them.
const (
	codeStopping   = "host_stopping"
	codeCallerLeft = "caller_left"
)

// stopRetryMS is the time after which the caller of a request that has not run may send it
// to another host, in milliseconds. Other hosts can take it at once.
const stopRetryMS = 100

// Stopping reports whether a request was cancelled because this host stops, and not because
// its caller has left.
func Stopping(ctx context.Context) bool { return errors.Is(context.Cause(ctx), ErrStopping) }

// endedByStop replaces the error of a request that was cancelled because this host stops. The
// codes are those that callers of earlier releases retry.
func endedByStop(ctx context.Context, err error, mayHaveRun bool) error {
	if err == nil || !Stopping(ctx) || isDecision(err) {
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
	case Stopping(ctx):
		return codeStopping
	case errors.Is(ctx.Err(), context.Canceled):
		return codeCallerLeft
	}
	return ""
}
