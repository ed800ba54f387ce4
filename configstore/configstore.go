// Package configstore replicates the operators' resources to every host. It
// applies a change with one compare-and-swap, receives new revisions from the
// store and from other hosts, and reports whether the local copy is fresh.
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
	// expected revision. It is returned as a *ConflictError.
	ErrConflict = errors.New("configstore: revision conflict")
	// ErrUnavailable reports that the change was not accepted because the store
	// or a majority of the hosts cannot be reached.
	ErrUnavailable = errors.New("configstore: unavailable")
	// ErrUnknown reports that the change may come into force. Either the reply
	// was lost and the store could not be read back in time, or the change is
	// stored but a majority of the hosts did not acknowledge it in time.
	ErrUnknown = errors.New("configstore: outcome unknown")
	// ErrOptions reports unusable options.
	ErrOptions = errors.New("configstore: invalid options")
	// ErrValue reports a value that is not a valid configuration.
	ErrValue = errors.New("configstore: malformed value")
)

// ConflictError lists the keys that have changed since the expected revision.
type ConflictError struct {
	// Expected is the revision that the change was based on.
	Expected int64
	// Actual is the revision in force.
	Actual int64
	// Changed holds the keys that differ between the two, sorted.
	Changed []resource.Key
	// Complete is false if the expected revision is no longer in the history,
	// so that Changed cannot be computed.
	Complete bool
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configstore: revision conflict: expected %d, have %d, changed %v", e.Expected, e.Actual, e.Changed)
}

// Unwrap makes errors.Is(err, ErrConflict) true.
func (e *ConflictError) Unwrap() error { return ErrConflict }

// Peer describes an entry host: another one or this one.
type Peer struct {
	// Host is the unique name of the host.
	Host string
	// Address is the IP:port of the host's peer server.
	Address string
	// FailureDomain is the failure domain of the host.
	FailureDomain string
	// Revision is the configuration revision in the host's last heartbeat.
	Revision int64
	// Alive is false for suspected and leaving hosts. They do not watch the store.
	Alive bool
}

// Group is the view of the cluster's hosts that a Store needs.
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

// Registrar registers RPC handlers. *peer.Server implements it.
type Registrar interface {
	Handle(method string, h peer.Handler)
}

// Options configure a Store. KV, Group, Caller, Registrar and Rand are required.
type Options struct {
	// KV is the platform's key-value service.
	KV kv.KV
	// Group supplies the other hosts.
	Group Group
	// Caller sends requests to the other hosts.
	Caller peer.Caller
	// Registrar registers the handlers of the Store.
	Registrar Registrar
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Rand selects peers. It is only used under a lock.
	Rand *rand.Rand
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// HistoryLength is the number of revisions kept in the history. It defaults
	// to DefaultHistoryLength.
	HistoryLength int64
}

// Keys in the key-value service.
const (
	// KeyCurrent holds the configuration in force.
	KeyCurrent = "config/current"
	// KeyHistory is the prefix of the keys that hold past revisions.
	KeyHistory = "config/history/"
)

const (
	// DefaultHistoryLength is the default number of revisions kept. It covers
	// about two hours at 2,900 changes a day.
	DefaultHistoryLength = 200
	// MaxStaleness is how long a confirmation by the store keeps a host fresh.
	MaxStaleness = 3 * time.Second
	// PollInterval is the period of reading the store. It bounds the delay when
	// a watch stops delivering events.
	PollInterval = time.Second
	// SyncInterval is the period of comparing the local revision with those in
	// the peers' heartbeats.
	SyncInterval = 500 * time.Millisecond
	// callTimeout bounds one call to the store or a peer.
	callTimeout = time.Second
	// watchersPerDomain is the number of hosts per failure domain that watch the
	// store.
	watchersPerDomain = 2
	// pushFanout is the number of peers that each host pushes a new revision to.
	pushFanout = 3
)

// Store holds the configuration of one host. It is safe for concurrent use.
type Store struct {
	opts   Options
	log    *slog.Logger
	active atomic.Pointer[activeConfig]
	ready  chan struct{}
	// changed wakes the loop that pushes a new revision to peers.
	changed chan struct{}
	// offers queues revisions announced by peers without their value, for this
	// host to pull.
	offers chan pushRequest

	mu sync.Mutex
	// majorityCheckedAt is when the majority was last checked. resumedAt is when
	// the end of the last pause of the process was noticed.
	majorityCheckedAt, resumedAt time.Time
	confirmedAt                  time.Time // last time the store was read, directly or by a peer
	caughtUp                     bool      // has a majority and has caught up with its revisions
	decodedStoreRevision         int64     // store revision of the value decoded last
	decodedRevision              int64     // configuration revision of that value
	historyRevision              int64     // highest revision known to be in the history

	subMu            sync.Mutex
	subscribers      []func(*resource.Snapshot)
	notifiedRevision int64
}

