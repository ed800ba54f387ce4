// Package feed follows the keys of a key-value service: one listing, then
// bounded waits for changes, and a new listing where the history is gone. It
// knows how recent its state is, by a clock that counts pauses of the host.
package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// Sink receives the state. Its methods are called one at a time.
type Sink interface {
	// Reset replaces the state by a whole listing. disturbed is set right after an
	// outage of the service, in which leases may have lapsed.
	Reset(entries []kv.Entry, disturbed bool)
	// Apply applies changes in their order.
	Apply(events []kv.Event, disturbed bool)
	// Relevant reports whether a change says something new, given the entry that
	// was there before; nil for none. Other changes are not passed on to hosts.
	Relevant(ev kv.Event, old *kv.Entry) bool
	// Tick is called after each answer of the service.
	Tick()
}

// Options configure a Follower.
type Options struct {
	Source kv.Feed
	Sink   Sink
	// Prefix selects the keys.
	Prefix string
	// Wait bounds the time that the service holds a call without changes.
	Wait time.Duration
	// Pause is the time between calls, so that changes that come one after the
	// other cost one call.
	Pause time.Duration
	// CallTimeout is the time for an answer, beside Wait.
	CallTimeout time.Duration
	// SettleTime is the time after an outage in which entries that vanish may have
	// lapsed.
	SettleTime time.Duration
	Clock      clockwork.Clock
	Boottime   boottime.Clock
	Rand       *rand.Rand
	Logger     *slog.Logger
	// Direct reports whether this host follows the service itself; nil stands for
	// always. Other hosts follow one that does.
	Direct func() bool
	// FetchFromPeer, if set, asks another host for what is new after a revision.
	FetchFromPeer func(ctx context.Context, after int64) (Update, error)
	// PeerFetchAge is the age of the state from which a host asks both the service and
	// other hosts, whichever it follows; PeerFetchInterval is the time between two
	// questions to hosts then.
	PeerFetchAge, PeerFetchInterval time.Duration
}

// ErrNoState reports a follower that has no state to pass on.
var ErrNoState = errors.New("feed: no state")

// Follower keeps a Sink up to date.
type Follower struct {
	opts Options

	failing bool

	// applying guards the state that the sink holds.
	applying sync.Mutex
	at       int64
	synced   bool
	returned time.Time // end of the last outage
	mirror   map[string]kv.Entry
	// history holds the newest changes, complete after the revision historyFrom.
	history     []kv.Event
	historyFrom int64

	mu        sync.Mutex
	confirmed boottime.Instant
	// answered is when the service last answered this host itself.
	answered boottime.Instant
	ever     bool
	ready    chan struct{}
}

// New returns a follower that knows nothing until Run.
func New(opts Options) *Follower {
	return &Follower{opts: opts, ready: make(chan struct{}), mirror: make(map[string]kv.Entry)}
}

// Ready is closed when the first listing has been applied.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Confirmed returns the latest instant at which the state was known to be
// current; false if there was none.
func (f *Follower) Confirmed() (boottime.Instant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed, f.ever
}

// Age returns how long ago the state was known to be current; false if it never was.
func (f *Follower) Age() (time.Duration, bool) {
	at, ok := f.Confirmed()
	return f.opts.Boottime().Sub(at), ok
}

// Bounds of the pause after failed calls. The service counts each call, but
// news must not wait long after it has come back.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 400 * time.Millisecond
)

// Run follows the service until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if f.opts.FetchFromPeer != nil {
		wg.Go(func() { f.askWhileOld(ctx) })
	}
	for ctx.Err() == nil {
		if left := f.indirect(); left > 0 {
			askCtx, cancel := kv.WithTimeout(ctx, f.opts.Clock, left)
			f.ask(askCtx)
			cancel()
			f.pause(ctx, min(f.opts.Pause, left))
			continue
		}
		started := f.opts.Boottime()
		err := f.step(ctx)
		pause := f.opts.Pause
		switch {
		case ctx.Err() != nil:
			return nil
		case err != nil:
			pause = f.fail(err)
		default:
			f.succeed(started)
		}
		f.pause(ctx, pause)
	}
	return nil
}

func (f *Follower) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-f.opts.Clock.After(d):
	}
}

