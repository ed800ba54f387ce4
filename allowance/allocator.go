package allowance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// maxHosts bounds the hosts in memory; it exceeds the fleet of 870 hosts.
const maxHosts = 2048

// Report is the report that a host sends to the allocator and its peers.
type Report struct {
	// Host is the name of the host.
	Host string `json:"h"`
	// Incarnation distinguishes restarts of the host.
	Incarnation int64 `json:"i"`
	// Minute is the running minute by the host's clock.
	Minute Minute `json:"m"`
	// Fence is the fencing token of the allocator that receives Returned.
	Fence int64 `json:"f,omitempty"`
	// Returned is the sum of the units of this minute that the host has returned to
	// that allocator.
	Returned float64 `json:"r,omitempty"`
	// Requested is the number of units that the host could use beyond its share.
	Requested float64 `json:"w,omitempty"`
	// RequiredRate is the number of units per minute that the host needs from now
	// on, for its deferred work and for work that cannot wait.
	RequiredRate float64 `json:"d,omitempty"`
	// Demand is RequiredRate plus the new work that can wait, in units per minute.
	Demand float64 `json:"e,omitempty"`
	// Used is the consumption of the running minute, and PreviousUsed that of the
	// minute before.
	Used         float64 `json:"u"`
	PreviousUsed float64 `json:"c"`
	// Peak is the consumption of the busiest minute of the month known to the host.
	Peak float64 `json:"p"`
}

// Check returns an error if the host is missing or a value is negative or not
// finite.
func (r Report) Check() error {
	if r.Host == "" {
		return errors.Wrap(ErrInvalid, "report without host name")
	}
	for _, v := range []float64{r.Returned, r.Requested, r.RequiredRate, r.Demand, r.Used, r.PreviousUsed, r.Peak} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return errors.Wrapf(ErrInvalid, "report with a negative or non-finite value: %+v", r)
		}
	}
	return nil
}

// Grant gives units of one minute to one host.
type Grant struct {
	// Minute is the minute in which the units may be used.
	Minute Minute `json:"m"`
	// Host and Incarnation identify the receiver. A restarted host must not apply
	// grants to its previous incarnation, which may have used them already.
	Host        string `json:"h"`
	Incarnation int64  `json:"i"`
	// Fence is the fencing token of the allocator.
	Fence int64 `json:"f"`
	// Units is the sum of all units granted by this allocator to the host in the
	// minute.
	Units float64 `json:"u"`
}

// Allocator moves units between hosts. It grants only units that hosts returned
// under its own fencing token, so an earlier allocator that is still active does no
// harm. It is not safe for concurrent use.
type Allocator struct {
	fence   int64
	minutes map[Minute]map[hostKey]*account
}

// HostFence returns the fencing token under which a host grants its own unused
// units to other hosts while no holder of the allocator role is known. Each host
// runs an Allocator with its own token for this. These tokens are negative, and the
// tokens of role holders are positive.
func HostFence(host string, incarnation int64) int64 {
	sum := xxhash.Sum64String(host + "/" + strconv.FormatInt(incarnation, 10))
	return -int64(sum>>1) - 1
}

type hostKey struct {
	host        string
	incarnation int64
}

// account holds the units of one host in one minute: the sums returned and granted,
// and the number requested and not yet granted.
type account struct {
	returned, granted, requested float64
}

// NewAllocator returns an allocator that has no units to grant yet.
func NewAllocator(fence int64) *Allocator {
	return &Allocator{fence: fence, minutes: map[Minute]map[hostKey]*account{}}
}

// Observe applies the report of a host.
func (a *Allocator) Observe(r Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	accounts := a.minutes[r.Minute]
	if accounts == nil {
		accounts = map[hostKey]*account{}
		a.minutes[r.Minute] = accounts
		a.removeOldMinutes(r.Minute)
	}
	key := hostKey{r.Host, r.Incarnation}
	acc := accounts[key]
	if acc == nil {
		if len(accounts) >= maxHosts {
			return errors.Wrapf(ErrInvalid, "reports of more than %d hosts in one minute", maxHosts)
		}
		acc = &account{}
		accounts[key] = acc
	}
	if r.Fence == a.fence {
		acc.returned = max(acc.returned, r.Returned)
	}
	acc.requested = r.Requested
	return nil
}

func (a *Allocator) removeOldMinutes(newest Minute) {
	for minute := range a.minutes {
		if minute < newest-keptMinutes {
			delete(a.minutes, minute)
		}
	}
}

// Allocate splits the units returned in a minute among the live hosts that
// requested units, in proportion to their requests. It returns all grants of the
// minute, so that lost grants are sent again.
func (a *Allocator) Allocate(minute Minute, live func(host string) bool) []Grant {
	accounts := a.minutes[minute]
	keys := slices.SortedFunc(maps.Keys(accounts), func(x, y hostKey) int {
		return cmp.Or(cmp.Compare(x.host, y.host), cmp.Compare(x.incarnation, y.incarnation))
	})
	var requesters []hostKey
	pool, total := 0.0, 0.0
	for _, key := range keys {
		acc := accounts[key]
		pool += acc.returned - acc.granted
		if acc.requested > 0 && live(key.host) {
			requesters = append(requesters, key)
			total += acc.requested
		}
	}
	fraction := 1.0
	if total > 0 {
		fraction = min(1, max(0, pool)/total)
	}
	for _, key := range requesters {
		acc := accounts[key]
		units := acc.requested * fraction
		acc.granted += units
		acc.requested -= units // until the next report of the host
	}
	return a.grants(minute)
}

func (a *Allocator) grants(minute Minute) []Grant {
	var all []Grant
	for key, acc := range a.minutes[minute] {
		if acc.granted > 0 {
			all = append(all, Grant{Minute: minute, Host: key.host, Incarnation: key.incarnation, Fence: a.fence, Units: acc.granted})
		}
	}
	slices.SortFunc(all, func(x, y Grant) int {
		return cmp.Or(cmp.Compare(x.Host, y.Host), cmp.Compare(x.Incarnation, y.Incarnation))
	})
	return all
}
