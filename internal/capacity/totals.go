package capacity

import (
	"strings"

	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/kv"
)

// Intervals, rates and limits from which the totals are calculated.
const (
	flushSeconds     = 2.0 // ledger.Config.FlushInterval
	leaseSeconds     = 2.5 // lease.DefaultTTL / 4
	pollSeconds      = 1.0 // configstore.PollInterval
	roles            = 3
	watchersInDomain = 2
	changesPerDay    = 2900
	daySeconds       = 86400.0
	// memberListCopies is the number of copies of the member list that an idle host
	// makes per second: two for the capacity, two for newer revisions, one for the
	// poll and two for the watch.
	memberListCopies = 7.0
	// base64Factor is the growth of a value encoded as base64 in JSON.
	base64Factor = 4.0 / 3
	// pulledCopies is the number of copies of a changed value that a host receives
	// and also sends. pushedCopies is the number if every push carries the value,
	// and is used for the baseline.
	pulledCopies = 1.0
	pushedCopies = 3.0
	// maxPrefixBlocks is the maximum number of blocks in the prefix index.
	maxPrefixBlocks = 65536
	// Limits of the key-value service.
	maxWrites = 300.0
	maxReads  = 2000.0
	kilobyte  = 1024.0
	megabyte  = 1 << 20
)

// fleet holds the parameters that determine the calls to the key-value service.
type fleet struct {
	hosts, domains int
	// busyHosts is the number of hosts with records to write in each interval.
	busyHosts float64
	// changes is the number of configuration changes per second.
	changes float64
}

// serviceCalls returns the calculated calls per second, by the same names as
// Calls.ByMechanism.
func serviceCalls(f fleet) map[string]float64 {
	watchers := float64(min(watchersInDomain*f.domains, f.hosts))
	return map[string]float64{
		"get config":              watchers/pollSeconds + f.changes*(1+3),
		"compare_and_swap config": f.changes * 2,
		"delete config":           f.changes,
		"get role":                float64(f.hosts*roles-roles) / leaseSeconds,
		"keep_alive ":             roles / leaseSeconds,
		"compare_and_swap ledger": f.busyHosts / flushSeconds,
	}
}

// readsAndWrites returns the sums of the calls that read and that write.
func readsAndWrites(calls map[string]float64) (reads, writes float64) {
	for name, n := range calls {
		if strings.HasPrefix(name, "get") || strings.HasPrefix(name, "list") {
			reads += n
		} else {
			writes += n
		}
	}
	return reads, writes
}

// endpointsPerVersion is the number of endpoints of each version if each
// endpoint serves two versions.
const endpointsPerVersion = Endpoints * 2.0 / versions

// endpointsPerHost returns the expected number of endpoints that a host polls
// for reports: those in the subset of at least one of their two versions.
func endpointsPerHost() float64 {
	share := min(1.0, SubsetSize/endpointsPerVersion)
	return Endpoints * (1 - (1-share)*(1-share))
}

// measures returns the figures at the design size with their baselines and limits.
func (r *reporter) measures() []measure.Line {
	changes := changesPerDay / daySeconds
	value := r.at("config_value_bytes", Endpoints)
	lists := memberListCopies * r.at("members_seconds", Hosts)
	// Each change is decoded and every version's subset is chosen again.
	config := changes * (r.at("config_decode_seconds", Endpoints) + versions*r.at("subset_seconds", endpointsPerVersion))
	core := r.at("heartbeat_core", Hosts) + config + lists
	copyBytes := 2 * changes * value * base64Factor
	bytes := r.at("heartbeat_steady_bytes", Hosts) + pulledCopies*copyBytes
	reports := endpointsPerHost() * r.fits["report_seconds"].Intercept
	// A new snapshot is held in memory together with the one that it replaces.
	memory := r.at("heartbeat_memory", Hosts) + 2*r.at("config_memory_bytes", Endpoints) +
		r.at("picker_endpoint_bytes", endpointsPerHost()) + r.at("picker_block_bytes", maxPrefixBlocks)
	calls := serviceCalls(fleet{hosts: Hosts, domains: Domains, busyHosts: Hosts, changes: changes})
	reads, writes := readsAndWrites(calls)
	smallReads, smallWrites := readsAndWrites(serviceCalls(fleet{hosts: clusterHosts, domains: 3, busyHosts: clusterHosts}))
	line := func(name string, baseline, value, target float64) measure.Line {
		return measure.Line{Name: name, Baseline: baseline, Value: value, Target: target, Bound: measure.AtMost}
	}
	return []measure.Line{
		// The baseline of the first four lines is the smallest measured fleet, in
		// which the rules for small fleets apply.
		line("capacity_control_core_share", r.small.CoreShare+config+lists, core, MaxCoreShare),
		line("capacity_control_core_share_with_engine_reports", r.small.CoreShare+config+lists+reports, core+reports, MaxCoreShare),
		line("capacity_control_memory_mb", (memory-r.at("heartbeat_memory", Hosts)+r.small.MemoryBytes*Hosts/50)/megabyte, memory/megabyte, MaxMemoryMB),
		line("capacity_control_kb_per_s", (r.small.SteadyBytes()+pushedCopies*copyBytes)/kilobyte, bytes/kilobyte, MaxKBPerSecond),
		// The baseline of the calls is a fleet of seven hosts.
		line("capacity_service_writes_per_s", smallWrites, writes, maxWrites),
		line("capacity_service_reads_per_s", smallReads, reads, maxReads),
		line("capacity_configuration_value_bytes", r.at("config_json_bytes", Endpoints), value, kv.MaxValueBytes),
	}
}
