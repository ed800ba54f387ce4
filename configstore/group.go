package configstore

import "github.com/corianderlever/corianderlever/membership"

// memberGroup implements Group with the members of a membership.Membership.
type memberGroup struct {
	m *membership.Membership
}

var _ Group = memberGroup{}

// FromMembership returns a Group with the members of m.
func FromMembership(m *membership.Membership) Group { return memberGroup{m} }

// Self implements Group.
func (g memberGroup) Self() Peer { return peerOf(g.m.Self()) }

// Peers implements Group.
func (g memberGroup) Peers() []Peer {
	self := g.m.Self().Host
	var out []Peer
	for _, m := range g.m.Members() {
		if m.Host != self && m.State.Live() {
			out = append(out, peerOf(m))
		}
	}
	return out
}

// HasMajority implements Group.
func (g memberGroup) HasMajority() bool { return g.m.HasMajority() }

// QuorumMembers implements Group.
func (g memberGroup) QuorumMembers() int { return g.m.QuorumMembers() }

// SetRevision implements Group.
func (g memberGroup) SetRevision(revision int64) { g.m.SetConfigRevision(revision) }

func peerOf(m membership.Member) Peer {
	return Peer{
		Host:          m.Host,
		Address:       m.PeerAddress,
		FailureDomain: m.FailureDomain,
		Revision:      m.ConfigRevision,
		Alive:         m.State == membership.Alive,
	}
}
