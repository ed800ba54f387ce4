package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// crashDialTimeout bounds the look at an endpoint that lost a connection.
	crashDialTimeout = 300 * time.Millisecond
	// crashRetry is when a request that crashes endpoints may be tried again.
	crashRetryAfter = 30 * time.Second
)

// contentHash identifies what a caller asks for, without the id of the attempt,
// so that a repeat is recognised at any host.
func (j *job) contentHash() limiter.Hash {
	h := xxhash.New()
	for _, part := range []string{j.req.Method, j.req.Host, j.req.Target, j.team} {
		// A hash never returns an error.
		_, _ = h.WriteString(part + "\x00")
	}
	_, _ = h.Write(j.req.Body)
	return limiter.Hash(h.Sum64())
}

// checkCrashes refuses a request that has crashed several endpoints.
func (j *job) checkCrashes() *ErrorResponse {
	if j.relay.Crashes.Admit(j.hash).Admission != limiter.AdmitReject {
		return nil
	}
	return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "crashes_endpoints", RetryAfter: crashRetryAfter}
}

// suspectCrash finds out in the background whether an endpoint that lost the
// connection is down, and marks the request then. A fault of one connection is
// no crash.
func (j *job) checkForCrash(ctx context.Context, sl *slot) {
	r, hash, e := j.relay, j.hash, sl.endpoint
	ctx = context.WithoutCancel(ctx)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, crashDialTimeout)
		defer cancel()
		if r.Client.Dial(ctx, e.Address) == nil {
			return
		}
		r.Logger.Warn("endpoint crashed under a request", "request", j.req.ID, "endpoint", e.ID, "hash", uint64(hash))
		r.Crashes.RecordCrash(e.ID, []limiter.Hash{hash})
	}()
}