// indirect returns for how long another host is followed in place of the
// service: until the state grows old, and never by a direct host.
func (f *Follower) indirect() time.Duration {
	if f.opts.Direct == nil || f.opts.FetchFromPeer == nil || f.opts.Direct() {
		return 0
	}
	age, ok := f.Age()
	if !ok {
		return 0
	}
	return max(0, f.opts.PeerFetchAge-age)
}

// step makes one call and hands on its result.
func (f *Follower) step(ctx context.Context) error {
	at, synced := f.position()
	if !synced {
		return f.list(ctx)
	}
	callCtx, cancel := kv.WithTimeout(ctx, f.opts.Clock, f.opts.Wait+f.opts.CallTimeout)
	defer cancel()
	events, now, err := f.opts.Source.Changes(callCtx, f.opts.Prefix, at, f.opts.Wait)
	if errors.Is(err, kv.ErrCompacted) {
		f.opts.Logger.Warn("history of the store is gone, listing again", "after", at)
		return f.list(ctx)
	}
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			return errors.Wrapf(err, "no answer within %v", f.opts.Wait+f.opts.CallTimeout)
		}
		return err
	}
	f.applyChanges(events, now, f.disturbed)
	return nil
}

func (f *Follower) position() (at int64, synced bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	return f.at, f.synced
}

// applyChanges takes over changes; disturbed is asked under the lock.
func (f *Follower) applyChanges(events []kv.Event, at int64, disturbed func() bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	// Another host's state may have come meanwhile.
	events = slices.DeleteFunc(events, func(ev kv.Event) bool { return ev.Entry.Revision <= f.at })
	for _, ev := range events {
		f.keep(ev)
	}
	if after := disturbed(); len(events) > 0 {
		f.opts.Sink.Apply(events, after)
	}
	f.at = max(f.at, at)
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := kv.WithTimeout(ctx, f.opts.Clock, f.opts.CallTimeout)
	defer cancel()
	entries, at, err := f.opts.Source.List(ctx, f.opts.Prefix)
	if err != nil {
		f.applying.Lock()
		f.synced = false
		f.applying.Unlock()
		return err
	}
	f.reset(entries, at, f.disturbed)
	return nil
}

// reset takes over a whole listing unless the state is newer already.
func (f *Follower) reset(entries []kv.Entry, at int64, disturbed func() bool) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.synced = true
	if at < f.at {
		return
	}
	clear(f.mirror)
	f.history, f.historyFrom = nil, at
	for _, e := range entries {
		if f.opts.Sink.Relevant(kv.Event{Entry: e}, nil) {
			f.mirror[e.Key] = e
		}
	}
	f.opts.Sink.Reset(entries, disturbed())
	f.at = at
}

// outageGap is the time without a confirmation, by the service or by another
// host, from which the service counts as having been away. Other hosts are asked
// well before it.
const outageGap = 3 * time.Second

// disturbed reports whether what the service says now comes right after an
// outage, so that entries may have lapsed in it. A service that turns away only
// this host is no outage: other hosts confirm the state meanwhile.
func (f *Follower) disturbed() bool {
	if age, ok := f.Age(); ok && age > outageGap {
		f.returned = f.opts.Clock.Now()
	}
	return f.recentlyReturned()
}

func (f *Follower) recentlyReturned() bool {
	return !f.returned.IsZero() && f.opts.Clock.Since(f.returned) < f.opts.SettleTime
}

func (f *Follower) fail(err error) time.Duration {
	if !f.failing {
		f.opts.Logger.Warn("lost the store", "error", err)
	}
	f.failing = true
	return minRetryPause + time.Duration(f.opts.Rand.Int64N(int64(maxRetryPause-minRetryPause)))
}

func (f *Follower) succeed(started boottime.Instant) {
	if f.failing {
		f.failing = false
		f.opts.Logger.Info("regained the store")
	}
	f.opts.Sink.Tick()
	f.confirm(started)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = f.opts.Boottime()
}

// StoreAnsweredWithin reports whether the service has answered this host itself within a time.
func (f *Follower) StoreAnsweredWithin(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ever && f.answered != 0 && f.opts.Boottime().Sub(f.answered) <= within
}

// confirm records that the state was current at an instant.
func (f *Follower) confirm(at boottime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ever && at <= f.confirmed {
		return
	}
	if !f.ever {
		close(f.ready)
	}
	f.confirmed, f.ever = at, true
}
