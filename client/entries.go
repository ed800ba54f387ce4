package client

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

const (
	// entriesTimeout bounds one request for the entry list. Requests wait for
	// it, and hosts are a few milliseconds away.
	entriesTimeout = 500 * time.Millisecond
	// avoidFor is the time for which an address that failed is not used.
	avoidFor = 3 * time.Second
)

// entryList keeps the addresses of entry hosts for their time to live.
type entryList struct {
	opts Options

	mu      sync.Mutex
	current []api.EntryAddress
	expires time.Time
	avoid   map[string]time.Time
}

func newEntryList(opts Options) *entryList {
	l := &entryList{opts: opts, avoid: make(map[string]time.Time)}
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

// failed keeps an address from being used for a while.
func (l *entryList) failed(addr string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoid[addr] = time.Now().Add(avoidFor)
	l.expires = time.Time{}
}

// pick returns an address by weight.
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

func (l *entryList) choose(now time.Time) (string, bool) {
	var usable []api.EntryAddress
	total := 0.0
	for _, e := range l.current {
		if now.After(l.avoid[e.Address]) && e.Weight > 0 {
			usable = append(usable, e)
			total += e.Weight
		}
	}
	if len(usable) == 0 {
		// All addresses failed lately: try any of them.
		if len(l.current) == 0 {
			return "", false
		}
		return l.current[rand.IntN(len(l.current))].Address, true
	}
	at := rand.Float64() * total
	for _, e := range usable {
		if at -= e.Weight; at < 0 {
			return e.Address, true
		}
	}
	return usable[len(usable)-1].Address, true
}

// refresh asks the known addresses, then the seeds, for the entry list. The
// old list stays when nobody answers.
func (l *entryList) refresh(ctx context.Context, now time.Time) {
	var ask []string
	for _, e := range l.current {
		ask = append(ask, e.Address)
	}
	rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	ask = append(ask, l.opts.Seeds...)
	maps.DeleteFunc(l.avoid, func(_ string, until time.Time) bool { return now.After(until) })
	for _, addr := range ask {
		if now.Before(l.avoid[addr]) {
			continue
		}
		resp, err := l.fetch(ctx, addr)
		if ctx.Err() != nil {
			return // the caller has left, which says nothing about the address
		}
		if err != nil || len(resp.Entries) == 0 {
			l.avoid[addr] = now.Add(avoidFor)
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
	return out, errors.Wrap(json.NewDecoder(resp.Body).Decode(&out), "client: decode entries")
}
