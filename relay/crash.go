package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/rollout"
	"github.com/corianderlever/corianderlever/upstream"
)

const (
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

// sharedParts returns the hashes of the parts of the prompt that other requests may
// have too. The last part belongs to the request or its session alone.
func (j *job) sharedParts() []limiter.Hash {
	if len(j.req.Parts) < 2 {
		return nil
	}
	var parts []limiter.Hash
	for _, p := range j.req.Parts[:len(j.req.Parts)-1] {
		parts = append(parts, limiter.HashStrings(p.ID))
	}
	return parts
}

// endpointStart identifies the start of an endpoint's process.
func endpointStart(e fleet.Endpoint) limiter.Hash {
	return limiter.HashStrings(e.ID, strconv.FormatInt(e.Started, 10))
}

// checkCrashGuard rejects a request that has crashed several endpoints, or that shares
// a part of its prompt with such requests.
func (j *job) checkCrashGuard() *ErrorResponse {
	detail := ""
	if j.relay.Crashes.Admit(j.hash).Admission != limiter.AdmitReject {
		i, rejected := j.relay.Parts.Rejects(j.parts)
		if !rejected {
			return nil
		}
		detail = "prompt part " + j.req.Parts[i].ID + ", hash " + strconv.FormatUint(uint64(j.parts[i]), 10)
	}
	return &ErrorResponse{Status: http.StatusServiceUnavailable, Reason: "crashes_endpoints", Detail: detail, RetryAfter: crashRetryAfter}
}

// recordComplete records that an endpoint has completed an answer. An answer that ends
// with its connection looks complete also if the endpoint crashed between two events.
func (j *job) recordComplete(sl *slot, answer *upstream.Response) {
	if answer.EndsWithConnection() {
		return
	}
	j.relay.Crashes.RecordSuccess(j.hash)
	sl.run.Prove()
}

// investigateLoss finds out in the background why an endpoint has lost the connection of
// an attempt. A crash of the endpoint is recorded as caused by the request. If blame is
// set, the loss counts against the version of the endpoint. Neither happens if the links
// of this host are at fault.
func (j *job) investigateLoss(sl *slot, blame bool) {
	observation := j.observation(sl, rollout.Observation{Bad: true})
	sl.investigated, sl.observed = true, sl.observed || blame
	go func() {
		found := j.pool.paths.investigate(sl.endpoint)
		crashed := j.pool.paths.crashed(sl.endpoint, found)
		if crashed {
			j.logCrash(sl)
			j.relay.Crashes.RecordCrash(sl.endpoint.ID, []limiter.Hash{j.hash})
			j.relay.Parts.RecordCrash(endpointStart(sl.endpoint))
		}
		if blame && (crashed || found == endpointAccepts) {
			j.relay.Versions.Observe(j.pool.service, sl.endpoint.Version, observation)
		}
	}()
}

func (j *job) logCrash(sl *slot) {
	j.relay.Logger.Warn("endpoint crashed while running a request", "request", j.req.ID, "endpoint", sl.endpoint.ID, "hash", uint64(j.hash), "parts", j.partIDs())
}

// partIDs returns the ids of the shared parts for the log.
func (j *job) partIDs() string {
	var ids []string
	for _, p := range j.req.Parts[:len(j.parts)] {
		ids = append(ids, p.ID)
	}
	return strings.Join(ids, ",")
}

// checkFailedDial checks in the background whether other endpoints accept connections
// after one did not. It records a crash if the endpoint refuses connections shortly after
// it had a request of this host whose prompt is not known to be sound.
func (j *job) checkFailedDial(sl *slot, err error) {
	j.pool.paths.failed(sl.endpoint.ID, err)
	go func() {
		start := endpointStart(sl.endpoint)
		if j.pool.paths.othersAccept(sl.endpoint) && upstream.Refused(err) && !j.pool.paths.stops(sl.endpoint) && j.relay.Parts.Watches(start) {
			j.relay.Parts.RecordCrash(start)
		}
	}()
}

// droppedCheckDelay is the time after which the host checks whether an endpoint has
// crashed on a request whose answer the host dropped.
const droppedCheckDelay = 250 * time.Millisecond

// endRun ends an attempt for the guard. If the host dropped the answer, for a larger
// model or because the caller left, it does not see the endpoint crash on the request,
// so it checks the endpoint.
func (j *job) endRun(sl *slot) {
	if !sl.run.End() || sl.investigated {
		return
	}
	j.relay.Clock.AfterFunc(droppedCheckDelay, func() {
		if !j.pool.paths.crashed(sl.endpoint, j.pool.paths.investigate(sl.endpoint)) {
			return
		}
		j.logCrash(sl)
		j.relay.Parts.RecordCrash(endpointStart(sl.endpoint))
	})
}
