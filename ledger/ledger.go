package ledger

import (
	"context"
	"log/slog"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
)

// Replicator sends messages to the peers that hold copies of records.
type Replicator interface {
	// Pick returns a live peer that is not in exclude, preferably in another
	// failure domain, or "" if there is none.
	Pick(exclude ...string) string
	// Hold sends copies of records to the peer. The message may arrive twice or
	// late.
	Hold(ctx context.Context, peer string, c Copies) error
	// Release allows the peer to drop copies, because their records are stored
	// or discarded.
	Release(ctx context.Context, peer string, r Released) error
}

// Copies is the message with which a host sends copies of its records to a peer.
type Copies struct {
	// Origin is the host that owns the records.
	Origin string `json:"origin"`
	// Sequence orders the messages of the origin.
	Sequence int64    `json:"sequence"`
	Records  []Record `json:"records"`
}

// Released is the message that lists the records whose copies a peer may drop.
type Released struct {
	Origin   string `json:"origin"`
	Sequence int64  `json:"sequence"`
	IDs      []ID   `json:"ids"`
}

// Config configures a Ledger.
type Config struct {
	// Host identifies this process, including its incarnation, so that no other
	// process ever writes under the same store keys.
	Host string
	// FlushInterval is the time between two flushes; zero means 2 s.
	FlushInterval time.Duration
	// HoldTimeout bounds the wait for a peer's reply; zero means 300 ms.
	HoldTimeout time.Duration
	// MaxRecords bounds the records in memory; zero means 500,000, which covers a
	// store outage of hours at 20 requests per second.
	MaxRecords int
	Logger     *slog.Logger
}

// Defaults of Config.
const (
	defaultFlushInterval = 2 * time.Second
	defaultHoldTimeout   = 300 * time.Millisecond
	defaultMaxRecords    = 500_000
)

// entry is a record in memory together with its replication and write state.
type entry struct {
	record Record
	// peer is the peer that holds a copy; empty if no copy is known.
	peer string
	// formerPeers failed or did not answer; they may hold copies as well.
	formerPeers []string
	// runs counts the unfinished runs of the request on this host; a caller may
	// retry a request while it is still running.
	runs int
	// done is set when the record is ready to be written.
	done bool
	// batch is set while the record is part of a batch that is being written.
	batch *batch
}

// replacement returns a finished entry for r that keeps the peers and runs of e,
// which may be nil.
func (e *entry) replacement(r Record) *entry {
	if e == nil {
		return &entry{record: r, done: true}
	}
	return &entry{record: r, done: true, peer: e.peer, formerPeers: e.formerPeers, runs: e.runs}
}

// holders returns all peers that may hold copies.
func (e *entry) holders() []string {
	if e.peer == "" {
		return e.formerPeers
	}
	return append(slices.Clone(e.formerPeers), e.peer)
}

// demotePeer records that the peer may hold a copy but can't be relied on.
func (e *entry) demotePeer(peer string) {
	if e.peer == peer {
		e.peer = ""
	}
	if !slices.Contains(e.formerPeers, peer) {
		e.formerPeers = append(e.formerPeers, peer)
	}
}

// Ledger keeps the billing records of one host. It is safe for concurrent use.
type Ledger struct {
	cfg   Config
	store kv.KV
	clock clockwork.Clock
	peers Replicator

	// flushing serializes flushes.
	flushing sync.Mutex

	mu              sync.Mutex
	entries         map[ID]*entry
	batches         []*batch
	batchSequence   int
	messageSequence int64
	stats           Stats
	// holdQueues holds the outgoing copies by peer.
	holdQueues map[string]*holdQueue
}

// Stats holds counters since the process started.
type Stats struct {
	// Waiting is the number of records that are in memory now.
	Waiting int
	// Written counts records stored in the key-value service.
	Written int64
	// Unreplicated counts records of which no peer accepted a copy.
	Unreplicated int64
	// TakenOver counts records accepted from hosts that failed or left.
	TakenOver int64
	// FlushErrors counts failed writes.
	FlushErrors int64
}

