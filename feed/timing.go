package feed

import "time"

// Timing holds the waits and ages that decide how late a change can reach a host. They
// follow from the time in which it has to: the state of a host that nothing disturbs is
// confirmed within Wait, and one that is not has time to get a fresher one elsewhere.
type Timing struct {
	// Wait is the age that the state of a host that follows the store reaches while
	// nothing changes: the store holds a call for that long.
	Wait time.Duration
	// Pause is the time before the next call to the store after one that returned
	// changes, so that changes in quick succession cost one call.
	Pause time.Duration
	// FreshAge is the age up to which a host's state is followed, and accepted without
	// asking further hosts.
	FreshAge time.Duration
	// StaleAge is the age from which a host looks for a fresher state at other hosts and
	// at the store, whatever its calls in progress may still bring.
	StaleAge time.Duration
	// QueryTime bounds that search at other hosts.
	QueryTime time.Duration
	// Hedge is the time without an answer after which the next host is asked as well, and
	// between the first calls of hosts that try the store in the place of others.
	Hedge time.Duration
}

// Upper limits of a Timing, reached where changes have much time.
const (
	maxWait     = 1200 * time.Millisecond
	maxPause    = 500 * time.Millisecond
	maxStaleAge = 2300 * time.Millisecond
	maxHedge    = 150 * time.Millisecond
)

// Shares of the time for a change. A host may learn of the loss of its source only once its
// state is stale; the rest is for the calls to others, some of which may not answer either.
const (
	waitShare  = 0.6
	pauseShare = 0.25
	hedgeShare = 0.05
	// staleShare is the part of the time beyond Wait.
	staleShare = 0.375
)

// minLimit is the shortest time for a change for which there is a timing.
const minLimit = 500 * time.Millisecond

// NewTiming returns the timing with which a change reaches all hosts within limit.
func NewTiming(limit time.Duration) Timing {
	limit = max(minLimit, limit)
	wait := min(maxWait, share(limit, waitShare))
	stale := min(maxStaleAge, wait+share(limit-wait, staleShare))
	return Timing{
		Wait: wait, Pause: min(maxPause, share(limit, pauseShare)),
		FreshAge: (wait + stale) / 2, StaleAge: stale, QueryTime: limit - stale, Hedge: min(maxHedge, share(limit, hedgeShare)),
	}
}

func share(d time.Duration, part float64) time.Duration { return time.Duration(part * float64(d)) }
