// Package membership keeps the list of entry hosts, which are the router's hosts
// that callers may use, with a SWIM-style gossip protocol: random pings, indirect
// probes before a host is suspected, a suspicion period before it is removed, and
// incarnations with which a suspected host refutes the suspicion.
//
// Table implements the rules without I/O. Membership runs them over the network.
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

// State is the state of a member. Within one incarnation the higher state
// prevails.
type State int

// The states in ascending order of precedence.
const (
	// Alive members answer probes.
	Alive State = iota
	// Suspect members answered neither a direct nor an indirect probe.
	Suspect
	// Leaving members drain: they finish their work and accept no new work. A
	// leaving member never becomes Suspect or Failed: when it stops answering,
	// it becomes Left.
	Leaving
	// Failed members were suspect for DefaultSuspicionTime, or another host
	// answers at their address.
	Failed
	// Left members have stopped after Leaving.
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

// Live reports whether the member's process is assumed to be running.
func (s State) Live() bool { return s <= Leaving }

// Member is the record of a host, reported by the host itself or observed by
// another one. The JSON names are short because every heartbeat carries records.
type Member struct {
	// Host is the unique name of the host.
	Host string `json:"h"`
	// PeerAddress is the IP:port for calls between hosts.
	PeerAddress string `json:"p"`
	// EntryAddress is the IP:port for callers.
	EntryAddress string `json:"e,omitempty"`
	// ForwardAddress is the IP:port for requests that other hosts forward; empty if the
	// host takes none.
	ForwardAddress string `json:"f,omitempty"`
	// FailureDomain and Region are the location of the host.
	FailureDomain string `json:"d,omitempty"`
	Region        string `json:"r,omitempty"`
	// LinkMbps is the speed of the host's link in Mbit/s, zero if unknown.
	LinkMbps int `json:"l,omitempty"`
	// Started is the start time of the process in Unix nanoseconds. It
	// distinguishes a replacement from its predecessor.
	Started int64 `json:"t"`
	// Incarnation orders the records of a host. Its first value is the start
	// time, and only the host itself raises it.
	Incarnation int64 `json:"i"`
	// State is the state within the incarnation.
	State State `json:"s,omitempty"`
	// ConfigRevision is the highest configuration revision that the host has.
	ConfigRevision int64 `json:"c,omitempty"`
	// AgeMS is the time in milliseconds for which a member has been Leaving,
	// Failed or Left, according to the sender of the record.
	AgeMS int64 `json:"a,omitempty"`
}

// compareIdentity orders records of one incarnation that differ in fields that
// must not change within it, so that merging gives the same result in any order.
func (m Member) compareIdentity(o Member) int {
	return cmp.Or(
		cmp.Compare(m.Started, o.Started),
		cmp.Compare(m.PeerAddress, o.PeerAddress),
		cmp.Compare(m.EntryAddress, o.EntryAddress),
		cmp.Compare(m.ForwardAddress, o.ForwardAddress),
		cmp.Compare(m.FailureDomain, o.FailureDomain),
		cmp.Compare(m.Region, o.Region),
		cmp.Compare(m.LinkMbps, o.LinkMbps),
	)
}

// MergeRecords merges two records of one host. It is commutative, associative and
// idempotent, so lost, duplicate and reordered messages do no harm.
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
		return errors.Wrapf(ErrMessage, "invalid state %d or age %d ms of %s", m.State, m.AgeMS, m.Host)
	}
	return nil
}

// HostHint is an entry of the platform's host list.
type HostHint struct {
	// PeerAddress is the IP:port for calls between hosts.
	PeerAddress string
}

// HostLister returns the platform's list of hosts. The list lags, so it is used
// only to find addresses to ping.
type HostLister interface {
	ListHosts(ctx context.Context) ([]HostHint, error)
}

// Entry is an address that callers may use.
type Entry struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// Address is the IP:port for callers.
	Address string `json:"address"`
	// FailureDomain and Region are the location of the host, so that callers can
	// prefer a near one.
	FailureDomain string `json:"failure_domain,omitempty"`
	Region        string `json:"region,omitempty"`
	// Weight is the relative share of callers that the address should get.
	Weight int `json:"weight"`
}

// EntryList is the response to GET /v1/entries.
type EntryList struct {
	// Entries are the addresses, ordered by host.
	Entries []Entry `json:"entries"`
	// TTLMS is the time in milliseconds for which callers may keep the list.
	TTLMS int64 `json:"ttl_ms"`
}

// Timing and fan-out of the protocol.
const (
	// DefaultInterval is the heartbeat period.
	DefaultInterval = 500 * time.Millisecond
	// DefaultFanout is the number of hosts pinged in each period.
	DefaultFanout = 3
	// DefaultProbeTimeout bounds a direct and then an indirect probe. Both and
	// one heartbeat period add up to the 1.5 s after which a host is suspected.
	DefaultProbeTimeout = 500 * time.Millisecond
	// DefaultSuspicionTime is the time from Suspect to Failed. With it a dead
	// host is removed within 3 s.
	DefaultSuspicionTime = 1500 * time.Millisecond
	// DefaultContactTimeout is the time without answers after which a member
	// counts as unreachable for the majority.
	DefaultContactTimeout = 3 * time.Second
	// DefaultFailedRetention is how long a failed member stays in the table and
	// counts for the majority.
	DefaultFailedRetention = 10 * time.Minute
	// DefaultEntryTTL is how long callers may keep the entry list.
	DefaultEntryTTL = 2 * time.Second
	// MaxLeavingListed bounds the time for which a leaving host stays in the
	// entry list when no other host is available.
	MaxLeavingListed = 3 * time.Second
)
