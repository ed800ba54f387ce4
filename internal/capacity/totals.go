package capacity

import (
	"strings"

	"github.com/corianderlever/corianderlever/internal/measure"
	"github.com/corianderlever/corianderlever/kv"
)

// Intervals of the code, in seconds, from which calls are worked out.
const (
	flushSeconds     = 2.0 // ledger.Config.FlushInterval
	leaseSeconds     = 2.5 // lease.DefaultTTL / 4
	pollSeconds      = 1.0 // configstore.PollInterval
	roles            = 3
	watchersInDomain = 2
	changesPerDay    = 2900
	daySeconds       = 86400.0
	// memberCopies is how often a host copies the member list in a second
	// without requests: the capacity twice, newer revisions twice, the poll and
	// the watch twice.
	memberCopies = 7.0
	// valueText is the growth of a value as base64 in JSON.
	valueText = 4.0 / 3
	// pulledValues is how many copies of a changed value a host receives, and
	// sends; pushedValues was it when every push carried the value.
	pulledValues = 1.0
	pushedValues = 3.0
	// blocksKnown is the bound of the prefix index.
	blocksKnown = 65536
	// Limits of the key-value service.
	maxWrites = 300.0
	maxReads  = 2000.0
	kilobyte  = 1024.0
	megabyte  = 1 << 20
)

// fleet is what the calls to the service depend on.
type fleet struct {
	hosts, domains int
	// busyHosts have records to write in each interval.
	busyHosts float64
	// changes is the number of configuration changes per second.
	changes float64
}

// serviceCalls works out the calls per second, named as CountCalls does.
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

// readsAndWrites sums the calls by kind.
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

// endpointsPerVersion holds where each endpoint serves two versions.
const endpointsPerVersion = Endpoints * 2.0 / versions

// endpointsPerHost is the number of endpoints that a host asks for reports: a
// subset for each version of endpoints that serve two versions each.
func endpointsPerHost() float64 {
	share := min(1.0, SubsetSize/endpointsPerVersion)
	return Endpoints * (1 - (1-share)*(1-share))
}

// lines compares the figures at the size to design for with their limits.
func (r *reporter) lines() []measure.Line {
	changes := changesPerDay / daySeconds
	value := r.at("config_value_bytes", Endpoints)
	lists := memberCopies * r.at("members_seconds", Hosts)
	// Each change is decoded and every version's subset is chosen again.
	config := changes * (r.at("config_decode_seconds", Endpoints) + versions*r.at("subset_seconds", endpointsPerVersion))
	core := r.at("heartbeat_core", Hosts) + config + lists
	copyBytes := 2 * changes * value * valueText
	bytes := r.at("heartbeat_steady_bytes", Hosts) + pulledValues*copyBytes
	reports := endpointsPerHost() * r.fits["report_seconds"].Intercept
	// A changed snapshot is held beside the one that it replaces.
	memory := r.at("heartbeat_memory", Hosts) + 2*r.at("config_memory_bytes", Endpoints) +
		r.at("picker_endpoint_bytes", endpointsPerHost()) + r.at("picker_block_bytes", blocksKnown)
	calls := serviceCalls(fleet{hosts: Hosts, domains: Domains, busyHosts: Hosts, changes: changes})
	reads, writes := readsAndWrites(calls)
	smallReads, smallWrites := readsAndWrites(serviceCalls(fleet{hosts: clusterHosts, domains: 3, busyHosts: clusterHosts}))
	line := func(name string, baseline, value, target float64) measure.Line {
		return measure.Line{Name: name, Baseline: baseline, Value: value, Target: target, Bound: measure.AtMost}
	}
	return []measure.Line{
		// The baseline of the first three is a fleet with the rules of small ones.
		line("capacity_control_core_share", r.small.CoreShare+config+lists, core, MaxCoreShare),
		line("capacity_control_core_share_with_engine_reports", r.small.CoreShare+config+lists+reports, core+reports, MaxCoreShare),
		line("capacity_control_memory_mb", (memory-r.at("heartbeat_memory", Hosts)+r.small.MemoryBytes*Hosts/50)/megabyte, memory/megabyte, MaxMemoryMB),
		line("capacity_control_kb_per_s", (r.small.SteadyBytes()+pushedValues*copyBytes)/kilobyte, bytes/kilobyte, MaxKBPerSecond),
		// The baseline of the calls is a fleet of seven hosts.
		line("capacity_service_writes_per_s", smallWrites, writes, maxWrites),
		line("capacity_service_reads_per_s", smallReads, reads, maxReads),
		line("capacity_configuration_value_bytes", r.at("config_json_bytes", Endpoints), value, kv.MaxValueBytes),
	}
}
