// Package configstore keeps the operators' resources: it applies changes with
// one compare-and-swap, learns of new revisions from the store and from other
// hosts, and knows whether what it has is fresh.
package configstore

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/resource"
)

// Errors of this package. Invalid changes return resource.ErrInvalid.
var (
	// ErrConflict reports that the configuration has changed since the
	// expected revision. It comes as a *ConflictError.
	ErrConflict = errors.New("configstore: revision conflict")
	// ErrUnavailable reports that the change certainly was not accepted,
	// because the store or a majority of the hosts cannot be reached.
	ErrUnavailable = errors.New("configstore: unavailable")
	// ErrUnknown reports that the change may come into force: the reply was
	// lost and the store could not be read back in time, or the change is
	// stored but a majority of the hosts did not acknowledge it in time.
	ErrUnknown = errors.New("configstore: outcome unknown")
	// ErrOptions reports unusable options.
	ErrOptions = errors.New("configstore: invalid options")
	// ErrValue reports a value that is not a valid configuration.
	ErrValue = errors.New("configstore: malformed value")
)

// ConflictError says what has changed since the expected revision.
type ConflictError struct {
	// Expected is the revision that the change was based on.
	Expected int64
	// Actual is the revision in force.
	Actual int64
	// Changed are the keys that differ between the two, ordered.
	Changed []resource.Key
	// Complete is false if the expected revision is no longer in the history,
	// so that Changed is not known.
	Complete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configstore: revision conflict: expected %d, have %d, changed %v", e.Expected, e.Actual, e.Changed)
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Peer is another entry host, or this one.
type Peer struct {
	// Host is the unique name.
	Host string
	// Address is the IP:port for calls.
	Address string
	// FailureDomain locates the host.
	FailureDomain string
	// Revision is the configuration revision in the host's last heartbeat.
	Revision int64
	// Alive is false for suspected and leaving hosts, which do not watch.
	Alive bool
}

// Group is what this package needs to know about the other hosts.
type Group interface {
	// Self returns this host.
	Self() Peer
	// Peers returns the other live hosts.
	Peers() []Peer
	// HasMajority reports whether this host reaches a majority of the members.
	HasMajority() bool
	// QuorumMembers returns the number of members from which the majority is
	// computed, including this host.
	QuorumMembers() int
	// SetRevision sets the revision that heartbeats carry.
	SetRevision(revision int64)
}

// Registrar takes the handlers of this host; *peer.Server is one.
type Registrar interface {
	Handle(method string, h peer.Handler)
}

// Options configure a Store. KV, Group, Caller, Registrar and Rand are required.
type Options struct {
	// KV is the platform's key-value service.
	KV kv.KV
	// Group knows the other hosts.
	Group Group
	// Caller calls them.
	Caller peer.Caller
	// Registrar takes the handlers of this package.
	Registrar Registrar
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand draws peers. It is used under a lock.
	Rand *rand.Rand
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// HistoryLength is the number of revisions kept; it defaults to 200.
	HistoryLength int64
}

// Keys of the store.
const (
	// KeyCurrent holds the configuration in force.
	KeyCurrent = "config/current"
	// KeyHistory is the prefix of earlier revisions.
	KeyHistory = "config/history/"
)

const (
	// DefaultHistoryLength is the number of revisions kept, about two hours at
	// 2,900 changes a day.
	DefaultHistoryLength = 200
	// MaxStaleness is how long a confirmation by the store keeps a host fresh.
	MaxStaleness = 3 * time.Second
	// PollInterval bounds the loss by a silent watch.
	PollInterval = time.Second
	// SyncInterval is the period of comparing revisions with the heartbeats.
	SyncInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the store or a peer.
	callTimeout = time.Second
	// watchersPerDomain is the number of hosts of a failure domain that watch.
	watchersPerDomain = 2
	// pushFanout is the number of hosts that a new revision is pushed to.
	pushFanout = 3
)

// Store keeps one host's configuration. It is safe for concurrent use.
type Store struct {
	opts  Options
	log   *slog.Logger
	state atomic.Pointer[held]
	ready chan struct{}
	// changed wakes the loop that pushes a new revision to peers.
	changed chan struct{}
	// offers are revisions that peers have and this host may pull.
	offers chan pushRequest

	mu sync.Mutex
	// looked is when the majority was last looked at, resumed the end of the last pause.
	looked, resumed time.Time
	confirmedAt     time.Time // when the store was read last, directly or by a peer
	inGroup         bool      // has a majority and has caught up with it since
	seenStore       int64     // store revision of the value decoded last
	seenValue       int64     // configuration revision of that value
	historyDone     int64     // highest revision known to be in the history

	subMu    sync.Mutex
	subs     []func(*resource.Snapshot)
	notified int64
}

// held is the configuration in force with its stored form.
type held struct {
	snapshot *resource.Snapshot
	envelope envelope
	value    []byte
}

// New registers the handlers and returns a store with the empty revision 0.
func New(opts Options) (*Store, error) {
	if opts.KV == nil || opts.Group == nil || opts.Caller == nil || opts.Registrar == nil || opts.Rand == nil {
		return nil, errors.Wrap(ErrOptions, "KV, Group, Caller, Registrar and Rand are required")
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Logger == nil {
		opts.Logger = slog.Default()
	}
	if opts.HistoryLength <= 0 {
		opts.HistoryLength = DefaultHistoryLength
	}
	empty, err := resource.NewSnapshot(0, nil)
	if err != nil {
		return nil, errors.Wrap(err, "configstore: empty configuration")
	}
	s := &Store{
		opts:    opts,
		log:     opts.Logger.With("component", "configstore"),
		ready:   make(chan struct{}),
		changed: make(chan struct{}, 1),
		offers:  make(chan pushRequest, maxOffers),
	}
	s.state.Store(&held{snapshot: empty})
	opts.Registrar.Handle(MethodPush, s.handlePush)
	opts.Registrar.Handle(MethodPull, s.handlePull)
	return s, nil
}

// Current returns the configuration in force at this host, never nil.
func (s *Store) Current() *resource.Snapshot { return s.state.Load().snapshot }

// Ready is closed when Run has compared the store and the peers.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Subscribe registers f, which is called in order with each new revision; one
// that is overtaken by a newer one may be left out. It must not block and must
// not call Subscribe.
func (s *Store) Subscribe(f func(*resource.Snapshot)) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.subs = append(s.subs, f)
}

// accept puts a value in force if it is valid and its revision is higher than
// the one in force, from whatever source it comes.
func (s *Store) accept(env envelope, value []byte, source string) (bool, error) {
	if env.Revision <= s.Current().Revision {
		return false, nil
	}
	snapshot, err := resource.NewSnapshot(env.Revision, env.Resources)
	if err != nil {
		return false, errors.Mark(errors.Wrapf(err, "revision %d", env.Revision), ErrValue)
	}
	next := &held{snapshot: snapshot, envelope: env, value: value}
	for {
		old := s.state.Load()
		if env.Revision <= old.snapshot.Revision {
			return false, nil
		}
		if s.state.CompareAndSwap(old, next) {
			break
		}
	}
	s.log.Info("configuration in force", "revision", env.Revision, "author", env.Author, "source", source)
	s.notify()
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return true, nil
}

// notify tells subscribers and heartbeats of the newest revision. The lock
// keeps calls in order; a caller that comes late finds its revision notified.
func (s *Store) notify() {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	snapshot := s.Current()
	if snapshot.Revision <= s.notified {
		return
	}
	s.notified = snapshot.Revision
	s.opts.Group.SetRevision(snapshot.Revision)
	for _, f := range s.subs {
		f(snapshot)
	}
}

// confirm records that the configuration in force was the newest in the store
// at a time.
func (s *Store) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// confirmed returns the time of the last confirmation, zero for none.
func (s *Store) confirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// Fresh reports whether this host may accept new work: the store confirmed
// its configuration within MaxStaleness, directly or through a peer, or the host
// has a majority and so hears of each change. It is false until Ready.
func (s *Store) Fresh() bool {
	grouped := s.checkGroup()
	if !s.isReady() {
		return false
	}
	at := s.confirmed()
	return grouped || !at.IsZero() && s.opts.Clock.Since(at) <= MaxStaleness
}

func (s *Store) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

const (
	// maxLookGap is the longest ordinary time between two looks at the majority;
	// a longer one means that the host was paused.
	maxLookGap = 2*PollInterval + PollInterval/2
	// resumeTime is the time after a pause in which old heartbeats are read.
	resumeTime = 2 * time.Second
)

// checkGroup reports whether the majority vouches for the configuration. A
// host that regains a majority first catches up with the revisions in its
// heartbeats. A host that keeps it may lag for the moment a change takes.
//
// After a pause the heartbeats that waited in the connections look recent
// although they are as old as the pause, so the majority counts as lost until
// they have been read.
func (s *Store) checkGroup() bool {
	now := s.opts.Clock.Now()
	majority := s.opts.Group.HasMajority()
	s.mu.Lock()
	if !s.looked.IsZero() && now.Sub(s.looked) > maxLookGap {
		s.inGroup, s.resumed = false, now
	}
	s.looked = now
	kept := s.inGroup
	majority = majority && (kept || s.resumed.IsZero() || now.Sub(s.resumed) >= resumeTime)
	s.mu.Unlock()
	// Each request asks, so the peers are only looked at after a loss.
	regained := majority && !kept && !s.behindPeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inGroup = majority && (s.inGroup || regained)
	return s.inGroup
}

func (s *Store) behindPeers() bool {
	revision := s.Current().Revision
	return slices.ContainsFunc(s.opts.Group.Peers(), func(p Peer) bool { return p.Revision > revision })
}
