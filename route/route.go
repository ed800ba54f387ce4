// Package route contains the routing table of opaque requests. It maps a host
// name and path to a service and an API key to a team, and holds the time
// limits, retry rules and models of each route. A Table is immutable.
package route

import (
	"cmp"
	"crypto/sha256"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrInvalid reports an invalid configuration.
var ErrInvalid = errors.New("route: invalid configuration")

// Kind determines whether a request may be retried.
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

// Share is the share of a route's traffic that a service receives.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight float64
}

// Route configures the requests to one host name with one path prefix.
type Route struct {
	Name string
	// Host is the host name that callers address.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Shares are the services that serve the route, at least one.
	Shares []Share
	// Timeout is the maximum time that a caller waits; zero means no limit.
	Timeout time.Duration
	// TargetLatency is the time to the answer, or to the first event of a
	// stream, within which the answer has its full value.
	TargetLatency time.Duration
	// TargetGap is the longest gap between two events of a stream that counts
	// as on time.
	TargetGap time.Duration
	// Priority is the priority of the route's requests; 0 is the most urgent.
	Priority int
	// Models are the models that may answer, from the smallest to the largest.
	// If empty, the caller names the model.
	Models []string
	// MaxAttempts bounds the attempts in which an endpoint may have run one
	// request.
	MaxAttempts int
	// Anonymous routes require no API key.
	Anonymous bool
	// Resumable streams may be continued on another endpoint after their first
	// event.
	Resumable bool
}

// Retryable reports whether a request of the route may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Model is a model that the engines of a service run.
type Model struct {
	Name string
	// Cost is the price of 1000 generated tokens. Input tokens cost a quarter
	// of it.
	Cost float64
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path on which the endpoints report their health.
	HealthPath string
	// MaxConnections bounds the connections of all hosts to one endpoint; zero
	// means no limit.
	MaxConnections int
	// ColdStart is the time for which an endpoint is slow after its start.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold endpoint bears from all
	// hosts together; zero means no limit.
	ColdRate float64
	// Engine describes the service's model engines. It is nil for plain
	// services.
	Engine *Engine
}

// Engine describes the model engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs concurrently.
	Slots int
	// KVCacheTokens is the size of one engine's KV cache in tokens.
	KVCacheTokens int
	// TokensPerEvent is the number of tokens in one event of a stream.
	TokensPerEvent int
	// Models are the models that the engines run, from the smallest to the
	// largest.
	Models []Model
}

// Team is a group of callers with its own API keys.
type Team struct {
	Name string
	Keys []string
	// Priority, if set, overrides the priority of the routes.
	Priority *int
}

// Limits are the limits on what callers may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Config is a version of the routing configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// keyHash is the hash by which the table looks up an API key, so that the duration
// of a look-up does not depend on how much of a key matches.
type keyHash [sha256.Size]byte

// Table is an indexed Config.
type Table struct {
	config   Config
	hosts    map[string][]*Route // longest prefix first
	services map[string]*Service
	keys     map[keyHash]*Team
	targets  map[string]Targets
}

// NewTable validates and indexes a configuration.
func NewTable(c Config) (*Table, error) {
	t := &Table{
		config:   c,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(c.Services)),
		keys:     make(map[keyHash]*Team),
		targets:  targetsOf(c.Routes),
	}
	for i := range c.Services {
		t.services[c.Services[i].Name] = &c.Services[i]
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			return nil, errors.Wrapf(ErrInvalid, "route %q: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
		}
		if len(r.Shares) == 0 {
			return nil, errors.Wrapf(ErrInvalid, "route %q has no services", r.Name)
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

// Limits returns the limits on what callers may send.
func (t *Table) Limits() Limits { return t.config.Limits }

// Match returns the route with the longest prefix of path. The host may include
// a port.
func (t *Table) Match(host, path string) (*Route, bool) {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns the service with the given name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// NeedsKeys reports whether requests on routes that are not anonymous must
// carry an API key.
func (t *Table) NeedsKeys() bool { return len(t.config.Teams) > 0 }

// TeamForKey returns the team to which the API key belongs.
func (t *Table) TeamForKey(key string) (*Team, bool) {
	team, ok := t.keys[sha256.Sum256([]byte(key))]
	return team, ok
}

// PickService returns the service for a point in [0, 1), which is divided among
// the shares by weight. Equal points map to the same service as long as the
// shares do not change.
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	remaining := point * total
	for _, s := range r.Shares {
		remaining -= max(s.Weight, 0)
		if remaining < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}
