package feed

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/kv"
)

// Bounds of the pause after failed calls, which doubles with each failure. The store
// counts each call, but changes must not be delayed much once it is available again.
const (
	minRetryPause = 100 * time.Millisecond
	maxRetryPause = 600 * time.Millisecond
)

// peerSilence is the time without an answer of any other host after which a host calls
// the store without regard to the others: it may be cut off from them alone.
const peerSilence = time.Second

// Run follows the store or another host until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	if f.opts.QueryPeers != nil {
		if !f.direct() {
			f.fetchFromPeer(ctx, f.opts.PeerFetchInterval)
		}
		wg.Go(func() { f.fetchWhileStale(ctx) })
	}
	for ctx.Err() == nil {
		var pause time.Duration
		staleAge := f.opts.Timing().StaleAge
		switch age, known := f.Age(); {
		case f.direct() && !f.failing:
			pause = f.followStore(ctx)
		case known && age < staleAge && f.canFollowPeer():
			f.probeAt = time.Time{}
			pause = f.followPeer(ctx, staleAge-age)
			if f.direct() { // the store may be back
				pause = f.followStore(ctx)
			}
		case f.direct() || f.probeDue():
			pause = f.followStore(ctx)
		default:
			pause = min(f.opts.PeerFetchInterval, f.opts.Clock.Until(f.probeAt))
		}
		f.pause(ctx, pause)
	}
	return nil
}

// direct reports whether this host follows the store itself.
func (f *Follower) direct() bool { return f.opts.Direct == nil || f.opts.Direct() }

func (f *Follower) canFollowPeer() bool { return f.opts.QueryPeers != nil }

// pause waits for d, or until another host announces a current state.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.wake:
	case <-f.opts.Clock.After(d):
	}
}

// probeDue reports whether a host whose state is old, like those of the other hosts, may
// call the store now. The first ones do so in the order of their ranks, because the hosts that
// follow the store may be the only ones cut off from it. All others, and the next calls, come
// at random, so that an outage does not multiply them. The first host to get an answer
// announces it.
func (f *Follower) probeDue() bool {
	if !f.canFollowPeer() || f.opts.ProbeInterval == nil || f.peersSilent() {
		return true
	}
	interval := f.opts.ProbeInterval().Seconds()
	now := f.opts.Clock.Now()
	if f.probeAt.IsZero() {
		f.probeAt = now.Add(f.firstProbeDelay(interval))
	}
	if now.Before(f.probeAt) {
		return false
	}
	f.probeAt = now.Add(seconds(interval * (0.5 + f.opts.Rand.Float64())))
	return true
}

// firstProbers is the number of hosts that call the store in the order of their ranks.
const firstProbers = 4

// firstProbeDelay returns the time for which the state of a host has been stale when the host
// calls the store. The mean interval of such calls is given in seconds.
func (f *Follower) firstProbeDelay(interval float64) time.Duration {
	delay := seconds(interval * f.opts.Rand.Float64())
	if f.opts.ProbeRank == nil {
		return delay
	}
	if rank := f.opts.ProbeRank(); rank < firstProbers {
		return min(delay, time.Duration(rank)*f.opts.Timing().Hedge)
	}
	return delay
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// peersSilent reports whether no other host has answered lately.
func (f *Follower) peersSilent() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peerAnswered == 0 || f.opts.Boottime().Sub(f.peerAnswered) > peerSilence
}

// followStore makes one call to the store, applies its result, and returns the pause
// before the next call.
func (f *Follower) followStore(ctx context.Context) time.Duration {
	age, known := f.Age()
	changed, err := f.pollStore(ctx, f.storeWait(age, known))
	switch {
	case ctx.Err() != nil:
		return 0
	case err != nil:
		return f.recordFailure(err)
	}
	f.recordSuccess()
	t := f.opts.Timing()
	if f.opts.Announce != nil && (!known || age >= t.StaleAge) {
		f.opts.Announce()
	}
	if changed {
		return t.Pause
	}
	return 0
}

// minStoreWait is the shortest wait for changes.
const minStoreWait = time.Millisecond

// storeWait returns how long the store may hold a call, so that the state gets at most
// Wait old. An old state is confirmed at once, and so is one while calls fail.
func (f *Follower) storeWait(age time.Duration, known bool) time.Duration {
	if !known || f.failing {
		return minStoreWait
	}
	return max(minStoreWait, f.opts.Timing().Wait-age)
}

