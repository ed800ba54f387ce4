package memkv

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
)

// Fault is a kind of injected fault.
type Fault string

// The faults that a Faulty store injects.
const (
	// None lets the call succeed.
	None Fault = ""
	// Outage fails calls with ErrUnavailable; they have no effect.
	Outage Fault = "outage"
	// ReplyLost loses the reply of a write that took effect; the caller sees
	// ErrUnknown.
	ReplyLost Fault = "lost-after"
	// RequestLost loses a write before it takes effect; the caller sees ErrUnknown.
	RequestLost Fault = "lost-before"
	// StaleReads answers Get and List with the state at the time of the injection.
	StaleReads Fault = "stale-reads"
	// SilentWatch drops the events of all watches and keeps their channels open.
	SilentWatch Fault = "silent-watch"
	// Compacted fails Watch with ErrCompacted.
	Compacted Fault = "compacted"
)

// Call is a kind of call.
type Call string

// The kinds of calls that a Faulty store counts.
const (
	CallGet            Call = "get"
	CallList           Call = "list"
	CallCompareAndSwap Call = "compare_and_swap"
	CallDelete         Call = "delete"
	CallGrantLease     Call = "grant_lease"
	CallKeepAlive      Call = "keep_alive"
	CallRevokeLease    Call = "revoke_lease"
	CallWatch          Call = "watch"
)

// Always is the number of calls for a fault that lasts until it is cleared.
const Always = -1

// Faulty wraps a store, counts its calls and injects faults. It is safe for
// concurrent use.
type Faulty struct {
	store kv.KV
	clock clockwork.Clock

	mu            sync.Mutex
	faults        map[Fault]int
	delay         time.Duration
	onCall        func(Call, string) Fault
	staleEntries  []kv.Entry
	staleRevision int64
	counts        map[Call]int64
	openWatches   int64
}

var _ kv.KV = (*Faulty)(nil)

// NewFaulty returns a Faulty that passes all calls to store until a fault is
// injected.
func NewFaulty(store kv.KV, clock clockwork.Clock) *Faulty {
	return &Faulty{store: store, clock: clock, faults: make(map[Fault]int), counts: make(map[Call]int64)}
}

// Inject applies the fault to the given number of the next calls that it can
// affect, or to all of them with Always. RequestLost and ReplyLost affect writes,
// StaleReads affects Get and List, and Compacted affects Watch.
func (f *Faulty) Inject(fault Fault, calls int) {
	var entries []kv.Entry
	var rev int64
	if fault == StaleReads {
		entries, rev, _ = f.store.List(context.Background(), "")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[fault] = calls
	if fault == StaleReads {
		f.staleEntries, f.staleRevision = entries, rev
	}
}

// Clear ends the fault.
func (f *Faulty) Clear(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.faults, fault)
}

// ClearAll ends every fault and the delay, and removes the hook.
func (f *Faulty) ClearAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.faults)
	f.delay = 0
	f.onCall = nil
}

// SetDelay delays each call by d before it takes effect. A call whose context ends
// first has no effect.
func (f *Faulty) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// OnCall sets a hook that chooses a fault for each call. The hook receives the kind
// of call and the key or prefix. It must not call f.
func (f *Faulty) OnCall(hook func(Call, string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCall = hook
}

// Counts returns the number of calls by kind, including failed ones.
func (f *Faulty) Counts() map[Call]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// OpenWatches returns the number of open watches.
func (f *Faulty) OpenWatches() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.openWatches
}

// beginCall counts the call, chooses its fault and waits for the delay. It returns
// an error if the call must not reach the store.
func (f *Faulty) beginCall(ctx context.Context, call Call, key string) (Fault, error) {
	f.mu.Lock()
	f.counts[call]++
	fault := f.chooseFault(call, key)
	delay := f.delay
	f.mu.Unlock()
	if err := f.wait(ctx, call, delay); err != nil {
		return None, err
	}
	switch fault {
	case Outage:
		return None, kv.ErrUnavailable
	case RequestLost:
		return None, kv.ErrUnknown
	case Compacted:
		return None, kv.ErrCompacted
	}
	return fault, nil
}

func (f *Faulty) wait(ctx context.Context, call Call, delay time.Duration) error {
	if delay > 0 {
		timer := f.clock.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.Chan():
			return nil
		case <-ctx.Done():
		}
	}
	if ctx.Err() == nil {
		return nil
	}
	if delay > 0 && isWrite(call) {
		return fmt.Errorf("%w: %w", kv.ErrUnknown, ctx.Err())
	}
	return fmt.Errorf("%w: %w", kv.ErrUnavailable, ctx.Err())
}

func (f *Faulty) chooseFault(call Call, key string) Fault {
	if f.onCall != nil {
		if fault := f.onCall(call, key); fault != None {
			return fault
		}
	}
	for _, fault := range []Fault{Outage, RequestLost, ReplyLost, Compacted, StaleReads} {
		if appliesTo(fault, call) && f.consume(fault) {
			return fault
		}
	}
	return None
}

func (f *Faulty) consume(fault Fault) bool {
	left, ok := f.faults[fault]
	if !ok || left == 0 {
		return false
	}
	if left > 0 {
		f.faults[fault] = left - 1
	}
	return true
}

func appliesTo(fault Fault, call Call) bool {
	switch fault {
	case RequestLost, ReplyLost:
		return isWrite(call)
	case Compacted:
		return call == CallWatch
	case StaleReads:
		return call == CallGet || call == CallList
	}
	return true
}

func isWrite(call Call) bool {
	return call != CallGet && call != CallList && call != CallWatch
}

func (f *Faulty) staleGet(key string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.staleEntries {
		if e.Key == key {
			return cloneEntry(e), nil
		}
	}
	return kv.Entry{}, kv.ErrNotFound
}

func (f *Faulty) staleList(prefix string) ([]kv.Entry, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []kv.Entry
	for _, e := range f.staleEntries {
		if strings.HasPrefix(e.Key, prefix) {
			out = append(out, cloneEntry(e))
		}
	}
	return out, f.staleRevision
}
