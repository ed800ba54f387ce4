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
	// startRetryInterval is the delay between attempts of the initial sync.
	startRetryInterval = 250 * time.Millisecond
	// startPeerTimeout is how long the initial sync waits for peers when the store
	// has already answered.
	startPeerTimeout = 2 * time.Second
	// maxStartPeers bounds the number of peers queried by the initial sync.
	maxStartPeers = 16
)

// Run keeps the configuration up to date until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.initialSync(ctx); return nil })
	group.Go(func() error { s.runEvery(ctx, PollInterval, s.pollOrPull); return nil })
	group.Go(func() error { s.runEvery(ctx, SyncInterval, s.pullNewer); return nil })
	group.Go(func() error { s.runEvery(ctx, PollInterval, func(context.Context) { s.checkMajority() }); return nil })
	group.Go(func() error { s.watchLoop(ctx); return nil })
	group.Go(func() error { s.pushLoop(ctx); return nil })
	group.Go(func() error { s.offerLoop(ctx); return nil })
	return group.Wait()
}

// runEvery calls f immediately and then once per period, until ctx ends.
func (s *Store) runEvery(ctx context.Context, period time.Duration, f func(context.Context)) {
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

// initialSync accepts the highest revision among the store and the peers that
// answer, and then closes ready. Without a majority, an answer of the store
// suffices only after startPeerTimeout, because its reads may be stale.
func (s *Store) initialSync(ctx context.Context) {
	began := s.opts.Clock.Now()
	for {
		storeAnswered, peerAnswered := s.syncWithAll(ctx)
		waitForPeers := s.opts.Clock.Since(began) < startPeerTimeout
		if s.opts.Group.HasMajority() && (storeAnswered || peerAnswered) || storeAnswered && !waitForPeers {
			close(s.ready)
			return
		}
		if !s.sleep(ctx, startRetryInterval) {
			return
		}
	}
}

// syncWithAll reads the store and up to maxStartPeers peers. It reports whether
// the store answered and whether a ready peer answered.
func (s *Store) syncWithAll(ctx context.Context) (storeAnswered, peerAnswered bool) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	wg.Go(func() {
		ok := s.poll(ctx)
		mu.Lock()
		defer mu.Unlock()
		storeAnswered = ok
	})
	for _, p := range s.samplePeers(maxStartPeers, func(Peer) bool { return true }) {
		wg.Go(func() {
			ready, err := s.pull(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			peerAnswered = peerAnswered || err == nil && ready
		})
	}
	wg.Wait()
	return storeAnswered, peerAnswered
}

// readCurrent reads the stored configuration and accepts it if it is newer.
func (s *Store) readCurrent(ctx context.Context) (storedConfig, error) {
	began := s.opts.Clock.Now()
	got, err := s.readKey(ctx, KeyCurrent)
	if err != nil {
		return storedConfig{}, err
	}
	if got.Revision > 0 {
		if _, err := s.accept(got.envelope, got.value, "store"); err != nil {
			return storedConfig{}, err
		}
	}
	s.confirmRevision(got.Revision, began)
	return got, nil
}

// confirmRevision records a read as a confirmation unless its revision is older
// than the one in force on this host. An older revision means that a peer was
// faster than the store's answer or that the read was stale. In neither case does
// the read show that the configuration in force is the newest.
func (s *Store) confirmRevision(revision int64, at time.Time) {
	if revision >= s.Current().Revision {
		s.confirm(at)
	}
}

// poll reads the store, accepts a newer value and reports whether that succeeded.
// A value that is already known is not decoded again.
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
		err = s.acceptEntry(e, began)
	}
	if err != nil {
		s.log.Debug("store not read", "err", err)
	}
	return err == nil
}

// acceptEntry accepts a value from the store. at is a time at which the value was
// known to be current, or zero.
func (s *Store) acceptEntry(e kv.Entry, at time.Time) error {
	s.mu.Lock()
	revision, known := s.decodedRevision, e.Revision == s.decodedStoreRevision
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
		s.decodedStoreRevision, s.decodedRevision = e.Revision, revision
		s.mu.Unlock()
	}
	if !at.IsZero() {
		s.confirmRevision(revision, at)
	}
	return nil
}

