package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// crashDialTimeout bounds the connection attempt that checks whether an
	// endpoint has crashed.
	crashDialTimeout = 300 * time.Millisecond
	// crashRetryAfter is the Retry-After of a request that crashes endpoints.
	crashRetryAfter = 30 * time.Second
)

// contentHash identifies the content of a request. It leaves out the request's id, so
// that every host recognises a retry by the caller under another id.
func (j *job) contentHash() limiter.Hash {
	h := xxhash.New()
	for _, part := range []string{j.req.Method, j.req.Host, j.req.Target, j.team} {
		// A hash never returns an error.
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(j.req.Body)
	return limiter.Hash(h.Sum64())
}

// checkCrashGuard rejects a request that has crashed several endpoints.
func (j *job) checkCrashGuard() *ErrorResponse {
	if j.relay.Crashes.Admit(j.hash).Admission != limiter.AdmitReject {
		return nil
	}
	return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "crashes_endpoints", RetryAfter: crashRetryAfter}
}

// checkForCrash checks in the background whether an endpoint that lost the
// connection still accepts connections, and records a crash caused by the request
// if it does not. The loss of a single connection is not a crash.
func (j *job) checkForCrash(ctx context.Context, sl *slot) {
	r, hash, e := j.relay, j.hash, sl.endpoint
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, crashDialTimeout)
		defer cancel()
		if r.Client.Dial(ctx, e.Address) == nil {
			return
		}
		r.Logger.Warn("endpoint crashed while running a request", "request", j.req.ID, "endpoint", e.ID, "hash", uint64(hash))
		r.Crashes.RecordCrash(e.ID, []limiter.Hash{hash})
	}()
}
