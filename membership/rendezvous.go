package membership

import "github.com/cespare/xxhash/v2"

// Responsible returns the live member that is responsible for a key, by rendezvous
// hashing; false if there is none. Hosts with the same view of the members agree on it,
// and a member that leaves or joins changes it for few keys.
func Responsible(key string, members []Member) (Member, bool) {
	var best Member
	var bestScore uint64
	found := false
	for _, m := range members {
		if m.State != Alive {
			continue
		}
		if score := rendezvousScore(m.Host, key); !found || score > bestScore {
			best, bestScore, found = m, score, true
		}
	}
	return best, found
}

// Rank returns how many members that have not left come before a host in the rendezvous order
// of a key, whether they are alive or not.
func Rank(key, host string, members []Member) int {
	rank, own := 0, rendezvousScore(host, key)
	for _, m := range members {
		if m.State != Left && m.Host != host && rendezvousScore(m.Host, key) > own {
			rank++
		}
	}
	return rank
}

func rendezvousScore(host, key string) uint64 { return xxhash.Sum64String(host + "\x00" + key) }
