// Package feed follows the keys of a key-value store: one listing, then long polls
// for changes, and a new listing when the history has been compacted. It measures
// the age of its state with a clock that also runs while the host is paused.
package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// Sink receives the state. Its methods are not called concurrently.
type Sink interface {
	// Reset replaces the state with a full listing.
	Reset(l Listing)
	// Apply applies changes in order.
	Apply(events []kv.Event, afterOutage bool)
	// Relevant reports whether other hosts need a change. old is the previous
	// entry, nil if there was none. Other changes are not forwarded.
	Relevant(ev kv.Event, old *kv.Entry) bool
	// Tick is called after each answer of the store and each update from a peer.
	Tick()
}

// Listing is the complete contents of the store.
type Listing struct {
	Entries []kv.Entry
	// Revision is the revision up to which the listing is complete.
	Revision int64
	// AfterOutage is set right after an outage of the store, in which leases may have
	// expired, or after a restore.
	AfterOutage bool
}

// Options configure a Follower.
type Options struct {
	Source kv.Feed
	Sink   Sink
	// Prefix selects the keys to follow.
	Prefix string
	// Timing returns the waits and ages in force. They may change while the host runs.
	Timing func() Timing
	// CallTimeout is the time allowed for an answer, in addition to Timing.Wait.
	CallTimeout time.Duration
	// SettleTime is the time after an outage in which entries may be missing only
	// because their leases expired during the outage.
	SettleTime time.Duration
	Clock      clockwork.Clock
	Boottime   boottime.Clock
	Rand       *rand.Rand
	Logger     *slog.Logger
	// Direct reports whether this host follows the store itself. Nil means always.
	// Other hosts follow a host that does.
	Direct func() bool
	// QueryPeers, if set, asks several other hosts for the update after a revision and
	// returns the best answer, without waiting for a change. The data may be left out
	// if it is large. ErrNoState means that hosts answered but have no state.
	QueryPeers func(ctx context.Context, after int64) (Update, error)
	// FetchFrom gets the complete update after a revision from one host. That host
	// waits for a change, but at most for wait.
	FetchFrom func(ctx context.Context, host string, after int64, wait time.Duration) (Update, error)
	// PeerWait is the wait of FetchFrom while a host is followed, and PeerPause the
	// time before the next call after one that returned changes.
	PeerWait, PeerPause time.Duration
	// PeerFetchInterval is the time between two queries to other hosts while the state
	// is stale.
	PeerFetchInterval time.Duration
	// ProbeInterval returns the mean time between two calls to the store by a host
	// that does not follow it, while the other hosts' states are old as well. It grows
	// with the number of hosts, so that their calls do not add up in an outage.
	ProbeInterval func() time.Duration
	// ProbeRank, if set, returns how many other hosts without a direct feed are to call the
	// store before this one when all states are stale. The first calls of a few of them are
	// Timing.Hedge apart.
	ProbeRank func() int
	// Announce, if set, is called when the store's answer gives this host a current
	// state after an outage or a start. It tells the other hosts, which then follow
	// this host.
	Announce func()
}

// ErrNoState reports that the follower has no state yet.
var ErrNoState = errors.New("feed: no state yet")

// Follower keeps a Sink up to date with the store.
type Follower struct {
	opts Options

	// wake ends a pause when another host has announced a current state.
	wake chan struct{}
	// bulk is held while a large update is transferred from another host.
	bulk sync.Mutex
	// failing is set while calls to the store fail. Only Run uses it.
	failing bool
	// retryPause is the mean pause after the last failed call. Only Run uses it.
	retryPause time.Duration
	// probeAt is the time of the next call to the store while the states of all hosts
	// are old; zero while they are not. Only Run uses it.
	probeAt time.Time

	// stateMu guards the fields below and the state in the sink.
	stateMu   sync.Mutex
	revision  int64         // revision up to which the state is complete
	synced    bool          // a listing has been applied
	changed   chan struct{} // closed when the revision rises
	outageEnd time.Time     // end of the last outage
	packed    *lru.Cache[packKey, []byte]
	mirror    *mirror // relevant entries, for other hosts

	mu sync.Mutex
	// confirmed is the latest instant at which the state is known to have been
	// current.
	confirmed boottime.Instant
	// storeAnswered is when the store last answered this host directly.
	storeAnswered boottime.Instant
	everConfirmed bool
	ready         chan struct{}
	// confirmation is closed when confirmed rises.
	confirmation chan struct{}
	// upstream is the address of the host that is followed; empty for none. release ends
	// the call to it that is in progress; nil between calls.
	upstream string
	release  context.CancelFunc
	// call is the call to the store that is in progress, the zero value between calls, and
	// silence the last time in which it did not answer in time.
	call    storeCall
	silence silence
	// peerAnswered is when another host last answered a query, with a state or without.
	peerAnswered boottime.Instant
}

