package membership

import (
	"cmp"
	"slices"
)

// SpreadOverDomains returns the live members such that any first few of them are in
// different failure domains as far as possible: the first of each domain, then the second
// of each, and so on. Those with the fastest links come first; ties are broken by name.
func SpreadOverDomains(members []Member) []Member {
	alive := make([]ranked, 0, len(members))
	for i := range members {
		if members[i].State == Alive {
			alive = append(alive, ranked{member: &members[i]})
		}
	}
	slices.SortFunc(alive, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.member.FailureDomain, b.member.FailureDomain), compareLinks(a.member, b.member))
	})
	for i := 1; i < len(alive); i++ {
		if alive[i].member.FailureDomain == alive[i-1].member.FailureDomain {
			alive[i].rank = alive[i-1].rank + 1
		}
	}
	slices.SortFunc(alive, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), compareLinks(a.member, b.member))
	})
	out := make([]Member, len(alive))
	for i, r := range alive {
		out[i] = *r.member
	}
	return out
}

// ranked is a member with its rank in its failure domain.
type ranked struct {
	member *Member
	rank   int
}

// compareLinks orders members by the speed of their links and by name.
func compareLinks(a, b *Member) int {
	return cmp.Or(cmp.Compare(b.LinkMbps, a.LinkMbps), cmp.Compare(a.Host, b.Host))
}
