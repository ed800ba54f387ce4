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

// Fault names an injected fault.
type Fault string

// The faults that a Faulty store injects.
const (
	// None lets the call through.
	None Fault = ""
	// Outage fails calls with ErrUnavailable and without effect.
	Outage Fault = "outage"
	// ReplyLost loses the reply of a write that took effect; the caller sees
	// ErrUnknown.
	ReplyLost Fault = "lost-after"
	// RequestLost loses a write before it takes effect; the caller sees ErrUnknown.
	RequestLost Fault = "lost-before"
	// StaleReads answers Get and List from the state at the time of injection.
	StaleReads Fault = "stale-reads"
	// SilentWatch withholds the events of all watches and keeps their channels open.
	SilentWatch Fault = "silent-watch"
	// Compacted fails Watch with ErrCompacted.
	Compacted Fault = "compacted"
)

// Call names a kind of call.
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

// Always makes an injected fault last until it is cleared.
const Always = -1

// Faulty wraps a store, counts its calls and injects faults by name. It is
// safe for concurrent use.
type Faulty struct {
	store kv.KV
	clock clockwork.Clock

	mu      sync.Mutex
	faults  map[Fault]int
	delay   time.Duration
	onCall  func(Call, string) Fault
	past    []kv.Entry
	pastRev int64
	counts  map[Call]int64
	waiting int64
}

var _ kv.KV = (*Faulty)(nil)

// NewFaulty wraps store. Without an injected fault every call goes through.
func NewFaulty(store kv.KV, clock clockwork.Clock) *Faulty {
	return &Faulty{store: store, clock: clock, faults: make(map[Fault]int), counts: make(map[Call]int64)}
}

// Inject applies the fault to the next calls it concerns, or to all of them
// with Always. The lost replies concern writes, StaleReads concerns reads.
func (f *Faulty) Inject(fault Fault, calls int) {
	var past []kv.Entry
	var rev int64
	if fault == StaleReads {
		past, rev, _ = f.store.List(context.Background(), "")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults[fault] = calls
	if fault == StaleReads {
		f.past, f.pastRev = past, rev
	}
}

// Clear ends the fault.
func (f *Faulty) Clear(fault Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.faults, fault)
}

// ClearAll ends every fault and the delay.
func (f *Faulty) ClearAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.faults)
	f.delay = 0
	f.onCall = nil
}

// SetDelay makes each call wait on the clock before it takes effect. A call
// whose context ends first has no effect.
func (f *Faulty) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// OnCall lets hook choose a fault for each call; it is asked with the kind of
// call and the key or prefix. It may not call the store.
func (f *Faulty) OnCall(hook func(Call, string) Fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onCall = hook
}

// Counts returns the number of calls so far by kind, failed ones included.
func (f *Faulty) Counts() map[Call]int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.counts)
}

// OpenWatches returns the number of open watches.
func (f *Faulty) OpenWatches() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.waiting
}

// enter counts the call, chooses its fault and waits out the delay.
func (f *Faulty) enter(ctx context.Context, call Call, key string) (Fault, error) {
	f.mu.Lock()
	f.counts[call]++
	fault := f.choose(call, key)
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

func (f *Faulty) choose(call Call, key string) Fault {
	if f.onCall != nil {
		if fault := f.onCall(call, key); fault != None {
			return fault
		}
	}
	for _, fault := range []Fault{Outage, RequestLost, ReplyLost, Compacted, StaleReads} {
		if concerns(fault, call) && f.take(fault) {
			return fault
		}
	}
	return None
}

func (f *Faulty) take(fault Fault) bool {
	left, ok := f.faults[fault]
	if !ok || left == 0 {
		return false
	}
	if left > 0 {
		f.faults[fault] = left - 1
	}
	return true
}

func concerns(fault Fault, call Call) bool {
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

func (f *Faulty) pastGet(key string) (kv.Entry, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.past {
		if e.Key == key {
			return cloned(e), nil
		}
	}
	return kv.Entry{}, kv.ErrNotFound
}

func (f *Faulty) pastList(prefix string) ([]kv.Entry, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []kv.Entry
	for _, e := range f.past {
		if strings.HasPrefix(e.Key, prefix) {
			out = append(out, cloned(e))
		}
	}
	return out, f.pastRev
}
