package balance

import (
	"cmp"
	"slices"
)

// subsetSlack is the factor by which a host may exceed its even share, so that an
// endpoint is rarely assigned to a host far down its rendezvous order.
const subsetSlack = 1.25

// Subset returns the endpoints that the host self uses, about size of them, chosen by
// rendezvous hashing. Every endpoint is used by at least one host, and no host uses
// more than subsetSlack times an even share, plus one. All hosts compute the same
// assignment from the same lists. If there are at most size endpoints, all are
// returned. Subset is called per region and version, so that every host reaches
// every version.
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
		seeds[i] = hashString(h)
	}
	selfIndex := slices.Index(hosts, self)
	load := make([]int, len(hosts))
	var assigned []string
	var top []scoredHost
	for _, e := range endpoints {
		top = topHosts(top[:0], hashString(e), seeds, load, limit, copies)
		for _, r := range top {
			load[r.host]++
			if r.host == selfIndex {
				assigned = append(assigned, e)
			}
		}
	}
	return assigned
}

// scoredHost is a host, by index, with its rendezvous score for an endpoint.
type scoredHost struct {
	score uint64
	host  int
}

// topHosts returns the hosts with the highest scores, at most copies of them, among
// those whose load is below limit.
func topHosts(top []scoredHost, endpoint uint64, seeds []uint64, load []int, limit, copies int) []scoredHost {
	for i, seed := range seeds {
		if load[i] >= limit {
			continue
		}
		r := scoredHost{score: mixHash(endpoint ^ seed), host: i}
		if len(top) == copies && r.score <= top[copies-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(top, r, func(a, b scoredHost) int { return cmp.Compare(b.score, a.score) })
		if len(top) == copies {
			top = top[:copies-1]
		}
		top = slices.Insert(top, at, r)
	}
	return top
}
