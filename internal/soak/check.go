package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// Bounds that the deployment's settings state.
const (
	revocationBound = 5 * time.Second
	drainBound      = 2 * time.Second
	graceTime       = 8 * time.Second
)

// History is what callers and endpoints saw.
type History struct {
	Calls []Call
	Runs  []platformtest.Run
	// Events is the number of events of a whole stream.
	Events int
	// Revoked is when the store acknowledged that a key was taken away.
	Revoked time.Time
}

// Check returns the broken promises.
func (h *History) Check() []string {
	var bad []string
	runs := make(map[string][]platformtest.Run)
	for _, r := range h.Runs {
		runs[r.Attempt] = append(runs[r.Attempt], r)
		if r.Team != platformtest.TeamName || r.Key {
			bad = append(bad, fmt.Sprintf("ran for team %q, key shown %t: %+v", r.Team, r.Key, r))
		}
	}
	for i := range h.Calls {
		c := &h.Calls[i]
		ran := runs[c.ID]
		if c.Kind == Book && len(ran) > 1 {
			bad = append(bad, fmt.Sprintf("booking %s ran %d times", c.ID, len(ran)))
		}
		if promised(c.Status) && len(ran) > 0 {
			bad = append(bad, fmt.Sprintf("%s was answered %d and ran: %+v", c.ID, c.Status, ran[0]))
		}
		if c.Answered() && c.Body != h.want(c) {
			bad = append(bad, fmt.Sprintf("%s got %q", c.ID, c.Body))
		}
		if c.Kind == Talk && c.Cut && !strings.HasPrefix(h.want(c), c.Body) {
			bad = append(bad, fmt.Sprintf("%s got a broken stream out of order: %q", c.ID, c.Body))
		}
		if c.Key == platformtest.RevokedKey && !h.Revoked.IsZero() && c.Sent.After(h.Revoked.Add(revocationBound)) && len(ran) > 0 {
			bad = append(bad, fmt.Sprintf("%s ran %v after its key was revoked", c.ID, ran[0].At.Sub(h.Revoked)))
		}
	}
	return bad
}

// promised reports a status that says that the request has not run.
func promised(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// want returns the whole answer to a call.
func (h *History) want(c *Call) string {
	if c.Kind != Talk {
		return c.ID + " " + c.Kind.path() + c.ID
	}
	var b strings.Builder
	for i := 1; i <= h.Events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s/%d\n\n", i, c.ID, i)
	}
	return b.String()
}
