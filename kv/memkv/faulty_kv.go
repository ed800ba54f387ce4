package memkv

import (
	"context"
	"time"

	"github.com/corianderlever/corianderlever/kv"
)

// Get implements kv.KV.
func (f *Faulty) Get(ctx context.Context, key string) (kv.Entry, error) {
	fault, err := f.beginCall(ctx, CallGet, key)
	if err != nil {
		return kv.Entry{}, err
	}
	if fault == StaleReads {
		return f.staleGet(key)
	}
	return f.store.Get(ctx, key)
}

// List implements kv.KV.
func (f *Faulty) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	fault, err := f.beginCall(ctx, CallList, prefix)
	if err != nil {
		return nil, 0, err
	}
	if fault == StaleReads {
		entries, rev := f.staleList(prefix)
		return entries, rev, nil
	}
	return f.store.List(ctx, prefix)
}

// CompareAndSwap implements kv.KV.
func (f *Faulty) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease kv.LeaseID) (int64, error) {
	fault, err := f.beginCall(ctx, CallCompareAndSwap, key)
	if err != nil {
		return 0, err
	}
	rev, err := f.store.CompareAndSwap(ctx, key, expect, value, lease)
	if fault == ReplyLost {
		return 0, kv.ErrUnknown
	}
	return rev, err
}

// Delete implements kv.KV.
func (f *Faulty) Delete(ctx context.Context, key string, expect int64) error {
	return f.write(ctx, CallDelete, key, func() error { return f.store.Delete(ctx, key, expect) })
}

// GrantLease implements kv.KV.
func (f *Faulty) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	fault, err := f.beginCall(ctx, CallGrantLease, "")
	if err != nil {
		return 0, err
	}
	id, err := f.store.GrantLease(ctx, ttl)
	if fault == ReplyLost {
		return 0, kv.ErrUnknown
	}
	return id, err
}

// KeepAlive implements kv.KV.
func (f *Faulty) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	return f.write(ctx, CallKeepAlive, "", func() error { return f.store.KeepAlive(ctx, id) })
}

// RevokeLease implements kv.KV.
func (f *Faulty) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	return f.write(ctx, CallRevokeLease, "", func() error { return f.store.RevokeLease(ctx, id) })
}

func (f *Faulty) write(ctx context.Context, call Call, key string, do func() error) error {
	fault, err := f.beginCall(ctx, call, key)
	if err != nil {
		return err
	}
	err = do()
	if fault == ReplyLost {
		return kv.ErrUnknown
	}
	return err
}

// Watch implements kv.KV.
func (f *Faulty) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.Event, error) {
	if _, err := f.beginCall(ctx, CallWatch, prefix); err != nil {
		return nil, err
	}
	in, err := f.store.Watch(ctx, prefix, after)
	if err != nil {
		return nil, err
	}
	f.addOpenWatches(1)
	out := make(chan kv.Event)
	go f.forward(ctx, in, out)
	return out, nil
}

func (f *Faulty) addOpenWatches(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openWatches += n
}

// forward sends the events of in to out until the watch ends. A silent watch drops
// its events and stays open after the store's watch has ended, like a connection
// whose other end has gone without closing it.
func (f *Faulty) forward(ctx context.Context, in <-chan kv.Event, out chan<- kv.Event) {
	defer close(out)
	defer f.addOpenWatches(-1)
	for ev := range in {
		if f.isSilent() {
			continue
		}
		select {
		case out <- ev:
		case <-ctx.Done():
			return
		}
	}
	if f.isSilent() {
		<-ctx.Done()
	}
}

func (f *Faulty) isSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.faults[SilentWatch]
	return ok
}
