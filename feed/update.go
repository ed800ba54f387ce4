package feed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// Update is the state, or the changes to it, that one host sends to another.
type Update struct {
	// Revision is the revision up to which the state is complete.
	Revision int64 `json:"at"`
	// AgeMS is the age of the state in milliseconds at the time of the answer.
	AgeMS int64 `json:"age_ms"`
	// AfterOutage is set right after an outage of the store, as detected by the
	// answering host. A host must not take the late arrival of its own updates for
	// an outage.
	AfterOutage bool `json:"disturbed,omitempty"`
	// Full is set if Entries holds all keys. Otherwise Events holds the changes.
	Full    bool       `json:"full,omitempty"`
	Entries []kv.Entry `json:"entries,omitempty"`
	Events  []kv.Event `json:"events,omitempty"`
	// Packed holds Entries and Events in a compressed form; they are empty then.
	Packed []byte `json:"packed,omitempty"`
	// OmittedBytes is the size of the data if it is left out
	// because the query asked for a small answer.
	OmittedBytes int `json:"omitted,omitempty"`
	// WaitedMS is how long the answering host has waited for a change before it made
	// the answer, in milliseconds.
	WaitedMS int64 `json:"waited_ms,omitempty"`
	// From is the address of the host that answered.
	From string `json:"-"`
}

// Query asks a host for an update.
type Query struct {
	// After is the revision up to which the querying host has the state.
	After int64 `json:"after"`
	// Pack is set if the querying host can unpack an update.
	Pack bool `json:"pack,omitempty"`
	// MaxBytes is the size of the data from which the answer leaves it out; zero for
	// no limit. Several hosts are queried at the same time, and only one of them
	// should send much data.
	MaxBytes int `json:"max_bytes,omitempty"`
	// WaitMS is how long the answer may wait for a change, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// maxAnswerWait bounds the time for which an answer waits for a change.
const maxAnswerWait = 5 * time.Second

// recordChange keeps a change for other hosts if it is relevant to them.
func (f *Follower) recordChange(ev kv.Event) {
	if !f.opts.Sink.Relevant(ev, f.mirror.get(ev.Entry.Key)) {
		return
	}
	if ev.Deleted {
		f.mirror.remove(ev)
		return
	}
	f.mirror.set(ev.Entry)
}

// Answer returns the update that a query asks for. If the query allows it, Answer waits until
// the state changes or is confirmed, so that not only changes but also the age of the state
// reach the other host at once.
func (f *Follower) Answer(ctx context.Context, q Query) (Update, error) {
	started := f.opts.Boottime()
	confirmed := f.nextConfirmation()
	u, err := f.answerNow(q)
	if err != nil || q.WaitMS <= 0 || u.Revision > q.After || u.age() > f.opts.Timing().FreshAge {
		return u, err
	}
	select {
	case <-ctx.Done():
		return u, ctx.Err()
	case <-f.changedAfter(q.After):
	case <-confirmed:
	case <-f.opts.Clock.After(min(time.Duration(q.WaitMS)*time.Millisecond, maxAnswerWait)):
	}
	waited := f.opts.Boottime().Sub(started)
	u, err = f.answerNow(q)
	u.WaitedMS = waited.Milliseconds()
	return u, err
}

// changedAfter returns a channel that is closed once the revision is higher.
func (f *Follower) changedAfter(revision int64) <-chan struct{} {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if f.revision > revision {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return f.changed
}

// answerNow returns the update that a query asks for, without waiting.
func (f *Follower) answerNow(q Query) (Update, error) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	age, ok := f.Age()
	if !ok {
		return Update{}, ErrNoState
	}
	u := Update{Revision: f.revision, AgeMS: age.Milliseconds() + 1, AfterOutage: f.inSettleTime()}
	if f.revision <= q.After {
		return u, nil
	}
	f.mirror.update(&u, q.After)
	if q.Pack && u.dataBytes() >= minPackBytes {
		if err := f.packData(&u, q.After); err != nil {
			return Update{}, err
		}
	}
	if size := u.dataBytes(); q.MaxBytes > 0 && size > q.MaxBytes {
		u.Entries, u.Events, u.Packed, u.OmittedBytes = nil, nil, nil, size
	}
	return u, nil
}

// packData replaces the data of the update after a revision by its packed form. The
// caller holds stateMu.
func (f *Follower) packData(u *Update, after int64) error {
	key := packKey{after, u.Revision, u.Full}
	packed, ok := f.packed.Get(key)
	if !ok {
		var err error
		if packed, err = pack(u); err != nil {
			return err
		}
		f.packed.Add(key, packed)
	}
	u.Entries, u.Events, u.Packed = nil, nil, packed
	return nil
}

// dataBytes returns the size of the data in the update.
func (u *Update) dataBytes() int {
	n := len(u.Packed)
	for _, e := range u.Entries {
		n += len(e.Key) + len(e.Value)
	}
	for _, ev := range u.Events {
		n += len(ev.Entry.Key) + len(ev.Entry.Value)
	}
	return n
}

// fetchWhileStale fetches updates from other hosts from the moment at which the state becomes
// stale.
func (f *Follower) fetchWhileStale(ctx context.Context) {
	next := f.opts.PeerFetchInterval
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.opts.Clock.After(next):
		}
		t := f.opts.Timing()
		if age, known := f.Age(); known && age < t.StaleAge {
			// The age also grows while the host is suspended and this clock stands still.
			next = min(t.StaleAge-age, f.opts.PeerFetchInterval)
			continue
		}
		f.fetchFromPeer(ctx, t.QueryTime)
		next = f.opts.PeerFetchInterval
	}
}

