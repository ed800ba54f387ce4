package soak

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	// gracePeriod is the time from SIGTERM to the end of a process by the settings.
	gracePeriod = stopTimeout
	// lastWork is the time after SIGTERM from which on a stream that still runs may be
	// cut, if it was sent at most lateSend after SIGTERM.
	lastWork = gracePeriod * 5 / 6
	lateSend = 3 * time.Second
	// readSlack is the time after which a host must have read a request on an open
	// connection.
	readSlack = time.Second
)

// checkUnanswered returns the calls that a host had read and that got no complete
// response although neither their time nor that of the host was over.
func (h *History) checkUnanswered(logf func(format string, args ...any)) []string {
	runs := h.runsByCall()
	var violations []string
	var stats struct{ stopping, cut, unread int }
	for i := range h.Calls {
		c, ran := &h.Calls[i], runs[h.Calls[i].ID]
		stops := h.stopsDuring(c)
		if len(stops) > 0 {
			stats.stopping++
		}
		switch {
		case c.Written.IsZero() || !c.Incomplete || c.Ended.Sub(c.Sent) >= c.Timeout:
		case len(ran) == 0 && c.Ended.Sub(c.Written) < readSlack:
			stats.unread++
		case slices.ContainsFunc(stops, func(s *Stop) bool { return workedToTheEnd(c, ran, s) }):
			stats.cut++
		default:
			violations = append(violations, describeUnanswered(c, ran, stops))
		}
	}
	logf("%d calls met a stopping host; %d were cut at work at the end of the grace period, %d were not read", stats.stopping, stats.cut, stats.unread)
	return violations
}

// stopsDuring returns the shutdowns of the call's host, and of its helpers, that ran when the
// call ended.
func (h *History) stopsDuring(c *Call) []*Stop {
	var stops []*Stop
	for i := range h.Stops {
		s := &h.Stops[i]
		serves := s.Address == c.Host || slices.Contains(h.Helpers[c.ID], s.Host)
		if serves && !c.Ended.Before(s.Term) && c.Sent.Before(s.Exit) {
			stops = append(stops, s)
		}
	}
	return stops
}

// workedToTheEnd reports whether an endpoint still worked on the call when the last part
// of the grace period began, and the call was sent early enough.
func workedToTheEnd(c *Call, runs []platformtest.Run, s *Stop) bool {
	last := s.Term.Add(lastWork)
	if c.Ended.Before(last) || c.Sent.After(s.Term.Add(lateSend)) {
		return false
	}
	for _, r := range runs {
		if r.At.Before(c.Ended) && (r.Ended.IsZero() || !r.Ended.Before(last)) {
			return true
		}
	}
	return false
}

func describeUnanswered(c *Call, runs []platformtest.Run, stops []*Stop) string {
	text := fmt.Sprintf("%s got no complete response: status %d, %d bytes, %q, %v after it was sent, %d runs, work %+v",
		c.ID, c.Status, len(c.Body), c.Err, c.Ended.Sub(c.Sent).Round(time.Millisecond), len(runs), c.Work)
	if len(stops) == 0 {
		return text + "; its host " + c.Host + " was not stopping"
	}
	s := stops[0]
	since := func(t time.Time) time.Duration { return t.Sub(s.Term).Round(time.Millisecond) }
	text += fmt.Sprintf("; sent %v and cut %v after SIGTERM to %s, which exited after %v", since(c.Sent), since(c.Ended), s.Host, since(s.Exit))
	for _, r := range runs {
		text += fmt.Sprintf("; at %s from %v", r.Endpoint, since(r.At))
		if !r.Ended.IsZero() {
			text += fmt.Sprintf(" to %v", since(r.Ended))
		}
	}
	return text
}

// runsByCall returns the runs by the id of their call.
func (h *History) runsByCall() map[string][]platformtest.Run {
	runs := make(map[string][]platformtest.Run)
	for _, r := range h.Runs {
		runs[r.Attempt] = append(runs[r.Attempt], r)
	}
	return runs
}

// helpedLine matches the line that a host logs at the end of a request of another host.
var helpedLine = regexp.MustCompile(`msg=request self=\S+ request=(\S+) from=host-`)

// helped returns the ids of the calls that the host has served for another one.
func (h *Host) helped() ([]string, error) {
	log, err := os.ReadFile(h.log)
	if err != nil {
		return nil, err
	}
	var ids []string
	for _, m := range helpedLine.FindAllSubmatch(log, -1) {
		ids = append(ids, string(m[1]))
	}
	return ids, nil
}
