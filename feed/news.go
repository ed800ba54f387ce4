package feed

import (
	"context"
	"maps"
	"slices"

	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// Update is what one host tells another about its state.
type Update struct {
	// At is the revision up to which the state is complete.
	At int64 `json:"at"`
	// AgeMS is how long before the answer the state was known to be current.
	AgeMS int64 `json:"age_ms"`
	// AfterOutage is set right after an outage of the service, as the answering host
	// saw it. A host whose own news came late must not take that for an outage.
	AfterOutage bool `json:"disturbed,omitempty"`
	// Full is set if Entries are all keys; else Events are the changes.
	Full    bool       `json:"full,omitempty"`
	Entries []kv.Entry `json:"entries,omitempty"`
	Events  []kv.Event `json:"events,omitempty"`
}

// maxHistory bounds the changes kept for other hosts.
const maxHistory = 1024

// keep records a change for other hosts if it says something new.
func (f *Follower) keep(ev kv.Event) {
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

// UpdateSince returns what is new for a host that has the state up to a revision.
func (f *Follower) UpdateSince(after int64) (Update, error) {
	f.applying.Lock()
	defer f.applying.Unlock()
	age, ok := f.Age()
	if !ok {
		return Update{}, ErrNoState
	}
	n := Update{At: f.at, AgeMS: age.Milliseconds() + 1, AfterOutage: f.recentlyReturned()}
	if f.at <= after {
		return n, nil
	}
	if after < f.historyFrom {
		n.Full, n.Entries = true, slices.Collect(maps.Values(f.mirror))
		return n, nil
	}
	first := slices.IndexFunc(f.history, func(ev kv.Event) bool { return ev.Entry.Revision > after })
	if first >= 0 {
		n.Events = slices.Clone(f.history[first:])
	}
	return n, nil
}

// askWhileOld asks other hosts while the state is old.
func (f *Follower) askWhileOld(ctx context.Context) {
	ticker := f.opts.Clock.NewTicker(f.opts.PeerFetchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
		}
		if age, ok := f.Age(); !ok || age >= f.opts.PeerFetchAge {
			f.ask(ctx)
		}
	}
}

// ask takes over another host's news. The state was current at an instant that
// lies at most the reported age before the question, however long the answer
// took.
func (f *Follower) ask(ctx context.Context) {
	asked := f.opts.Boottime()
	at, _ := f.position()
	n, err := f.opts.FetchFromPeer(ctx, at)
	if err != nil || n.At < at {
		f.opts.Logger.Debug("no news from another host", "error", err, "at", at, "peer_at", n.At)
		return
	}
	disturbed := func() bool { return n.AfterOutage }
	if n.Full {
		f.reset(n.Entries, n.At, disturbed)
	} else {
		f.applyChanges(n.Events, n.At, disturbed)
	}
	f.opts.Sink.Tick()
	f.confirm(asked - boottime.Instant(n.age()))
}
