package soak

import (
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// TestCheckUnanswered guards against a check that excuses calls that a stopping host left
// without a response, or that blames the host for calls that it could not answer.
func TestCheckUnanswered(t *testing.T) {
	term := time.Unix(1000, 0)
	at := func(s float64) time.Time { return term.Add(time.Duration(s * float64(time.Second))) }
	stop := Stop{Host: "host-1", Address: "a", Term: term, Exit: at(7.5)}
	call := func(sent, ended float64) Call {
		return Call{ID: "x", Kind: Stream, Host: "a", Sent: at(sent), Written: at(sent), Ended: at(ended), Timeout: longCallTimeout, Incomplete: true}
	}
	runOf := func(id string, from, to float64) []platformtest.Run {
		return []platformtest.Run{{Attempt: id, At: at(from), Ended: at(to)}}
	}
	run := func(from, to float64) []platformtest.Run { return runOf("x", from, to) }
	complete := call(1, 3)
	complete.Incomplete, complete.Status = false, 503
	notSent := call(1, 3)
	notSent.Written = time.Time{}
	elsewhere := call(1, 7.4)
	elsewhere.Host = "b"
	helped, helpedEarly := call(-1, 7.4), call(1, 3)
	helped.Host, helpedEarly.Host = "b", "b"
	helped.ID, helpedEarly.ID = "helped", "helped"
	for name, c := range map[string]struct {
		call Call
		runs []platformtest.Run
		want int
	}{
		"rejected":                            {complete, nil, 0},
		"not sent":                            {notSent, nil, 0},
		"closed before it was read":           {call(3, 3.01), nil, 0},
		"read and held without a run":         {call(1, 7.4), nil, 1},
		"cut early":                           {call(-2, 0.6), run(-2, 0.6), 1},
		"cut before the last part":            {call(1, 6.6), run(1, 6.6), 1},
		"cut at work in the last part":        {call(2.9, 7.4), run(3, 7.4), 0},
		"sent late":                           {call(3.1, 7.4), run(3.1, 7.4), 1},
		"cut in the last part, work was over": {call(1, 7.4), run(1, 2), 1},
		"cut in time after its own timeout":   {call(-20, 0.1), run(-20, 0.1), 0},
		"the host was not stopping":           {elsewhere, run(1, 7.4), 1},
		"cut at work at the end of a helper":  {helped, runOf("helped", -1, 7.4), 0},
		"cut early at a helper":               {helpedEarly, runOf("helped", 1, 3), 1},
	} {
		h := History{Calls: []Call{c.call}, Runs: c.runs, Stops: []Stop{stop}, Helpers: map[string][]string{"helped": {"host-1"}}}
		if got := h.checkUnanswered(t.Logf); len(got) != c.want {
			t.Errorf("%s: got violations %q, want %d", name, got, c.want)
		}
	}
}
