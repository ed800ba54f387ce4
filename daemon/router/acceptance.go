package router

import (
	"time"

	"github.com/corianderlever/corianderlever/relay"
)

// acceptAllTime is the time after the stop signal in which requests are accepted that may
// last longer than the host. Some callers still have an address list from before. It lies
// below the time for which they keep the list, since a busy host sees the signal late.
const acceptAllTime = 2500 * time.Millisecond

// acceptsDuringStop decides whether a stopping host accepts a request, some time after the
// stop signal and before the requests in flight are cancelled. One that cannot be expected
// to end in time is better served by another host from its beginning.
func acceptsDuringStop(sinceSignal, untilCut time.Duration, p relay.Prospect) bool {
	switch {
	case untilCut <= 0:
		return false
	case p.Timeout > 0 && p.Timeout <= untilCut:
		return true // it is answered before in any case
	case sinceSignal >= acceptAllTime:
		return false
	}
	return p.Expected <= untilCut
}
