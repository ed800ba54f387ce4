package membership

import (
	"slices"
	"time"
)

// QuorumMembers returns the number of members that a majority refers to, the host
// itself included. Members that left or are leaving are not counted, failed
// ones are until they are forgotten. Until the first contact, strangers is the
// number of further hosts that should exist.
func (t *Table) QuorumMembers(now time.Time, strangers int) int {
	counted := 1
	for _, r := range t.records {
		if r.State != Leaving && r.State != Left {
			counted++
		}
	}
	if !t.everReached && now.Sub(t.started) < DefaultFailedRetention {
		counted += strangers
	}
	return counted
}

// HasMajority reports whether this host reached more than half of the counted
// members within the contact time, itself included.
func (t *Table) HasMajority(now time.Time, strangers int) bool {
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
		silent := !r.lastSilent.IsZero() && now.Sub(r.lastSilent) <= DefaultContactTimeout
		// A member that answered before and no longer does counts as sampled,
		// even if no probe of it has ended yet.
		if reached || silent || !r.lastContact.IsZero() && len(t.records) <= fullSample {
			sampled++
		}
	}
	reached := 1.0
	if sampled > 0 {
		// In a large fleet only some members are probed within the contact
		// time; the share of those that answered stands for all.
		reached += float64(live) * float64(answered) / float64(sampled)
	}
	return 2*reached > float64(t.QuorumMembers(now, strangers))
}

// fullSample is the number of members that are all probed within the contact
// time with the default period and fan-out.
const fullSample = int(DefaultContactTimeout/DefaultInterval) * DefaultFanout

// entryWeight is the weight of each live host. All are equal: a caller that
// wants a near host sees the failure domain.
const entryWeight = 100

// Entries returns the hosts that callers may use: live ones; if there are
// none, suspected ones; and else those that have just begun to leave.
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

// hostsIn returns the hosts in any of the states, ordered by name.
func (t *Table) hostsIn(states ...State) []string {
	var out []string
	for host, r := range t.records {
		if slices.Contains(states, r.State) {
			out = append(out, host)
		}
	}
	slices.Sort(out)
	return out
}

// knowsAddress reports whether a live member or self has the peer address.
func (t *Table) knowsAddress(addr string) bool {
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
