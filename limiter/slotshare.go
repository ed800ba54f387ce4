package limiter

import (
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

// brittleTTL is how long a service counts as brittle without a further answer of its
// endpoints. It ends earlier when one does not say so.
const brittleTTL = 30 * time.Second

// SlotShares divides the slots of endpoints among the hosts while the endpoints of a
// service are brittle, that is, while they cannot bear to reject many requests. Hosts that
// know the same hosts agree on the shares without messages, and the shares of all hosts
// together never exceed the slots.
type SlotShares struct {
	clock clockwork.Clock
	self  string
	hosts func() []string

	mu sync.Mutex
	// brittle is when an endpoint last said that it is brittle; zero if it has ended.
	brittle time.Time
	running map[string]int
	// shares holds the shares of this host among the hosts of known, as of knownAt.
	shares  map[endpointSlots]int
	known   []string
	knownAt time.Time
}

// endpointSlots is an endpoint with its number of slots.
type endpointSlots struct {
	endpoint string
	slots    int
}

// hostsInterval is the time between two looks at the list of hosts.
const hostsInterval = 250 * time.Millisecond

// NewSlotShares returns shares of the host self. hosts returns the hosts that may be alive,
// this one included.
func NewSlotShares(clock clockwork.Clock, self string, hosts func() []string) *SlotShares {
	return &SlotShares{clock: clock, self: self, hosts: hosts, running: make(map[string]int)}
}

// Observe records whether an endpoint said in the answer to a request that was sent at a
// time that it is brittle. It reports whether that changes anything.
func (s *SlotShares) Observe(sent time.Time, brittle bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.active()
	switch {
	case brittle:
		s.brittle = s.clock.Now()
	case sent.After(s.brittle):
		s.brittle = time.Time{}
	}
	return was != s.active()
}

// active reports whether the endpoints are brittle. The caller holds the lock.
func (s *SlotShares) active() bool {
	return !s.brittle.IsZero() && s.clock.Since(s.brittle) < brittleTTL
}

// TryStart counts a request that is sent to an endpoint with the given number of slots; End
// ends it. It returns false if the endpoints are brittle and this host uses its whole share.
func (s *SlotShares) TryStart(endpoint string, slots int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active() && s.running[endpoint] >= s.share(endpoint, slots) {
		return false
	}
	s.running[endpoint]++
	return true
}

// End ends a request that TryStart has counted.
func (s *SlotShares) End(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[endpoint]--; s.running[endpoint] <= 0 {
		delete(s.running, endpoint)
	}
}

// Full returns the endpoints of which this host uses its whole share; none while they are
// not brittle. slots holds the number of slots of each endpoint.
func (s *SlotShares) Full(slots map[string]int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.active() {
		return nil
	}
	var full []string
	for endpoint, n := range slots {
		if s.running[endpoint] >= s.share(endpoint, n) {
			full = append(full, endpoint)
		}
	}
	return full
}

// share returns the number of slots of an endpoint that this host may use. The caller holds
// the lock.
func (s *SlotShares) share(endpoint string, slots int) int {
	if now := s.clock.Now(); s.shares == nil || now.Sub(s.knownAt) >= hostsInterval {
		hosts := s.hosts()
		if s.shares == nil || !slices.Equal(hosts, s.known) {
			s.shares, s.known = make(map[endpointSlots]int), hosts
		}
		s.knownAt = now
	}
	key := endpointSlots{endpoint, slots}
	share, ok := s.shares[key]
	if !ok {
		share = SlotShare(s.self, s.known, endpoint, slots)
		s.shares[key] = share
	}
	return share
}

// Active reports whether the endpoints are brittle.
func (s *SlotShares) Active() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.active()
}

// SlotShare returns the number of slots of an endpoint that a host may use. Slots that cannot
// be divided equally go to the hosts that a hash prefers at this endpoint.
func SlotShare(self string, hosts []string, endpoint string, slots int) int {
	if !slices.Contains(hosts, self) {
		hosts = append(slices.Clip(hosts), self)
	}
	share, rest := slots/len(hosts), slots%len(hosts)
	own := HashStrings(endpoint, self)
	before := 0
	for _, host := range hosts {
		if host != self && HashStrings(endpoint, host) < own {
			before++
		}
	}
	if before < rest {
		share++
	}
	return share
}