// New returns an empty ledger.
func New(store kv.KV, clock clockwork.Clock, peers Replicator, cfg Config) *Ledger {
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = defaultFlushInterval
	}
	if cfg.HoldTimeout == 0 {
		cfg.HoldTimeout = defaultHoldTimeout
	}
	if cfg.MaxRecords == 0 {
		cfg.MaxRecords = defaultMaxRecords
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	return &Ledger{cfg: cfg, store: store, clock: clock, peers: peers, entries: make(map[ID]*entry), holdQueues: make(map[string]*holdQueue)}
}

func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Waiting = len(l.entries)
	return s
}

// Open adds the record of a request before its first attempt and replicates it
// to a peer. If the id is already known, because the caller retried, the existing
// record stays. Open returns ErrFull if MaxRecords is reached.
func (l *Ledger) Open(ctx context.Context, r Record) error {
	r.State, r.Host = StateOpen, l.cfg.Host
	l.mu.Lock()
	if e, known := l.entries[r.ID]; known {
		e.runs++
		l.mu.Unlock()
		return nil
	}
	if len(l.entries) >= l.cfg.MaxRecords {
		l.mu.Unlock()
		return ErrFull
	}
	l.entries[r.ID] = &entry{record: r, runs: 1}
	l.mu.Unlock()
	l.replicate(ctx, r.ID)
	return nil
}

// Progress updates an open record and its copy, so that the cost so far is billed
// if the host fails. It does nothing if the record has already ended, and returns
// like Finish.
func (l *Ledger) Progress(ctx context.Context, r Record) {
	r.State, r.Host = StateOpen, l.cfg.Host
	l.mu.Lock()
	e, ok := l.entries[r.ID]
	ok = ok && !e.done
	if ok {
		e.record = r
	}
	l.mu.Unlock()
	if ok {
		l.replicate(ctx, r.ID)
	}
}

// Finish ends a request; r.State must be StateFinal or StateInterrupted. It
// returns once a peer has the record or no peer can be reached. The caller sends
// the last byte of the answer only after that.
func (l *Ledger) Finish(ctx context.Context, r Record) {
	r.Host = l.cfg.Host
	l.mu.Lock()
	e, ok := l.entries[r.ID]
	switch {
	case !ok:
		l.entries[r.ID] = &entry{record: r, done: true}
	case !e.done:
		e.record, e.done = r, true
	case Supersedes(r, e.record):
		// A new entry is needed because the old one may already be in a batch.
		l.entries[r.ID] = e.replacement(r)
	default:
		// The request has already ended here with a record that takes precedence.
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.replicate(ctx, r.ID)
}

// Discard removes the record of a request that no endpoint has run.
func (l *Ledger) Discard(ctx context.Context, id ID) {
	l.mu.Lock()
	e, ok := l.entries[id]
	if ok {
		e.runs--
	}
	if !ok || e.done || e.runs > 0 {
		l.mu.Unlock()
		return
	}
	delete(l.entries, id)
	byPeer := make(map[string][]ID)
	for _, peer := range e.holders() {
		byPeer[peer] = []ID{id}
	}
	l.mu.Unlock()
	l.release(ctx, byPeer)
}

// TakeOver accepts the records of a host that failed or left, to be written with
// this host's own. Open records become interrupted.
func (l *Ledger) TakeOver(ctx context.Context, records []Record) {
	now := l.clock.Now()
	l.mu.Lock()
	var added []Record
	for _, r := range records {
		if r.State == StateOpen {
			r.State = StateInterrupted
			if r.Completed.IsZero() {
				r.Completed = now
			}
		}
		e, known := l.entries[r.ID]
		if known && e.done && !Supersedes(r, e.record) {
			continue
		}
		// A run that is still open on this host replaces the record later if its
		// own record supersedes it.
		l.entries[r.ID] = e.replacement(r)
		added = append(added, r)
	}
	l.stats.TakenOver += int64(len(added))
	l.mu.Unlock()
	l.placeInChunks(ctx, added)
}

// Run flushes records and replaces lost copies periodically until ctx ends.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.clock.After(l.cfg.FlushInterval):
		}
		if err := l.Flush(ctx); err != nil && ctx.Err() == nil {
			l.cfg.Logger.Warn("ledger not written", "waiting", l.Stats().Waiting, "error", err)
		}
		l.Replicate(ctx)
	}
}

func (l *Ledger) nextKey(minute time.Time) string {
	l.batchSequence++
	return minutePrefix(minute) + l.cfg.Host + "/" + strconv.Itoa(l.batchSequence)
}
