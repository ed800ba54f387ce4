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

// Replicator reaches the peers that hold copies.
type Replicator interface {
	// Pick returns a live peer other than those in not, preferably in another
	// failure domain, or "" if there is none.
	Pick(not ...string) string
	// Hold gives the peer copies of records. It may arrive twice or late.
	Hold(ctx context.Context, peer string, c Copies) error
	// Release tells the peer that records are stored or void.
	Release(ctx context.Context, peer string, r Released) error
}

// Copies are records that a host gives to a peer.
type Copies struct {
	Origin string `json:"origin"`
	// Sequence orders the messages of the origin.
	Sequence int64    `json:"sequence"`
	Records  []Record `json:"records"`
}

// Released are records whose copies a peer may drop.
type Released struct {
	Origin   string `json:"origin"`
	Sequence int64  `json:"sequence"`
	IDs      []ID   `json:"ids"`
}

// Config configures a Ledger.
type Config struct {
	// Host names this process, including its incarnation, so that no other
	// process ever writes under the same keys.
	Host string
	// FlushInterval is the time between two writes; zero means 2 s.
	FlushInterval time.Duration
	// HoldTimeout bounds the wait for a peer; zero means 300 ms.
	HoldTimeout time.Duration
	// MaxRecords bounds the records in memory; zero means 500,000, which is
	// hours of outage at 20 requests a second.
	MaxRecords int
	Logger     *slog.Logger
}

// Defaults of Config.
const (
	defaultFlushInterval = 2 * time.Second
	defaultHoldTimeout   = 300 * time.Millisecond
	defaultMaxRecords    = 500_000
)

// entry is a record in memory and the peer that has a copy.
type entry struct {
	record Record
	// peer has a copy, as far as known.
	peer string
	// former may have copies too: peers that failed or did not answer.
	former []string
	// runs counts the runs of the request on this host that have not ended; a
	// caller may repeat a request while it runs.
	runs int
	// done is set when the record is ready to be written.
	done bool
	// batch is set while the record is part of a batch that is being written.
	batch *batch
}

// replacement returns an entry for a better record, with the same peers. e may
// be nil.
func (e *entry) replacement(r Record) *entry {
	if e == nil {
		return &entry{record: r, done: true}
	}
	return &entry{record: r, done: true, peer: e.peer, former: e.former, runs: e.runs}
}

// holders returns the peers that may have copies.
func (e *entry) holders() []string {
	if e.peer == "" {
		return e.former
	}
	return append(slices.Clone(e.former), e.peer)
}

// moveFrom notes that the peer may have a copy but is not relied on.
func (e *entry) moveFrom(peer string) {
	if e.peer == peer {
		e.peer = ""
	}
	if !slices.Contains(e.former, peer) {
		e.former = append(e.former, peer)
	}
}

// Ledger keeps the records of one host. It is safe for concurrent use.
type Ledger struct {
	cfg   Config
	store kv.KV
	clock clockwork.Clock
	peers Replicator

	// flushing serialises the writes of batches.
	flushing sync.Mutex

	mu       sync.Mutex
	entries  map[ID]*entry
	batches  []*batch
	sequence int
	messages int64
	stats    Stats
	// holds are the messages under way by peer.
	holds map[string]*holdQueue
}

// Stats count what happened since the start.
type Stats struct {
	// Waiting is the number of records in memory.
	Waiting int
	// Written counts records stored in the key-value service.
	Written int64
	// Unreplicated counts records for which no peer took a copy.
	Unreplicated int64
	// TakenOver counts records written for hosts that failed.
	TakenOver int64
	// FlushErrors counts failed writes.
	FlushErrors int64
}

// New returns a ledger without records.
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
	return &Ledger{cfg: cfg, store: store, clock: clock, peers: peers, entries: make(map[ID]*entry), holds: make(map[string]*holdQueue)}
}

// Stats returns the counters.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Waiting = len(l.entries)
	return s
}

// Open notes a request before its first attempt and places a copy at a peer.
// A request whose id is already known, as after a repeat, keeps its record.
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

// Progress updates the copy of an open record, so that a host that dies leaves
// the cost so far. It does not wait.
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
		// A new entry, because the old one may be in a batch already.
		l.entries[r.ID] = e.replacement(r)
	default:
		// The same request has ended here before; its record stands.
		l.mu.Unlock()
		return
	}
	l.mu.Unlock()
	l.replicate(ctx, r.ID)
}

// Discard forgets a request that no endpoint has run.
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

// TakeOver accepts the records of a host that failed or left and writes them
// with its own. An open record becomes interrupted.
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
		// A run of this host that is still open replaces the record if it ends
		// better.
		l.entries[r.ID] = e.replacement(r)
		added = append(added, r)
	}
	l.stats.TakenOver += int64(len(added))
	l.mu.Unlock()
	l.spread(ctx, added)
}

// Run writes batches until ctx ends.
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
	l.sequence++
	return minutePrefix(minute) + l.cfg.Host + "/" + strconv.Itoa(l.sequence)
}
