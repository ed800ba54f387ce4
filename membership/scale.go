package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// smallFleet is the number of members up to which every period pings
	// DefaultFanout random hosts and every message carries all signals.
	smallFleet = 50
	// largeFanout is the number of random hosts pinged in each period in a
	// larger fleet, beside the next host of the ring.
	largeFanout = 1
	// signalBudget is the rate of signals that a host of a larger fleet sends.
	// With what it receives it is a sixth of the 12 KB/s for control.
	signalBudget = 1 << 10
	// smallSignalBytes is the size up to which signals are not rationed, so
	// that marks of crashes spread with every message.
	smallSignalBytes = 512
)

// fanout returns the number of random hosts to ping in each period.
func fanout(members int) int {
	if members <= smallFleet {
		return DefaultFanout
	}
	return largeFanout
}

// syncPeriodOf spaces exchanges of the whole table, so that their bytes per
// second do not grow with the table.
func syncPeriodOf(members int) time.Duration {
	return syncPeriod * time.Duration(max(members, smallFleet)) / smallFleet
}

// successor returns the live member that follows this host in the order of the
// hashes of the names. Every live member follows one host, which pings it in
// each period: a dead host is found as soon as with many random pings.
func (t *Table) successor() string {
	self := xxhash.Sum64String(t.self.Host)
	best, distance := "", uint64(0)
	for host, r := range t.records {
		if !r.State.Live() {
			continue
		}
		// The difference wraps around, so the smallest one is the next on the ring.
		d := xxhash.Sum64String(host) - self
		if best == "" || d < distance || d == distance && host < best {
			best, distance = host, d
		}
	}
	return best
}

// ration keeps the signals that the budget of a large fleet allows, in turn.
// The caller holds the lock.
func (s *signals) ration(now time.Time, all []namedSignal) []namedSignal {
	if s.credited.IsZero() {
		s.credited = now
	}
	s.credit += now.Sub(s.credited).Seconds() * signalBudget
	s.credit = min(s.credit, signalBudget)
	s.credited = now
	var out []namedSignal
	for _, one := range all {
		if len(one.data) <= smallSignalBytes {
			out = append(out, one)
		}
	}
	for range all {
		one := all[s.turn%len(all)]
		if len(one.data) > smallSignalBytes {
			if s.credit <= 0 {
				break
			}
			s.credit -= float64(len(one.data))
			out = append(out, one)
		}
		s.turn++
	}
	return out
}
