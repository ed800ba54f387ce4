package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// Bounds stated by the settings of the deployment.
const (
	revocationBound = 5 * time.Second
	drainBound      = 2 * time.Second
	stopTimeout     = 8 * time.Second
	// contactBound is the time after the fifth crash from which at most
	// maxCrashRequests requests may reach engines on the part that crashes them.
	contactBound     = 3 * time.Second
	maxCrashRequests = 3
	// rateLimit is the number of requests per second that one engine takes. In
	// rateWindow it may get 1.5 times that and rateExtra requests.
	rateLimit  = 2.0
	rateWindow = 4 * time.Second
	rateExtra  = 5
)

// History is the record of a run as callers and endpoints observed it.
type History struct {
	Calls []Call
	Runs  []platformtest.Run
	// Stops are the graceful shutdowns of hosts.
	Stops []Stop
	// Helpers are the names of the hosts that served a call for its host, by the id of the
	// call. It is empty in a run with retries: they go on with what a helper leaves at its end.
	Helpers map[string][]string
	// Disturbances are those of the hosts, by the IP address from which they send runs.
	Disturbances map[string]Disturbances
	// Events is the number of events in a complete stream.
	Events int
	// Revoked is the time at which the store acknowledged the revocation of a key.
	Revoked time.Time
}

// Check returns a description of each violated guarantee.
func (h *History) Check() []string {
	var violations []string
	runs := h.runsByCall()
	for _, r := range h.Runs {
		if r.Team != platformtest.TeamName || r.Key {
			violations = append(violations, fmt.Sprintf("run for team %q, API key forwarded %t: %+v", r.Team, r.Key, r))
		}
	}
	for i := range h.Calls {
		c := &h.Calls[i]
		ran := runs[c.ID]
		if c.Kind == Book && len(ran) > 1 {
			violations = append(violations, fmt.Sprintf("booking %s ran %d times", c.ID, len(ran)))
		}
		if reportsNotRun(c.Status) && len(ran) > 0 {
			violations = append(violations, fmt.Sprintf("%s got status %d, which denies a run, but ran: %+v", c.ID, c.Status, ran[0]))
		}
		if c.Answered() && c.Kind != Crash && c.Body != h.wantBody(c) {
			violations = append(violations, fmt.Sprintf("%s got wrong body %q", c.ID, c.Body))
		}
		if c.Kind == Stream && c.Incomplete && !strings.HasPrefix(h.wantBody(c), c.Body) {
			violations = append(violations, fmt.Sprintf("%s got an interrupted stream with wrong events: %q", c.ID, c.Body))
		}
		if c.Key == platformtest.RevokedKey && !h.Revoked.IsZero() && c.Sent.After(h.Revoked.Add(revocationBound)) && len(ran) > 0 {
			violations = append(violations, fmt.Sprintf("%s ran %v after its key was revoked", c.ID, ran[0].At.Sub(h.Revoked)))
		}
	}
	return append(violations, h.checkOverlaps(runs)...)
}

// reportsNotRun reports whether the status states that the request did not run.
func reportsNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// wantBody returns the complete response body expected for a call.
func (h *History) wantBody(c *Call) string {
	if c.Kind != Stream {
		return c.ID + " " + c.Kind.path() + c.ID
	}
	var b strings.Builder
	for i := 1; i <= cmp.Or(c.Work.Events, h.Events); i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", i, c.ID, i)
	}
	return b.String()
}

// checkCrashes adds a violation if requests still crash engines after from, when all
// hosts have been in contact for some time.
func (s *soak) checkCrashes(from time.Time) {
	before, after := 0, 0
	for _, r := range s.history.Runs {
		switch {
		case !r.Crashes:
		case r.At.Before(from.Add(-contactBound)):
			before++
		case !r.At.Before(from):
			after++
		}
	}
	s.log("%d requests with a part that crashes engines reached one, %d after recovery", before, after)
	if before >= 5 && after > maxCrashRequests {
		s.addViolation("%d requests with a part that had crashed %d engines reached engines after %v", after, before, contactBound)
	}
}

// checkRateLimit adds a violation if the engine that names a rate limit gets more after
// from.
func (s *soak) checkRateLimit(from time.Time) {
	limited := s.d.Engines[0].ID
	var arrivals []time.Time
	for _, r := range s.history.Runs {
		if r.Endpoint == limited && !r.At.Before(from) {
			arrivals = append(arrivals, r.At)
		}
	}
	most := 0
	for _, start := range arrivals {
		n := 0
		for _, at := range arrivals {
			if !at.Before(start) && at.Sub(start) < rateWindow {
				n++
			}
		}
		most = max(most, n)
	}
	s.log("the engine with a limit of %v a second got at most %d requests in %v", rateLimit, most, rateWindow)
	if allowed := 1.5*rateLimit*rateWindow.Seconds() + rateExtra; float64(most) > allowed {
		s.addViolation("an engine with a limit of %v a second got %d requests in %v, want at most %v", rateLimit, most, rateWindow, allowed)
	}
}
