package configstore

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/corianderlever/corianderlever/kv"
)

const (
	// startInterval spaces attempts to become ready.
	startInterval = 250 * time.Millisecond
	// startPatience is how long a start waits for peers when the store has
	// already answered.
	startPatience = 2 * time.Second
	// startPeers bounds the hosts asked at the start.
	startPeers = 16
)

// Run keeps the configuration up to date until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.start(ctx); return nil })
	group.Go(func() error { s.every(ctx, PollInterval, s.pollOrAsk); return nil })
	group.Go(func() error { s.every(ctx, SyncInterval, s.pullNewer); return nil })
	group.Go(func() error { s.every(ctx, PollInterval, func(context.Context) { s.checkGroup() }); return nil })
	group.Go(func() error { s.watchLoop(ctx); return nil })
	group.Go(func() error { s.pushLoop(ctx); return nil })
	group.Go(func() error { s.offerLoop(ctx); return nil })
	return group.Wait()
}

// every calls f at once and then in each period.
func (s *Store) every(ctx context.Context, period time.Duration, f func(context.Context)) {
	ticker := s.opts.Clock.NewTicker(period)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.Chan():
		}
	}
}

// start takes the highest revision among the store and the peers that answer
// and then closes ready. The store alone is enough only after a wait for
// peers, because it may answer from the past.
func (s *Store) start(ctx context.Context) {
	began := s.opts.Clock.Now()
	for {
		stored, answered := s.compareAll(ctx)
		patient := s.opts.Clock.Since(began) < startPatience
		if s.opts.Group.HasMajority() && (stored || answered) || stored && !patient {
			close(s.ready)
			return
		}
		if !s.pause(ctx, startInterval) {
			return
		}
	}
}

// compareAll reads the store and a bounded number of peers, and reports
// whether the store and whether a ready peer answered.
func (s *Store) compareAll(ctx context.Context) (stored, answered bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	wg.Go(func() {
		ok := s.poll(ctx)
		mu.Lock()
		defer mu.Unlock()
		stored = ok
	})
	for _, p := range s.pick(startPeers, func(Peer) bool { return true }) {
		wg.Go(func() {
			ready, err := s.pull(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			answered = answered || err == nil && ready
		})
	}
	wg.Wait()
	return stored, answered
}

// read reads the stored configuration and takes it if it is newer.
func (s *Store) read(ctx context.Context) (base, error) {
	began := s.opts.Clock.Now()
	got, err := s.readKey(ctx, KeyCurrent)
	if err != nil {
		return base{}, err
	}
	if got.Revision > 0 {
		if _, err := s.accept(got.envelope, got.value, "store"); err != nil {
			return base{}, err
		}
	}
	s.confirmRevision(got.Revision, began)
	return got, nil
}

// confirmRevision counts a read as a confirmation unless it shows less than
// what is in force here. That happens when a peer was faster than the store's
// answer, and when the store answers from the past; neither says that the
// configuration in force is the newest.
func (s *Store) confirmRevision(revision int64, at time.Time) {
	if revision >= s.Current().Revision {
		s.confirm(at)
	}
}

// poll reads the store, without decoding a value that is already known.
func (s *Store) poll(ctx context.Context) bool {
	began := s.opts.Clock.Now()
	callCtx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	e, err := s.opts.KV.Get(callCtx, KeyCurrent)
	if errors.Is(err, kv.ErrNotFound) {
		s.confirmRevision(0, began)
		return true
	}
	if err == nil {
		err = s.takeEntry(e, began)
	}
	if err != nil {
		s.log.Debug("store not read", "err", err)
	}
	return err == nil
}

// takeEntry takes a value of the store. at is when it was certainly current.
func (s *Store) takeEntry(e kv.Entry, at time.Time) error {
	s.mu.Lock()
	revision, known := s.seenValue, e.Revision == s.seenStore
	s.mu.Unlock()
	if !known {
		env, err := decode(e.Value)
		if err != nil {
			return err
		}
		if _, err := s.accept(env, e.Value, "store"); err != nil {
			return err
		}
		revision = env.Revision
		s.mu.Lock()
		s.seenStore, s.seenValue = e.Revision, revision
		s.mu.Unlock()
	}
	if !at.IsZero() {
		s.confirmRevision(revision, at)
	}
	return nil
}

// watches reports whether this host is one of those of its failure domain
// that read the store: the first by rendezvous order among the live ones.
func (s *Store) watches() bool {
	self := s.opts.Group.Self()
	rank := func(p Peer) uint64 { return xxhash.Sum64String(KeyCurrent + "\x00" + p.Host) }
	ahead := 0
	for _, p := range s.opts.Group.Peers() {
		if p.Alive && p.FailureDomain == self.FailureDomain &&
			cmp.Or(cmp.Compare(rank(p), rank(self)), cmp.Compare(p.Host, self.Host)) < 0 {
			ahead++
		}
	}
	return ahead < watchersPerDomain
}

// pollOrAsk reads the store, or, on a host that does not watch or cannot read
// it and is cut off from a majority, asks a peer when it last did.
func (s *Store) pollOrAsk(ctx context.Context) {
	if s.watches() && s.poll(ctx) {
		return
	}
	if s.opts.Group.HasMajority() {
		return
	}
	for _, p := range s.pick(pushFanout, func(Peer) bool { return true }) {
		if _, err := s.pull(ctx, p); err == nil {
			return
		}
	}
}

// pullNewer fetches a revision that a heartbeat has shown.
func (s *Store) pullNewer(ctx context.Context) {
	s.checkGroup()
	newer := func(p Peer) bool { return p.Revision > s.Current().Revision }
	for _, p := range s.pick(pushFanout, newer) {
		if _, err := s.pull(ctx, p); err == nil && !newer(p) {
			return
		}
	}
}

// pick draws up to n peers that satisfy want.
func (s *Store) pick(n int, want func(Peer) bool) []Peer {
	peers := slices.DeleteFunc(slices.Clone(s.opts.Group.Peers()), func(p Peer) bool { return !want(p) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// watchLoop holds a watch while this host is one of those that should. A
// watch that goes silent is made up for by the poll.
func (s *Store) watchLoop(ctx context.Context) {
	s.every(ctx, PollInterval, func(ctx context.Context) {
		if !s.watches() {
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.mu.Lock()
		from := s.seenStore
		s.mu.Unlock()
		events, err := s.opts.KV.Watch(ctx, KeyCurrent, from)
		if err != nil {
			s.log.Debug("watch not opened", "err", err)
			return
		}
		s.follow(events, ctx.Done())
	})
}

// follow takes the events of a watch until it ends or this host should no
// longer watch.
func (s *Store) follow(events <-chan kv.Event, done <-chan struct{}) {
	ticker := s.opts.Clock.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.Chan():
			if !s.watches() {
				return
			}
		case ev, ok := <-events:
			if !ok {
				return
			}
			if ev.Deleted || ev.Entry.Key != KeyCurrent {
				continue
			}
			if err := s.takeEntry(ev.Entry, time.Time{}); err != nil {
				s.log.Warn("watched value not taken", "err", err)
			}
		}
	}
}