// fetchFromPeer applies an update from another host, and follows that host if its state
// is fresh. Hosts are queried for at most limit.
func (f *Follower) fetchFromPeer(ctx context.Context, limit time.Duration) {
	started := f.opts.Boottime()
	after, _ := f.position()
	u, err := f.queryPeers(ctx, after, limit)
	if err == nil || errors.Is(err, ErrNoState) {
		f.recordPeerAnswer()
	}
	from := u.From
	if err == nil && u.OmittedBytes > 0 {
		started = f.opts.Boottime()
		u, err = f.fetchBulk(ctx, from, after)
	}
	if err == nil {
		err = f.applyUpdate(u, started)
	}
	if err != nil {
		f.opts.Logger.Debug("no update from peer", "error", err, "after", after)
		return
	}
	if u.age() <= f.opts.Timing().FreshAge {
		f.follow(from)
	}
}

func (f *Follower) recordPeerAnswer() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerAnswered = f.opts.Boottime()
}

// errOlderState reports an update that is older than the state of this host.
var errOlderState = errors.New("feed: older than the state of this host")

// applyUpdate applies an update that was requested at an instant. Its age counts back
// from the request and the wait for a change, so that the time until the answer adds to
// the age.
func (f *Follower) applyUpdate(u Update, requested boottime.Instant) error {
	if err := u.unpack(); err != nil {
		return err
	}
	if at, _ := f.position(); u.Revision < at {
		return errors.Wrapf(errOlderState, "revision %d, have %d", u.Revision, at)
	}
	afterOutage := func() bool { return u.AfterOutage }
	current := requested + boottime.Instant(u.waited()-u.age())
	if u.Full {
		f.reset(u.Entries, u.Revision, current, afterOutage)
	} else {
		f.applyChanges(u.Events, u.Revision, current, afterOutage)
	}
	f.opts.Sink.Tick()
	return nil
}

// waited returns the time for which the answering host has waited.
func (u Update) waited() time.Duration { return time.Duration(u.WaitedMS) * time.Millisecond }

func (f *Follower) queryPeers(ctx context.Context, after int64, limit time.Duration) (Update, error) {
	ctx, cancel := kv.WithTimeout(ctx, f.opts.Clock, limit)
	defer cancel()
	return f.opts.QueryPeers(ctx, after)
}

// errBulkInProgress reports that a large update is already being transferred.
var errBulkInProgress = errors.New("feed: another large update is being transferred")

// fetchBulk gets an update from one host that may be large. Only one is transferred at a
// time, because several would share a slow link and all come too late.
func (f *Follower) fetchBulk(ctx context.Context, host string, after int64) (Update, error) {
	if !f.bulk.TryLock() {
		return Update{}, errBulkInProgress
	}
	defer f.bulk.Unlock()
	u, err := f.opts.FetchFrom(ctx, host, after, 0)
	f.opts.Logger.Info("large update", "from", host, "after", after, "at", u.Revision, "bytes", u.dataBytes(), "error", err)
	return u, err
}