// pollStore makes one call to the store and applies its result. It reports whether the
// state has changed.
func (f *Follower) pollStore(ctx context.Context, wait time.Duration) (changed bool, err error) {
	started := f.opts.Boottime()
	after, synced := f.position()
	if !synced {
		return true, f.list(ctx)
	}
	callCtx, cancel := kv.WithTimeout(ctx, f.opts.Clock, wait+f.opts.CallTimeout)
	defer cancel()
	f.beginCall(storeCall{started: started, wait: wait})
	events, revision, err := f.opts.Source.Changes(callCtx, f.opts.Prefix, after, wait)
	f.endCall(err)
	if errors.Is(err, kv.ErrCompacted) {
		f.opts.Logger.Warn("store history compacted, listing again", "after", after)
		return true, f.list(ctx)
	}
	if err != nil {
		if callCtx.Err() != nil && ctx.Err() == nil {
			err = errors.Wrapf(err, "no answer within %v", wait+f.opts.CallTimeout)
		}
		return false, err
	}
	current := started
	if len(events) == 0 && f.opts.Boottime().Sub(started) >= wait {
		// The store held the call for the whole wait, so it made the answer after that.
		current += boottime.Instant(wait)
	}
	f.applyChanges(events, revision, current, f.detectOutage)
	return len(events) > 0, nil
}

// recordFailure logs the first of consecutive failures and returns the pause before
// the next call.
func (f *Follower) recordFailure(err error) time.Duration {
	if !f.failing {
		f.opts.Logger.Warn("store unavailable", "error", err)
	}
	f.failing = true
	f.retryPause = min(max(2*f.retryPause, minRetryPause), maxRetryPause)
	return f.retryPause/2 + time.Duration(f.opts.Rand.Int64N(int64(f.retryPause)))
}

// recordSuccess records an answer of the store.
func (f *Follower) recordSuccess() {
	if f.failing {
		f.failing, f.retryPause = false, 0
		f.opts.Logger.Info("store available again")
	}
	f.opts.Sink.Tick()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeAnswered = f.opts.Boottime()
}

// followPeer gets the next update from the host that is followed, or looks for a host
// to follow for at most limit. It returns the pause before the next call.
func (f *Follower) followPeer(ctx context.Context, limit time.Duration) time.Duration {
	host := f.upstreamHost()
	if host == "" {
		f.fetchFromPeer(ctx, limit)
		if f.upstreamHost() != "" {
			return 0
		}
		age, _ := f.Age()
		return min(f.opts.PeerFetchInterval, max(0, f.opts.Timing().StaleAge-age))
	}
	started := f.opts.Boottime()
	after, _ := f.position()
	u, err := f.awaitUpdate(ctx, host, after)
	if err == nil {
		err = f.applyUpdate(u, started)
	}
	old := err == nil && u.age() > f.opts.Timing().FreshAge
	if err != nil || old {
		f.opts.Logger.Debug("host no longer followed", "host", host, "state_age", u.age(), "error", err)
		f.unfollow(host)
	}
	if err != nil || !old && u.Revision > after {
		return f.opts.PeerPause
	}
	return 0
}

// minPeerWait is the shortest wait for a change at the host that is followed.
const minPeerWait = 50 * time.Millisecond

// peerWait returns how long the host that is followed may hold a call, so that the state is
// still fresh when the answer comes, or this host looks for another one in time.
func (f *Follower) peerWait() time.Duration {
	age, _ := f.Age()
	return max(minPeerWait, min(f.opts.PeerWait, f.opts.Timing().FreshAge-age))
}

// awaitUpdate gets the next update from the host that is followed. The call ends when another
// one takes its place.
func (f *Follower) awaitUpdate(ctx context.Context, host string, after int64) (Update, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.mu.Lock()
	f.release = cancel
	replaced := f.upstream != host
	f.mu.Unlock()
	if replaced {
		return Update{}, errReplaced
	}
	return f.opts.FetchFrom(ctx, host, after, f.peerWait())
}

// errReplaced reports that another host is followed by now.
var errReplaced = errors.New("feed: another host is followed by now")

func (f *Follower) upstreamHost() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.upstream
}

// unfollow makes the follower look for another host.
func (f *Follower) unfollow(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.upstream == host {
		f.upstream = ""
	}
}

// follow makes the follower follow a host. A call to another one that is in progress ends.
func (f *Follower) follow(host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.release != nil && f.upstream != host {
		f.release()
	}
	f.upstream = host
}

// Announced tells the follower that a host has a current state. Without one of its own
// the follower follows that host, and gets its state at once.
func (f *Follower) Announced(ctx context.Context, host string) {
	if age, known := f.Age(); known && age < f.opts.Timing().FreshAge {
		return
	}
	f.follow(host)
	started := f.opts.Boottime()
	after, _ := f.position()
	u, err := f.fetchBulk(ctx, host, after)
	if err == nil {
		err = f.applyUpdate(u, started)
	}
	if err != nil {
		f.opts.Logger.Debug("announced state not received", "host", host, "error", err)
		return
	}
	select {
	case f.wake <- struct{}{}:
	default:
	}
}
