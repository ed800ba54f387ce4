// Package runlease keeps a request that one host passes on to another from being served by two
// of them at once.
//
// The host that serves a request for another one, the holder, does so under a lease, which the
// host that passed the request on, the grantor, grants when it is asked. The holder counts the
// lease from the moment at which it asked, the grantor from the later one at which it granted.
// So the lease of the holder ends first, whatever happens to the messages between the two: a
// grantor that can't reach the holder any more waits for the end by its own count, and the
// request may go on elsewhere then. Until that, the holder renews the lease.
package runlease

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// MethodRenew asks a grantor for leases, new ones or their renewal.
	MethodRenew = "runlease.Renew"
	// MethodRevoke tells a holder to end its work on a request.
	MethodRevoke = "runlease.Revoke"
)

const (
	// ttl is the time for which a lease is granted. A host waits longer for the probes of a
	// connection (forward), so that a lost path is seldom waited for twice.
	ttl = 2500 * time.Millisecond
	// renewInterval is the time between two renewals.
	renewInterval = 600 * time.Millisecond
	// checkInterval is the time between two looks at the ends of leases.
	checkInterval = 100 * time.Millisecond
	// margin is the time that a grantor waits beyond the end of a lease. It covers
	// checkInterval, and hosts whose clocks differ in speed or that are short of processor time.
	margin = 300 * time.Millisecond
	// askTimeout is the time after which a holder that knows leases has asked for one. A host of
	// an earlier release asks for none.
	askTimeout = 1200 * time.Millisecond
	// unleasedTime is the time after which a host of an earlier release, if it has sent nothing
	// meanwhile, ends its work on a request for a host that finds their connection lost. The
	// probes of its own connection end two seconds later.
	unleasedTime = 2500 * time.Millisecond
)

// ErrEnded is the cause with which the context of a request ends whose lease was revoked or has
// expired.
var ErrEnded = errors.New("runlease: lease ended")

// ErrDenied reports that a grantor has not granted a lease.
var ErrDenied = errors.New("runlease: lease denied")

// renewal is the message of MethodRenew.
type renewal struct {
	Leases []string `json:"leases"`
}

// renewed is the answer to a renewal.
type renewed struct {
	// Granted lists the leases that are granted until TTL after the holder has asked.
	Granted []string      `json:"granted"`
	TTL     time.Duration `json:"ttl"`
}

// revocation is the message of MethodRevoke. It is answered when the holder no longer works on
// the request.
type revocation struct {
	Lease string `json:"lease"`
}