// activeConfig is the configuration in force, decoded and in its stored form.
type activeConfig struct {
	snapshot *resource.Snapshot
	envelope envelope
	value    []byte
}

// New registers the handlers and returns a Store that holds the empty revision 0.
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
	s.active.Store(&activeConfig{snapshot: empty})
	opts.Registrar.Handle(MethodPush, s.handlePush)
	opts.Registrar.Handle(MethodPull, s.handlePull)
	return s, nil
}

// Current returns the configuration in force at this host, never nil.
func (s *Store) Current() *resource.Snapshot { return s.active.Load().snapshot }

// Ready returns a channel that is closed when Run has read the configuration
// from the store or from peers for the first time.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Subscribe registers f, which is called with each new revision in order. A
// revision may be skipped if a newer one is already in force. f must not block
// and must not call Subscribe.
func (s *Store) Subscribe(f func(*resource.Snapshot)) {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	s.subscribers = append(s.subscribers, f)
}

// accept puts a value in force if it is valid and its revision is higher than
// the one in force, and reports whether it did. source names the origin of the
// value in the log.
func (s *Store) accept(env envelope, value []byte, source string) (bool, error) {
	if env.Revision <= s.Current().Revision {
		return false, nil
	}
	snapshot, err := resource.NewSnapshot(env.Revision, env.Resources)
	if err != nil {
		return false, errors.Mark(errors.Wrapf(err, "revision %d", env.Revision), ErrValue)
	}
	next := &activeConfig{snapshot: snapshot, envelope: env, value: value}
	for {
		old := s.active.Load()
		if env.Revision <= old.snapshot.Revision {
			return false, nil
		}
		if s.active.CompareAndSwap(old, next) {
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

// notify passes the newest revision to the subscribers and the heartbeats. The
// lock keeps the calls in order. A caller whose revision was already passed on,
// or replaced by a newer one that was, does nothing.
func (s *Store) notify() {
	s.subMu.Lock()
	defer s.subMu.Unlock()
	snapshot := s.Current()
	if snapshot.Revision <= s.notifiedRevision {
		return
	}
	s.notifiedRevision = snapshot.Revision
	s.opts.Group.SetRevision(snapshot.Revision)
	for _, f := range s.subscribers {
		f(snapshot)
	}
}

// confirm records that the configuration in force was the newest in the store
// at the given time.
func (s *Store) confirm(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// lastConfirmed returns the time of the last confirmation, or zero if there was
// none.
func (s *Store) lastConfirmed() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmedAt
}

// Fresh reports whether this host may accept new work: the store confirmed
// its configuration within MaxStaleness, directly or through a peer, or the host
// has a majority and so receives every change. It is false until Ready is closed.
func (s *Store) Fresh() bool {
	majority := s.checkMajority()
	if !s.isReady() {
		return false
	}
	at := s.lastConfirmed()
	return majority || !at.IsZero() && s.opts.Clock.Since(at) <= MaxStaleness
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
	// maxCheckGap is the longest regular interval between two majority checks. A
	// longer one means that the process was paused.
	maxCheckGap = 2*PollInterval + PollInterval/2
	// resumeDelay is the time allowed after a pause for reading the old heartbeats
	// that waited in the connections.
	resumeDelay = 2 * time.Second
)

// checkMajority reports whether this host has a majority and is up to date with
// it. A host that regains a majority must first catch up with the revisions in
// its peers' heartbeats. A host that keeps its majority may lag behind for as
// long as a change takes to spread.
//
// After a pause of the process, the heartbeats that waited in the connections
// look recent although they may be as old as the pause. The majority therefore
// counts as lost until they have been read.
func (s *Store) checkMajority() bool {
	now := s.opts.Clock.Now()
	majority := s.opts.Group.HasMajority()
	s.mu.Lock()
	if !s.majorityCheckedAt.IsZero() && now.Sub(s.majorityCheckedAt) > maxCheckGap {
		s.caughtUp, s.resumedAt = false, now
	}
	s.majorityCheckedAt = now
	wasCaughtUp := s.caughtUp
	majority = majority && (wasCaughtUp || s.resumedAt.IsZero() || now.Sub(s.resumedAt) >= resumeDelay)
	s.mu.Unlock()
	// This runs for each request, so the peers are only compared after a loss of
	// the majority.
	regained := majority && !wasCaughtUp && !s.behindPeers()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.caughtUp = majority && (s.caughtUp || regained)
	return s.caughtUp
}

func (s *Store) behindPeers() bool {
	revision := s.Current().Revision
	return slices.ContainsFunc(s.opts.Group.Peers(), func(p Peer) bool { return p.Revision > revision })
}
