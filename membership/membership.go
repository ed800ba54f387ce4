package membership

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/logbatch"
	"github.com/corianderlever/corianderlever/peer"
)

// Registrar registers the handlers of this host. *peer.Server implements it.
type Registrar interface {
	Handle(method string, h peer.Handler)
}

// Options configure a Membership.
type Options struct {
	// Self gives Host, PeerAddress, EntryAddress, FailureDomain, Region and
	// LinkMbps. New sets the other fields.
	Self Member
	// Seeds are peer addresses (IP:port) from the settings. The host's own
	// address may be among them.
	Seeds []string
	// Lister, if set, returns further addresses to ping.
	Lister HostLister
	// Caller makes calls to other hosts.
	Caller peer.Caller
	// Registrar registers the handlers of this package.
	Registrar Registrar
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand shuffles the order of the pings. It is used under a lock.
	Rand *rand.Rand
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// EntryTTL is the time for which callers may keep the entry list.
	EntryTTL time.Duration
}

// Membership maintains the list of entry hosts. It is safe for concurrent use.
type Membership struct {
	opts Options
	log  *slog.Logger
	wake chan struct{}

	mu        sync.Mutex
	table     *Table
	pingQueue []string            // hosts still to ping in this pass
	probing   map[string]struct{} // addresses with a probe in flight
	hints     map[string]struct{} // addresses to ping: the seeds and the host list
	lastSync  time.Time
	lastRetry time.Time

	signals signals
	events  events
	changes *logbatch.Log
}

// New checks the options, registers the handlers and returns a membership that
// contains only its own host until Run.
func New(opts Options) (*Membership, error) {
	if opts.Caller == nil || opts.Registrar == nil || opts.Rand == nil {
		return nil, errors.Wrap(ErrOptions, "Caller, Registrar and Rand are required")
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.EntryTTL == 0 {
		opts.EntryTTL = DefaultEntryTTL
	}
	now := opts.Clock.Now()
	self := opts.Self
	self.Started, self.Incarnation = now.UnixNano(), now.UnixNano()
	self.State, self.ConfigRevision, self.AgeMS = Alive, 0, 0
	if err := self.validate(); err != nil {
		return nil, errors.Mark(err, ErrOptions)
	}
	m := &Membership{
		opts:    opts,
		log:     opts.Logger.With("component", "membership"),
		wake:    make(chan struct{}, 1),
		table:   NewTable(now, self),
		probing: make(map[string]struct{}),
		hints:   make(map[string]struct{}),
	}
	for _, addr := range opts.Seeds {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, errors.Wrapf(ErrOptions, "seed %q is not IP:port", addr)
		}
		if addr != self.PeerAddress {
			m.hints[addr] = struct{}{}
		}
	}
	m.changes = logbatch.New(opts.Clock, m.log, "host")
	m.signals.log = m.log
	opts.Registrar.Handle(MethodPing, m.handlePing)
	opts.Registrar.Handle(MethodProbe, m.handleProbe)
	return m, nil
}

// Run sends heartbeats until ctx ends. If Leave was called, it then announces to
// a few peers that the host has left.
func (m *Membership) Run(ctx context.Context) error {
	defer m.changes.Flush()
	var wg sync.WaitGroup
	defer wg.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if m.opts.Lister != nil {
		wg.Go(func() { m.listHosts(ctx) })
	}
	ticker := m.opts.Clock.NewTicker(DefaultInterval)
	defer ticker.Stop()
	for {
		m.round(ctx, &wg)
		select {
		case <-ctx.Done():
			m.announceDeparture(ctx, &wg)
			return nil
		case <-ticker.Chan():
		case <-m.wake:
		}
	}
}

// Members returns all known members, this host included, ordered by host.
func (m *Membership) Members() []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Members(m.opts.Clock.Now())
}

// Count counts the members.
func (m *Membership) Count() Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Count()
}

// Member returns the record of one host.
func (m *Membership) Member(host string) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Member(m.opts.Clock.Now(), host)
}

// Self returns the host's own record.
func (m *Membership) Self() Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Self()
}

// SetConfigRevision raises the configuration revision that heartbeats carry.
func (m *Membership) SetConfigRevision(revision int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.SetConfigRevision(revision)
}

