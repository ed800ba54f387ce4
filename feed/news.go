package feed

import (
	"context"
	"maps"
	"slices"

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
}

// maxHistory bounds the number of changes kept for other hosts.
const maxHistory = 1024

// recordChange keeps a change for other hosts if it is relevant to them.
func (f *Follower) recordChange(ev kv.Event) {
	var old *kv.Entry
	if e, ok := f.mirror[ev.Entry.Key]; ok {
		old = &e
	}
	if !f.opts.Sink.Relevant(ev, old) {
		return
	}
	if ev.Deleted {
		delete(f.mirror, ev.Entry.Key)
	} else {
		f.mirror[ev.Entry.Key] = ev.Entry
	}
	f.history = append(f.history, ev)
	if len(f.history) > maxHistory {
		f.historyFrom = f.history[0].Entry.Revision
		f.history = slices.Clone(f.history[1:])
	}
}

// UpdateSince returns the update for a host that has the state up to a revision.
func (f *Follower) UpdateSince(after int64) (Update, error) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	age, ok := f.Age()
	if !ok {
		return Update{}, ErrNoState
	}
	u := Update{Revision: f.revision, AgeMS: age.Milliseconds() + 1, AfterOutage: f.inSettleTime()}
	if f.revision <= after {
		return u, nil
	}
	if after < f.historyFrom {
		u.Full, u.Entries = true, slices.Collect(maps.Values(f.mirror))
		return u, nil
	}
	first := slices.IndexFunc(f.history, func(ev kv.Event) bool { return ev.Entry.Revision > after })
	if first >= 0 {
		u.Events = slices.Clone(f.history[first:])
	}
	return u, nil
}

// fetchWhileStale fetches updates from other hosts while the state is at least
// PeerFetchAge old.
func (f *Follower) fetchWhileStale(ctx context.Context) {
	ticker := f.opts.Clock.NewTicker(f.opts.PeerFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if age, ok := f.Age(); !ok || age >= f.opts.PeerFetchAge {
			f.fetchFromPeer(ctx)
		}
	}
}

// fetchFromPeer applies an update from another host. The reported age counts back
// from the start of the request, so that the time until the answer adds to the age.
func (f *Follower) fetchFromPeer(ctx context.Context) {
	started := f.opts.Boottime()
	after, _ := f.position()
	u, err := f.opts.FetchFromPeer(ctx, after)
	if err != nil || u.Revision < after {
		f.opts.Logger.Debug("no update from peer", "error", err, "at", after, "peer_at", u.Revision)
		return
	}
	afterOutage := func() bool { return u.AfterOutage }
	if u.Full {
		f.reset(u.Entries, u.Revision, afterOutage)
	} else {
		f.applyChanges(u.Events, u.Revision, afterOutage)
	}
	f.opts.Sink.Tick()
	f.confirm(started - boottime.Instant(u.age()))
}
