package router

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/relay"
)

// TestAcceptanceDuringAStop guards against a stopping host that takes on a request which it
// is going to cut, or rejects one that it can serve.
func TestAcceptanceDuringAStop(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(label string) time.Duration {
			return time.Duration(rapid.Int64Range(0, 40_000).Draw(t, label)) * time.Millisecond
		}
		since, cutAt, later := duration("since the signal"), duration("cut"), duration("later")
		p := relay.Prospect{Timeout: duration("timeout"), Expected: duration("expected")}
		accepted := acceptsDuringStop(since, cutAt-since, p)
		bounded := p.Timeout > 0 && p.Timeout <= cutAt-since
		switch {
		case cutAt <= since && accepted:
			t.Fatal("accepted although the requests have been cut")
		case bounded && !accepted:
			t.Fatal("rejected although it is answered before the cut")
		case !bounded && accepted && since >= acceptAllTime:
			t.Fatal("accepted late without a bound")
		case !bounded && accepted && p.Expected > cutAt-since:
			t.Fatal("accepted although it is expected to be cut")
		case since < min(cutAt, acceptAllTime) && p.Expected <= cutAt-since && !accepted:
			t.Fatal("rejected although it is expected to end before the cut")
		}
		if !accepted && acceptsDuringStop(since+later, cutAt-since-later, p) {
			t.Fatal("accepted later than it was rejected")
		}
		longer := relay.Prospect{Timeout: p.Timeout + later, Expected: p.Expected + later}
		if p.Timeout > 0 && !accepted && acceptsDuringStop(since, cutAt-since, longer) {
			t.Fatal("a longer request is accepted where a shorter one is not")
		}
	})
}
