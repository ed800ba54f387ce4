// Package route holds the routing table of opaque requests: which service a
// host name and path belong to, which team a key belongs to, and what a
// request on a route may cost and repeat. A Table is immutable.
package route

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports a configuration that contradicts itself.
var ErrInvalid = errors.New("route: invalid configuration")

// Kind says what may be repeated.
type Kind int

// The kinds of requests.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Stream requests are answered by a series of events.
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Stream:
		return "stream"
	}
	return "non_idempotent"
}

// Share is a service's part of a route's traffic.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route says how the requests under one path prefix of one host name are served.
type Route struct {
	Name string
	// Host is the host name that callers address.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the services that serve the route, at least one.
	Shares []Share
	// Timeout is the longest time a caller is kept waiting; zero means no bound.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a stream, within
	// which the answer has its full value.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events that is still on time.
	TargetGap time.Duration
	// Priority is the rank of the route's requests; 0 is the most urgent.
	Priority int
	// Models are the models that may answer, from the smallest to the largest;
	// empty means that the caller names the model.
	Models []string
	// MaxAttempts bounds the endpoints that one request may run on.
	MaxAttempts int
	// Anonymous routes need no key.
	Anonymous bool
	// Resumable streams may be continued after an event at another endpoint.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that the engines of a service run.
type Model struct {
	Name string
	// Cost is the price of 1000 generated tokens; tokens read cost a quarter.
	Cost float64
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// HealthPath is where the endpoints report their health.
	HealthPath string
	// MaxConnections bounds the connections of all hosts to one endpoint; zero
	// means no bound.
	MaxConnections int
	// Engine describes model engines; nil for plain services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// KVCacheTokens is the memory of one engine.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Models are those that the engines run, from the smallest to the largest.
	Models []Model
}

// Team is a group of callers with its own keys.
type Team struct {
	Name string
	Keys []string
	// Priority, if set, replaces the priority of the routes.
	Priority *int
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is one version of the routing configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// keyHash identifies a key without keeping it in comparable form, so that a
// look-up takes the same time whatever part of a key matches.
type keyHash [sha256.Size]byte

// Table is an indexed Config.
type Table struct {
	config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[keyHash]*Team
}

// NewTable checks and indexes a configuration.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[keyHash]*Team),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, errors.Wrapf(ErrInvalid, "route %q has prefix %q", r.Name, r.Prefix)
		}
		if len(r.Shares) == 0 {
			return nil, errors.Wrapf(ErrInvalid, "route %q has no service", r.Name)
		}
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.keys[sha256.Sum256([]byte(key))] = &c.Teams[i]
		}
	}
	return t, nil
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns what callers may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route with the longest prefix of path. The host may carry a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKeys reports whether requests must carry a key, unless their route is anonymous.
func (t *Table) NeedsKeys() bool { return len(t.config.Teams) > 0 }

// TeamForKey returns the team that holds the key.
func (t *Table) TeamForKey(key string) (*Team, bool) {
	team, ok := t.keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// PickService returns the service for a point in [0, 1): equal points get the
// same service for as long as the shares stay.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	at := point * total
	for _, s := range r.Shares {
		at -= max(s.Weight, 0)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
