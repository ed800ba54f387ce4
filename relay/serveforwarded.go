package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"
)

// ServeForwarded answers a request that another host has forwarded to this one. It never
// forwards the request again. ctx must end when the host that forwards it disconnects.
func (r *Relay) ServeForwarded(ctx context.Context, w http.ResponseWriter, from string, f Forwarded) {
	now := r.Clock.Now()
	f.Request.Timeout = max(time.Millisecond, f.TimeLeft)
	j := &job{
		relay: r, req: f.Request, w: w, arrived: now, lastEvent: f.LastEvent, from: from, exclude: f.Exclude, avoid: f.Unreached,
		delivered: f.Delivered, possibleRuns: f.Runs, deliveredBefore: f.Delivered, runsBefore: f.Runs,
		firstVersion: f.Version, modelIndex: f.ModelIndex, headerSentBefore: f.HeaderSent,
		acceptedTeam: f.Team, acceptedPriority: f.Priority,
	}
	r.Logger.Info("forwarded request began", "request", f.Request.ID, "from", from, "left_ms", f.TimeLeft.Milliseconds(), "runs", f.Runs, "last_event", f.LastEvent)
	errResp := j.run(ctx)
	j.finish(ctx, errResp)
}

// markAnswer adds what the host needs to know that forwarded the request; it must be called
// before the header of the answer is sent.
func (j *job) markAnswer(outcome, detail string) {
	if j.from == "" {
		return
	}
	const maxDetailBytes = 256
	if outcome == ReasonHostStopping {
		outcome = ReasonStopping // the host that forwards may know only this one
	}
	h := j.w.Header()
	h.Set(headerOutcome, outcome)
	h.Set(headerDetail, detail[:min(len(detail), maxDetailBytes)])
	h.Set(headerEndpoint, j.endpoint)
	if outcome != outcomeAnswered {
		h[headerUnreached] = j.unreached
	}
	h.Set(headerDelivered, strconv.Itoa(j.delivered-j.deliveredBefore))
	h.Set(headerRuns, strconv.Itoa(j.possibleRuns-j.runsBefore))
}

// RejectForwarded answers a forwarded request that this host does not take.
func RejectForwarded(w http.ResponseWriter, reason string) {
	h := w.Header()
	h.Set(headerOutcome, reason)
	h.Set(headerDelivered, "0")
	h.Set(headerRuns, "0")
	(&ErrorResponse{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: shortRetryAfter}).Write(w)
}