// Leave marks the host as leaving and starts a heartbeat round at once. Run keeps
// answering until its context ends.
func (m *Membership) Leave() {
	m.change(func(now time.Time) []Member {
		m.table.Leave(now)
		return []Member{m.table.Self()}
	})
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// HasMajority reports whether this host reaches a majority of the known members;
// see Table.HasMajority.
func (m *Membership) HasMajority() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.HasMajority(m.opts.Clock.Now(), m.unknownSeeds())
}

// QuorumMembers returns the number of members from which the majority is computed,
// this host included.
func (m *Membership) QuorumMembers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.QuorumMembers(m.opts.Clock.Now(), m.unknownSeeds())
}

// unknownSeeds returns the number of seeds that are neither this host's peer address
// nor that of a live member. The caller holds the lock.
func (m *Membership) unknownSeeds() int {
	n := 0
	for _, addr := range m.opts.Seeds {
		if !m.table.hasAddress(addr) {
			n++
		}
	}
	return n
}

// Entries returns the list for GET /v1/entries.
func (m *Membership) Entries(now time.Time) EntryList {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Entries(now, m.opts.EntryTTL)
}

// OnChange registers f, which is called for each change of state, incarnation or
// identity of a member, in order. It must not block.
func (m *Membership) OnChange(f func(Member)) { m.events.register(f) }

// change runs f under the lock and publishes the changes that f returns. They are
// queued under the same lock, so that subscribers see them in order.
func (m *Membership) change(f func(now time.Time) []Member) {
	m.mu.Lock()
	changed := f(m.opts.Clock.Now())
	m.events.push(changed)
	m.mu.Unlock()
	for _, c := range changed {
		m.logChange(c)
	}
	m.events.drain()
}

var memberChanged = logbatch.Kind{Level: slog.LevelInfo, Message: "member changed"}

func (m *Membership) logChange(c Member) {
	m.changes.Add(logbatch.Change{
		Kind: memberChanged, ID: c.Host,
		Common: []slog.Attr{slog.Any("state", c.State)},
		Own:    []slog.Attr{slog.String("address", c.PeerAddress), slog.Int64("incarnation", c.Incarnation)},
	})
}

// asList converts the result of a Table method to a list of changes.
func asList(m Member, changed bool) []Member {
	if !changed {
		return nil
	}
	return []Member{m}
}

// listPeriod is the time between requests for the platform's host list. It need
// not be short, because the list lags.
const listPeriod = 10 * time.Second

// maxHints bounds the addresses taken from the host list.
const maxHints = 4096

func (m *Membership) listHosts(ctx context.Context) {
	for {
		hosts, err := m.opts.Lister.ListHosts(ctx)
		if err != nil {
			m.log.Warn("host list not read", "err", err)
		} else {
			m.setHints(hosts)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.opts.Clock.After(listPeriod):
		}
	}
}

// setHints replaces the addresses from the host list and keeps the seeds.
func (m *Membership) setHints(hosts []HostHint) {
	hints := make(map[string]struct{})
	for _, addr := range m.opts.Seeds {
		hints[addr] = struct{}{}
	}
	for _, h := range hosts {
		if _, err := netip.ParseAddrPort(h.PeerAddress); err == nil && len(hints) < maxHints {
			hints[h.PeerAddress] = struct{}{}
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(hints, m.table.Self().PeerAddress)
	m.hints = hints
}

// events delivers changes to subscribers in order, one at a time and without
// holding a lock.
type events struct {
	mu       sync.Mutex
	subs     []func(Member)
	queue    []Member
	draining bool
}

func (e *events) register(f func(Member)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.subs = append(e.subs, f)
}

func (e *events) push(changed []Member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.queue = append(e.queue, changed...)
}

// drain delivers the queued changes unless another goroutine is doing so.
func (e *events) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.draining {
		return
	}
	e.draining = true
	for len(e.queue) > 0 {
		next := e.queue[0]
		e.queue = e.queue[1:]
		subs := e.subs
		e.mu.Unlock()
		for _, f := range subs {
			f(next)
		}
		e.mu.Lock()
	}
	e.draining = false
}
