package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the number of members up to which a host pings DefaultFanout
	// random hosts in each period and sends all signals in every message.
	smallFleet = 50
	// largeFanout is the number of random hosts that a host of a larger fleet
	// pings in each period, in addition to its successor.
	largeFanout = 1
	// signalBudget is the rate in bytes per second at which a host of a larger
	// fleet sends signals. Sent and received signals together use a sixth of the
	// 12 KB/s for control traffic.
	signalBudget = 1 << 10
	// smallSignalBytes is the size up to which signals are exempt from the
	// budget, so that every message carries the crash reports.
	smallSignalBytes = 512
)

// fanout returns the number of random hosts to ping in each period.
func fanout(members int) int {
	if members <= smallFleet {
		return DefaultFanout
	}
	return largeFanout
}

// syncPeriodOf returns the time between exchanges of the whole table. It grows
// with the fleet, so that the bytes per second do not.
func syncPeriodOf(members int) time.Duration {
	return syncPeriod * time.Duration(max(members, smallFleet)) / smallFleet
}

// successor returns the live member that follows this host on a ring ordered by
// the hashes of the host names. As each host pings its successor in each period,
// every member is pinged in each period and a dead host is detected as quickly
// as with many random pings.
func (t *Table) successor() string {
	self := xxhash.Sum64String(t.self.Host)
	best, distance := "", uint64(0)
	for host, r := range t.records {
		if !r.State.Live() {
			continue
		}
		// The difference wraps around, so the smallest one belongs to the successor.
		d := xxhash.Sum64String(host) - self
		if best == "" || d < distance || d == distance && host < best {
			best, distance = host, d
		}
	}
	return best
}

// limitToBudget returns all small signals and, in rotation, as many larger ones
// as signalBudget allows. The caller holds the lock.
func (s *signals) limitToBudget(now time.Time, all []namedSignal) []namedSignal {
	if s.creditedAt.IsZero() {
		s.creditedAt = now
	}
	s.credit += now.Sub(s.creditedAt).Seconds() * signalBudget
	s.credit = min(s.credit, signalBudget)
	s.creditedAt = now
	var out []namedSignal
	for _, sig := range all {
		if len(sig.data) <= smallSignalBytes {
			out = append(out, sig)
		}
	}
	for range all {
		sig := all[s.nextSignal%len(all)]
		if len(sig.data) > smallSignalBytes {
			if s.credit <= 0 {
				break
			}
			s.credit -= float64(len(sig.data))
			out = append(out, sig)
		}
		s.nextSignal++
	}
	return out
}
