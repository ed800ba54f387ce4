package balance

import (
	"cmp"
	"slices"
)

// subsetSlack lets a host hold a little more than its even share, so that an
// endpoint rarely has to go to a host far down its rendezvous order.
const subsetSlack = 1.25

// Subset returns the endpoints that host self uses, about size of them, by
// rendezvous hashing. Every endpoint is used by at least one host, and no host
// by more than subsetSlack times an even share. All hosts compute the same
// assignment from the same lists. With few endpoints all are returned. It is
// called per region and version, so each host reaches every version.
func Subset(self string, hosts, endpoints []string, size int) []string {
	if len(endpoints) <= size || !slices.Contains(hosts, self) {
		return slices.Clone(endpoints)
	}
	hosts = slices.Sorted(slices.Values(hosts))
	endpoints = slices.Sorted(slices.Values(endpoints))
	copies := max(1, (size*len(hosts)+len(endpoints)-1)/len(endpoints))
	copies = min(copies, len(hosts))
	share := float64(copies*len(endpoints)) / float64(len(hosts))
	limit := int(subsetSlack*share) + 1
	seeds := make([]uint64, len(hosts))
	for i, h := range hosts {
		seeds[i] = hashText(h)
	}
	me := slices.Index(hosts, self)
	load := make([]int, len(hosts))
	var mine []string
	var top []ranked
	for _, e := range endpoints {
		top = topHosts(top[:0], hashText(e), seeds, load, limit, copies)
		for _, r := range top {
			load[r.host]++
			if r.host == me {
				mine = append(mine, e)
			}
		}
	}
	return mine
}

type ranked struct {
	score uint64
	host  int
}

// topHosts returns the hosts with the highest scores among those with room.
func topHosts(top []ranked, endpoint uint64, seeds []uint64, load []int, limit, copies int) []ranked {
	for i, seed := range seeds {
		if load[i] >= limit {
			continue
		}
		r := ranked{score: mix(endpoint ^ seed), host: i}
		if len(top) == copies && r.score <= top[copies-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, r, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
		if len(top) == copies {
			top = top[:copies-1]
		}
		top = slices.Insert(top, at, r)
	}
	return top
}