// shouldWatch reports whether this host is one of the watchersPerDomain hosts of
// its failure domain that read the store. They are the first live hosts in
// rendezvous-hash order.
func (s *Store) shouldWatch() bool {
	self := s.opts.Group.Self()
	order := func(p Peer) uint64 { return xxhash.Sum64String(KeyCurrent + "\x00" + p.Host) }
	ahead := 0
	for _, p := range s.opts.Group.Peers() {
		if p.Alive && p.FailureDomain == self.FailureDomain &&
			cmp.Or(cmp.Compare(order(p), order(self)), cmp.Compare(p.Host, self.Host)) < 0 {
			ahead++
		}
	}
	return ahead < watchersPerDomain
}

// pollOrPull reads the store on a host that should watch it. On any other host,
// or if the read fails, it pulls a peer's confirmation unless this host has a
// majority.
func (s *Store) pollOrPull(ctx context.Context) {
	if s.shouldWatch() && s.poll(ctx) {
		return
	}
	if s.opts.Group.HasMajority() {
		return
	}
	for _, p := range s.samplePeers(pushFanout, func(Peer) bool { return true }) {
		if _, err := s.pull(ctx, p); err == nil {
			return
		}
	}
}

// pullNewer pulls a newer revision from the peers whose heartbeats report one.
func (s *Store) pullNewer(ctx context.Context) {
	s.checkMajority()
	newer := func(p Peer) bool { return p.Revision > s.Current().Revision }
	for _, p := range s.samplePeers(pushFanout, newer) {
		if _, err := s.pull(ctx, p); err == nil && !newer(p) {
			return
		}
	}
}

// samplePeers returns up to n random peers that are eligible.
func (s *Store) samplePeers(n int, eligible func(Peer) bool) []Peer {
	peers := slices.DeleteFunc(slices.Clone(s.opts.Group.Peers()), func(p Peer) bool { return !eligible(p) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// nextPeer returns the first eligible peer after this host by name; the first by name
// follows the last.
func (s *Store) nextPeer(eligible func(Peer) bool) (Peer, bool) {
	self := s.opts.Group.Self().Host
	peers := slices.DeleteFunc(slices.Clone(s.opts.Group.Peers()), func(p Peer) bool { return !eligible(p) })
	if len(peers) == 0 {
		return Peer{}, false
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Host, b.Host) })
	after := slices.IndexFunc(peers, func(p Peer) bool { return p.Host > self })
	return peers[max(after, 0)], true
}

// watchLoop keeps a watch on the store open while shouldWatch holds. Polling
// covers a watch that stops delivering events.
func (s *Store) watchLoop(ctx context.Context) {
	s.runEvery(ctx, PollInterval, func(ctx context.Context) {
		if !s.shouldWatch() {
			return
		}
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		s.mu.Lock()
		from := s.decodedStoreRevision
		s.mu.Unlock()
		events, err := s.opts.KV.Watch(ctx, KeyCurrent, from)
		if err != nil {
			s.log.Debug("watch not opened", "err", err)
			return
		}
		s.consumeWatch(events, ctx.Done())
	})
}

// consumeWatch accepts the events of a watch until the watch ends or this host
// should no longer watch.
func (s *Store) consumeWatch(events <-chan kv.Event, done <-chan struct{}) {
	ticker := s.opts.Clock.NewTicker(PollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.Chan():
			if !s.shouldWatch() {
				return
			}
		case ev, ok := <-events:
			if !ok {
				return
			}
			if ev.Deleted || ev.Entry.Key != KeyCurrent {
				continue
			}
			if err := s.acceptEntry(ev.Entry, time.Time{}); err != nil {
				s.log.Warn("watched value rejected", "err", err)
			}
		}
	}
}