// New returns a follower without state until Run.
func New(opts Options) *Follower {
	packed, err := lru.New[packKey, []byte](packCacheSize)
	if err != nil {
		panic(err) // only for a size that is not positive
	}
	return &Follower{
		opts: opts, ready: make(chan struct{}), wake: make(chan struct{}, 1), mirror: newMirror(), packed: packed,
		changed: make(chan struct{}), confirmation: make(chan struct{}),
	}
}

// Ready is closed when the first listing has been applied.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// Confirmed returns the latest instant at which the state is known to have been
// current, or false if there is none.
func (f *Follower) Confirmed() (boottime.Instant, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed, f.everConfirmed
}

// Age returns the time since Confirmed, or false if the state was never current.
func (f *Follower) Age() (time.Duration, bool) {
	at, ok := f.Confirmed()
	return f.opts.Boottime().Sub(at), ok
}

// Stale reports whether the state is so old that a change which ought to be in force may be
// missing.
func (f *Follower) Stale() bool {
	age, known := f.Age()
	return !known || age >= f.opts.Timing().StaleAge
}

func (f *Follower) position() (revision int64, synced bool) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	return f.revision, f.synced
}

// applyChanges applies changes up to a revision, to a state that was current at an instant.
// It calls afterOutage under the lock, also without changes, because detectOutage records
// the end of an outage.
func (f *Follower) applyChanges(events []kv.Event, revision int64, current boottime.Instant, afterOutage func() bool) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	// A newer state may have come from another host in the meantime.
	events = slices.DeleteFunc(events, func(ev kv.Event) bool { return ev.Entry.Revision <= f.revision })
	events = newestVersions(events)
	for _, ev := range events {
		f.recordChange(ev)
	}
	if outage := afterOutage(); len(events) > 0 {
		f.opts.Sink.Apply(events, outage)
	}
	f.confirm(current) // before others are told of the revision, and so of the age
	f.advance(revision)
}

// advance raises the revision and wakes the hosts that wait for a change. The caller
// holds stateMu.
func (f *Follower) advance(revision int64) {
	if revision <= f.revision {
		return
	}
	f.revision = revision
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower) list(ctx context.Context) error {
	ctx, cancel := kv.WithTimeout(ctx, f.opts.Clock, f.opts.CallTimeout)
	defer cancel()
	started := f.opts.Boottime()
	entries, revision, err := f.opts.Source.List(ctx, f.opts.Prefix)
	if err != nil {
		f.stateMu.Lock()
		f.synced = false
		f.stateMu.Unlock()
		return err
	}
	f.reset(entries, revision, started, f.detectOutage)
	return nil
}

// reset applies a full listing, which was current at an instant, unless the state is already
// newer.
func (f *Follower) reset(entries []kv.Entry, revision int64, current boottime.Instant, afterOutage func() bool) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	f.synced = true
	if revision < f.revision {
		f.confirm(current)
		return
	}
	if kv.RevisionEra(revision) > kv.RevisionEra(f.revision) && f.revision > 0 {
		// The keys of leases are missing in the copy, although their holders may be alive.
		f.outageEnd = f.opts.Clock.Now()
		f.opts.Logger.Warn("store restored from a copy", "era", kv.RevisionEra(revision), "revision", kv.RevisionNumber(revision),
			"before", kv.RevisionNumber(f.revision))
	}
	f.mirror.reset(revision)
	for _, e := range entries {
		if f.opts.Sink.Relevant(kv.Event{Entry: e}, nil) {
			f.mirror.set(e)
		}
	}
	f.opts.Sink.Reset(Listing{Entries: entries, Revision: revision, AfterOutage: afterOutage() || f.inSettleTime()})
	f.confirm(current)
	f.advance(revision)
}

// outageGap is the time without a confirmation, by the store or by another host,
// after which an outage of the store is assumed. Other hosts are queried well before
// that.
const outageGap = 3 * time.Second

// detectOutage reports whether the store's answer comes right after an outage, in
// which leases may have expired. If the store rejects only this host, that is no
// outage, because other hosts keep confirming the state.
func (f *Follower) detectOutage() bool {
	if age, ok := f.Age(); ok && age > outageGap {
		f.outageEnd = f.opts.Clock.Now()
	}
	return f.inSettleTime()
}

func (f *Follower) inSettleTime() bool {
	return !f.outageEnd.IsZero() && f.opts.Clock.Since(f.outageEnd) < f.opts.SettleTime
}

// StoreAnsweredWithin reports whether the store has answered this host directly
// within the given time.
func (f *Follower) StoreAnsweredWithin(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.everConfirmed && f.storeAnswered != 0 && f.opts.Boottime().Sub(f.storeAnswered) <= within
}

// confirm records that the state was current at an instant, and wakes the hosts that wait
// for that. The first confirmation closes ready.
func (f *Follower) confirm(at boottime.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.everConfirmed && at <= f.confirmed {
		return
	}
	if !f.everConfirmed {
		close(f.ready)
	}
	f.confirmed, f.everConfirmed = at, true
	close(f.confirmation)
	f.confirmation = make(chan struct{})
}

// nextConfirmation returns a channel that is closed at the next confirmation.
func (f *Follower) nextConfirmation() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmation
}
