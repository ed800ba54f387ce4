package forward

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// refusedTime is the time for which a host is not asked again to serve the requests of
	// a service that it could not serve.
	refusedTime = time.Second
	// lostTTL is the time for which a host's report of the services that it does not reach
	// counts.
	lostTTL = 3 * time.Second
)

// Hosts chooses the hosts to which requests are forwarded.
type Hosts struct {
	clock clockwork.Clock

	mu  sync.Mutex
	rng *rand.Rand
	// running counts the requests under way at each host.
	running map[string]int
	// refused holds until when a host is not asked, by host and service.
	refused map[hostService]time.Time
	// lost holds the last report of each host.
	lost map[string]lostReport
}

type hostService struct{ host, service string }

// lostReport lists the services that a host does not reach.
type lostReport struct {
	services []string
	at       time.Time
}

// NewHosts returns a choice without history.
func NewHosts(clock clockwork.Clock, rng *rand.Rand) *Hosts {
	return &Hosts{clock: clock, rng: rng, running: make(map[string]int), refused: make(map[hostService]time.Time), lost: make(map[string]lostReport)}
}

// ObserveLost records the services that a host says it does not reach.
func (h *Hosts) ObserveLost(host string, services []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost[host] = lostReport{services: services, at: h.clock.Now()}
}

// reaches reports whether a host reaches a service as far as is known. The caller holds the
// lock.
func (h *Hosts) reaches(host, service string) bool {
	report := h.lost[host]
	return h.clock.Since(report.at) >= lostTTL || !slices.Contains(report.services, service)
}

// Choose returns one of the candidates for a request of a service: of two that are drawn
// at random, the one with fewer requests of this host under way. It returns false if all
// candidates are excluded, have refused, or do not reach the service either.
func (h *Hosts) Choose(service string, candidates, exclude []string) (string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	usable := slices.DeleteFunc(slices.Clone(candidates), func(host string) bool {
		return slices.Contains(exclude, host) || !h.reaches(host, service) || now.Before(h.refused[hostService{host, service}])
	})
	if len(usable) == 0 {
		return "", false
	}
	a, b := usable[h.rng.IntN(len(usable))], usable[h.rng.IntN(len(usable))]
	if h.running[b] < h.running[a] {
		a = b
	}
	return a, true
}

// Started counts a request that is sent to a host; the returned function ends it.
func (h *Hosts) Started(host string) (ended func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.running[host]++
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.running[host]--; h.running[host] == 0 {
			delete(h.running, host)
		}
	}
}

// Refused records that a host could not serve a request of a service.
func (h *Hosts) Refused(host, service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock.Now()
	for key, until := range h.refused {
		if !now.Before(until) {
			delete(h.refused, key)
		}
	}
	h.refused[hostService{host, service}] = now.Add(refusedTime)
}
