package client

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

const (
	// entriesTimeout bounds one request for the entry list. It is short because
	// callers' requests wait for the list, and hosts are a few milliseconds away.
	entriesTimeout = 500 * time.Millisecond
	// avoidDuration is the time for which a failed address is avoided.
	avoidDuration = 3 * time.Second
)

// entryList caches the addresses of entry hosts for their time to live.
type entryList struct {
	opts Options

	mu         sync.Mutex
	current    []api.EntryAddress
	expires    time.Time
	avoidUntil map[string]time.Time
}

func newEntryList(opts Options) *entryList {
	l := &entryList{opts: opts, avoidUntil: make(map[string]time.Time)}
	if opts.SeedsOnly {
		l.useSeeds()
	}
	return l
}

func (l *entryList) useSeeds() {
	for _, addr := range l.opts.Seeds {
		l.current = append(l.current, api.EntryAddress{Address: addr, Weight: 1})
	}
}

// markFailed avoids an address for avoidDuration and makes the next pick refresh
// the list.
func (l *entryList) markFailed(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil[addr] = time.Now().Add(avoidDuration)
	l.expires = time.Time{}
}

// pick returns a random address, weighted by the entries' weights. It refreshes
// an expired list first.
func (l *entryList) pick(ctx context.Context) (string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if !l.opts.SeedsOnly && now.After(l.expires) {
		l.refresh(ctx, now)
	}
	if addr, ok := l.choose(now); ok {
		return addr, nil
	}
	return "", ErrNoEntry
}

// choose picks among the addresses that are not avoided, or among all if every
// address is avoided.
func (l *entryList) choose(now time.Time) (string, bool) {
	var usable []api.EntryAddress
	total := 0.0
	for _, e := range l.current {
		if now.After(l.avoidUntil[e.Address]) && e.Weight > 0 {
			usable = append(usable, e)
			total += e.Weight
		}
	}
	if len(usable) == 0 {
		// All addresses are avoided or have no weight: pick any of them.
		if len(l.current) == 0 {
			return "", false
		}
		return l.current[rand.IntN(len(l.current))].Address, true
	}
	remaining := rand.Float64() * total
	for _, e := range usable {
		if remaining -= e.Weight; remaining < 0 {
			return e.Address, true
		}
	}
	return usable[len(usable)-1].Address, true
}

// refresh requests the entry list from the known addresses in random order and
// then from the seeds. If none responds, the old list stays.
func (l *entryList) refresh(ctx context.Context, now time.Time) {
	var addrs []string
	for _, e := range l.current {
		addrs = append(addrs, e.Address)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addrs = append(addrs, l.opts.Seeds...)
	maps.DeleteFunc(l.avoidUntil, func(_ string, until time.Time) bool { return now.After(until) })
	for _, addr := range addrs {
		if now.Before(l.avoidUntil[addr]) {
			continue
		}
		resp, err := l.fetch(ctx, addr)
		if ctx.Err() != nil {
			return // the caller cancelled; the address has not failed
		}
		if err != nil || len(resp.Entries) == 0 {
			l.avoidUntil[addr] = now.Add(avoidDuration)
			continue
		}
		l.current = resp.Entries
		l.expires = now.Add(time.Duration(resp.TTLMS) * time.Millisecond)
		return
	}
	if len(l.current) == 0 {
		l.useSeeds()
	}
}

func (l *entryList) fetch(ctx context.Context, addr string) (api.EntriesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, entriesTimeout)
	defer cancel()
	var out api.EntriesResponse
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.opts.Scheme+"://"+addr+"/v1/entries", nil)
	if err != nil {
		return out, errors.Wrap(err, "client: build request")
	}
	resp, err := l.opts.HTTP.Do(req)
	if err != nil {
		return out, errors.Wrap(err, "client: get entries")
	}
	defer resp.Body.Close()
	return out, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&out), "client: decode entries")
}
