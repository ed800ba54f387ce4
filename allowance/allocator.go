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

// maxHosts bounds the hosts an allocator knows; it exceeds the fleet of 870.
const maxHosts = 2048

// Report is what a host tells the allocator and its peers.
type Report struct {
	// Host is the name of the host.
	Host string `json:"h"`
	// Incarnation tells restarts of the host apart.
	Incarnation int64 `json:"i"`
	// Minute is the running minute by the host's clock.
	Minute Minute `json:"m"`
	// Fence is the fencing number of the allocator that Returned is given to.
	Fence int64 `json:"f,omitempty"`
	// Returned is the sum of the units given up in this minute to that allocator.
	Returned float64 `json:"r,omitempty"`
	// Requested is the number of units the host could use beyond its share.
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
	// Peak is the busiest minute of the month that the host knows of.
	Peak float64 `json:"p"`
}

// Check reports the first fault of a report.
func (r Report) Check() error {
	if r.Host == "" {
		return errors.Wrap(ErrInvalid, "report without host")
	}
	for _, v := range []float64{r.Returned, r.Requested, r.RequiredRate, r.Demand, r.Used, r.PreviousUsed, r.Peak} {
		if !(v >= 0) || math.IsInf(v, 0) {
			return errors.Wrapf(ErrInvalid, "report %+v", r)
		}
	}
	return nil
}

// Grant gives units of one minute to one host.
type Grant struct {
	// Minute is the minute in which the units may be used.
	Minute Minute `json:"m"`
	// Host and Incarnation name the receiver. A restarted host must not take
	// the grants of its predecessor, which may have used them.
	Host        string `json:"h"`
	Incarnation int64  `json:"i"`
	// Fence is the fencing number of the allocator.
	Fence int64 `json:"f"`
	// Units is the sum of all grants of this allocator to the host in the minute.
	Units float64 `json:"u"`
}

// Allocator moves units between hosts. It owns only units that were given up
// to its own fencing number, so a predecessor that still acts does no harm.
// It is not safe for concurrent use.
type Allocator struct {
	fence   int64
	minutes map[Minute]map[holder]*account
}

// HostFence returns the fencing number under which a host gives its own unused units
// to others while no role holder is known. Each host runs an Allocator with its
// own number for this; role holders have positive numbers.
func HostFence(host string, incarnation int64) int64 {
	sum := xxhash.Sum64String(host + "/" + strconv.FormatInt(incarnation, 10))
	return -int64(sum>>1) - 1
}

type holder struct {
	host        string
	incarnation int64
}

// account is one host's part in one minute.
type account struct {
	returned, granted, wanted float64
}

// NewAllocator returns an allocator that owns nothing yet.
func NewAllocator(fence int64) *Allocator {
	return &Allocator{fence: fence, minutes: map[Minute]map[holder]*account{}}
}

// Observe takes a host's report into account.
func (a *Allocator) Observe(r Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	accounts := a.minutes[r.Minute]
	if accounts == nil {
		accounts = map[holder]*account{}
		a.minutes[r.Minute] = accounts
		a.forget(r.Minute)
	}
	key := holder{r.Host, r.Incarnation}
	acc := accounts[key]
	if acc == nil {
		if len(accounts) >= maxHosts {
			return errors.Wrapf(ErrInvalid, "more than %d hosts", maxHosts)
		}
		acc = &account{}
		accounts[key] = acc
	}
	if r.Fence == a.fence {
		acc.returned = max(acc.returned, r.Returned)
	}
	acc.wanted = r.Requested
	return nil
}

func (a *Allocator) forget(newest Minute) {
	for minute := range a.minutes {
		if minute < newest-keptMinutes {
			delete(a.minutes, minute)
		}
	}
}

// Allocate splits the units given up in a minute among the live hosts that want
// some, in proportion to what they want. It returns all grants of the minute, so that a lost grant is repeated.
func (a *Allocator) Allocate(minute Minute, live func(host string) bool) []Grant {
	accounts := a.minutes[minute]
	keys := slices.SortedFunc(maps.Keys(accounts), func(x, y holder) int {
		return cmp.Or(cmp.Compare(x.host, y.host), cmp.Compare(x.incarnation, y.incarnation))
	})
	var wanting []holder
	pool, total := 0.0, 0.0
	for _, key := range keys {
		acc := accounts[key]
		pool += acc.returned - acc.granted
		if acc.wanted > 0 && live(key.host) {
			wanting = append(wanting, key)
			total += acc.wanted
		}
	}
	part := 1.0
	if total > 0 {
		part = min(1, max(0, pool)/total)
	}
	for _, key := range wanting {
		acc := accounts[key]
		units := acc.wanted * part
		acc.granted += units
		acc.wanted -= units // until the host reports again
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
