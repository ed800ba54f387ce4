// Package membership keeps the list of entry hosts by heartbeats: random
// pings, indirect probes before suspicion, suspicion before removal, and
// incarnations by which a suspected host refutes.
//
// Table holds the rules and does no I/O. Membership drives it over the network.
package membership

import (
	"cmp"
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package.
var (
	// ErrOptions reports unusable options.
	ErrOptions = errors.New("membership: invalid options")
	// ErrMessage reports a malformed message.
	ErrMessage = errors.New("membership: malformed message")
)

// State is what is known about a member. Within one incarnation the higher
// state prevails.
type State int

// The states in rising order.
const (
	// Alive members answer.
	Alive State = iota
	// Suspect members did not answer directly or through others.
	Suspect
	// Leaving members finish their work and take no new work. A leaving
	// member is never Suspect or Failed: when it stops answering, it is Left.
	Leaving
	// Failed members stayed suspect for the suspicion time.
	Failed
	// Left members ended after Leaving.
	Left
)

// String implements fmt.Stringer.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	case Failed:
		return "failed"
	case Left:
		return "left"
	}
	return "unknown"
}

// Live reports whether the member's process is believed to run.
func (s State) Live() bool { return s <= Leaving }

// Member is what one host states or observes about a host. The JSON names are
// short because records travel in every heartbeat.
type Member struct {
	// Host is the unique name of the host.
	Host string `json:"h"`
	// PeerAddress is the IP:port for calls between hosts.
	PeerAddress string `json:"p"`
	// EntryAddress is the IP:port for callers.
	EntryAddress string `json:"e,omitempty"`
	// FailureDomain and Region locate the host.
	FailureDomain string `json:"d,omitempty"`
	Region        string `json:"r,omitempty"`
	// LinkMbps is the speed of the host's link in Mbit/s, zero if unknown.
	LinkMbps int `json:"l,omitempty"`
	// Started is the start of the process in Unix nanoseconds; it tells a
	// replacement from the process before it.
	Started int64 `json:"t"`
	// Incarnation orders the statements about a host. It begins with the start
	// time and is raised only by the host itself.
	Incarnation int64 `json:"i"`
	// State is the state within the incarnation.
	State State `json:"s,omitempty"`
	// ConfigRevision is the highest configuration revision known at the host.
	ConfigRevision int64 `json:"c,omitempty"`
	// AgeMS is the time in milliseconds for which a member has been Leaving,
	// Failed or Left, as known by the sender of the record.
	AgeMS int64 `json:"a,omitempty"`
}

// compareIdentity orders records of one incarnation that differ in what must not
// change within it, so that merging has one result in any order.
func (m Member) compareIdentity(o Member) int {
	return cmp.Or(
		cmp.Compare(m.Started, o.Started),
		cmp.Compare(m.PeerAddress, o.PeerAddress),
		cmp.Compare(m.EntryAddress, o.EntryAddress),
		cmp.Compare(m.FailureDomain, o.FailureDomain),
		cmp.Compare(m.Region, o.Region),
		cmp.Compare(m.LinkMbps, o.LinkMbps),
	)
}

// MergeRecords merges two records of one host. It is commutative, associative and
// idempotent, so lost, repeated and reordered messages do no harm.
func MergeRecords(a, b Member) Member {
	if a.Incarnation != b.Incarnation {
		if a.Incarnation > b.Incarnation {
			return a
		}
		return b
	}
	out := a
	if b.compareIdentity(a) > 0 {
		out = b
	}
	out.State = max(a.State, b.State)
	out.ConfigRevision = max(a.ConfigRevision, b.ConfigRevision)
	out.AgeMS = 0
	for _, m := range []Member{a, b} {
		if m.State == out.State {
			out.AgeMS = max(out.AgeMS, m.AgeMS)
		}
	}
	return out
}

func (m Member) validate() error {
	if m.Host == "" {
		return errors.Wrap(ErrMessage, "empty host name")
	}
	if _, err := netip.ParseAddrPort(m.PeerAddress); err != nil {
		return errors.Wrapf(ErrMessage, "peer address %q of %s is not IP:port", m.PeerAddress, m.Host)
	}
	if m.State < Alive || m.State > Left || m.AgeMS < 0 {
		return errors.Wrapf(ErrMessage, "state %d age %d of %s", m.State, m.AgeMS, m.Host)
	}
	return nil
}

// HostHint is one line of the platform's host list.
type HostHint struct {
	// PeerAddress is the IP:port for calls between hosts.
	PeerAddress string
}

// HostLister is the platform's list of hosts. It lags, so it serves only to
// find addresses to ping.
type HostLister interface {
	ListHosts(ctx context.Context) ([]HostHint, error)
}

// Entry is one address that callers may use.
type Entry struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// Address is the IP:port for callers.
	Address string `json:"address"`
	// FailureDomain and Region locate the host, so that callers can prefer a
	// near one.
	FailureDomain string `json:"failure_domain,omitempty"`
	Region        string `json:"region,omitempty"`
	// Weight is the relative share of callers.
	Weight int `json:"weight"`
}

// EntryList is the answer of GET /v1/entries.
type EntryList struct {
	// Entries are the addresses, ordered by host.
	Entries []Entry `json:"entries"`
	// TTLMS is the time in milliseconds for which callers may keep the list.
	TTLMS int64 `json:"ttl_ms"`
}

// Times that the design page fixes.
const (
	// DefaultInterval is the heartbeat period.
	DefaultInterval = 500 * time.Millisecond
	// DefaultFanout is the number of hosts pinged in each period.
	DefaultFanout = 3
	// DefaultProbeTimeout bounds a direct and then an indirect probe. With the
	// period they add up to the 1.5 s after which a host is suspected.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultSuspicionTime is the time from Suspect to Failed, so that a host
	// is removed within 3 s.
	DefaultSuspicionTime = 1500 * time.Millisecond
	// DefaultContactTimeout is the time without answers after which a member
	// counts as not reached.
	DefaultContactTimeout = 3 * time.Second
	// DefaultFailedRetention is how long a failed member is counted.
	DefaultFailedRetention = 10 * time.Minute
	// DefaultEntryTTL is how long callers may keep the entry list.
	DefaultEntryTTL = 2 * time.Second
	// MaxLeavingListed bounds the time for which a leaving host may still be
	// listed when no other host is left.
	MaxLeavingListed = 3 * time.Second
)
