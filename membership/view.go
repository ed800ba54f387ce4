package membership

import (
	"slices"
	"time"
)

// QuorumMembers returns the number of members from which the majority is computed,
// the host itself included. Members that left or are leaving are not counted;
// failed ones are, until they are deleted. Until the first contact, unknownSeeds
// is added as the number of further hosts that should exist.
func (t *Table) QuorumMembers(now time.Time, unknownSeeds int) int {
	counted := 1
	for _, r := range t.records {
		if r.State != Leaving && r.State != Left {
			counted++
		}
	}
	if !t.everContacted && now.Sub(t.started) < DefaultFailedRetention {
		counted += unknownSeeds
	}
	return counted
}

// HasMajority reports whether this host, itself included, reached more than half
// of QuorumMembers within DefaultContactTimeout.
func (t *Table) HasMajority(now time.Time, unknownSeeds int) bool {
	live, sampled, answered := 0, 0, 0
	for _, r := range t.records {
		reached := !r.lastContact.IsZero() && now.Sub(r.lastContact) <= DefaultContactTimeout
		if r.State == Leaving || r.State == Left || r.State == Failed && !reached {
			continue
		}
		live++
		if reached {
			answered++
		}
		probeFailed := !r.lastProbeFailure.IsZero() && now.Sub(r.lastProbeFailure) <= DefaultContactTimeout
		// In a small fleet, a member that answered before and no longer does counts
		// as sampled even if no probe of it has failed yet.
		if reached || probeFailed || !r.lastContact.IsZero() && len(t.records) <= fullSample {
			sampled++
		}
	}
	reached := 1.0
	if sampled > 0 {
		// In a large fleet only some members are probed within the contact
		// timeout. The fraction of them that answered is extrapolated to all.
		reached += float64(live) * float64(answered) / float64(sampled)
	}
	return 2*reached > float64(t.QuorumMembers(now, unknownSeeds))
}

// fullSample is the largest number of members that are all probed within the
// contact timeout with the default period and fan-out.
const fullSample = int(DefaultContactTimeout/DefaultInterval) * DefaultFanout

// entryWeight is the weight of each listed host. All are equal, because callers
// that prefer a near host can use the failure domain.
const entryWeight = 100

// Entries returns the hosts that callers may use: the alive ones; if there are
// none, the suspects; and if there are none, those that began to leave at most
// MaxLeavingListed ago.
func (t *Table) Entries(now time.Time, ttl time.Duration) EntryList {
	list := EntryList{Entries: []Entry{}, TTLMS: ttl.Milliseconds()}
	members := t.Members(now)
	for _, state := range []State{Alive, Suspect, Leaving} {
		for _, m := range members {
			old := m.State == Leaving && ageOf(m) > MaxLeavingListed
			if m.State != state || m.EntryAddress == "" || old {
				continue
			}
			list.Entries = append(list.Entries, Entry{Host: m.Host, Address: m.EntryAddress,
				FailureDomain: m.FailureDomain, Region: m.Region, Weight: entryWeight})
		}
		if len(list.Entries) > 0 {
			break
		}
	}
	return list
}

// hostsInState returns the hosts in any of the states, ordered by name.
func (t *Table) hostsInState(states ...State) []string {
	var out []string
	for host, r := range t.records {
		if slices.Contains(states, r.State) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// hasAddress reports whether a live member or self has the peer address.
func (t *Table) hasAddress(addr string) bool {
	if t.self.PeerAddress == addr {
		return true
	}
	for _, r := range t.records {
		if r.PeerAddress == addr && r.State.Live() {
			return true
		}
	}
	return false
}
