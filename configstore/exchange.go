package configstore

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"
)

// RPC methods between hosts.
const (
	// MethodPush announces a new revision, with its value or the address to pull
	// it from.
	MethodPush = "config.Push"
	// MethodPull requests a newer revision and the age of its confirmation.
	MethodPull = "config.Pull"
)

type pushRequest struct {
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	// Address is the host to pull the value from if Value is empty.
	Address string `json:"address,omitempty"`
}

const (
	// inlineValueBytes is the largest value that a push carries. A pushed value
	// arrives several times at each host. With 5,200 endpoints, that alone would
	// use up the 12 KB/s allowed for control traffic.
	inlineValueBytes = 4 << 10
	// maxOffers bounds the queue of offers. Revisions of dropped offers are found
	// by the heartbeats.
	maxOffers = 16
)

type pullRequest struct {
	Have int64 `json:"have"`
}

// pullResponse is the response to a pull and, without the value, to a push.
type pullResponse struct {
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	// Ready is false until the responding host has finished its own initial
	// sync. Without it, hosts that start together during an outage would accept
	// each other's empty configuration as the newest.
	Ready bool `json:"ready,omitempty"`
	// Confirmed reports whether AgeMS is set.
	Confirmed bool `json:"confirmed,omitempty"`
	// AgeMS is the time since the store confirmed the revision, in milliseconds.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// pushLoop pushes each new revision once, until ctx ends.
func (s *Store) pushLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.changed:
			s.push(ctx)
		}
	}
}

// push sends the configuration in force, or an offer of it, to up to pushFanout
// peers that lack it: random ones, so that it spreads fast, and the next by name, so that
// the hosts reach all of them together.
func (s *Store) push(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	now := s.active.Load()
	revision := now.snapshot.Revision
	req := pushRequest{Revision: revision, Value: now.value}
	if len(now.value) > inlineValueBytes {
		req = pushRequest{Revision: revision, Address: s.opts.Group.Self().Address}
	}
	var wg sync.WaitGroup
	for _, p := range s.pushTargets(revision) {
		wg.Go(func() {
			err := s.opts.Caller.Call(ctx, p.Address, MethodPush, req, nil)
			if err != nil {
				s.log.Debug("push failed", "host", p.Host, "revision", revision, "err", err)
			}
		})
	}
	wg.Wait()
}

// pushTargets returns the peers to which this host pushes a revision.
func (s *Store) pushTargets(revision int64) []Peer {
	lacks := func(p Peer) bool { return p.Revision < revision }
	next, found := s.nextPeer(func(p Peer) bool { return p.Alive && lacks(p) })
	if !found {
		return s.samplePeers(pushFanout, lacks)
	}
	return append(s.samplePeers(pushFanout-1, func(p Peer) bool { return lacks(p) && p.Host != next.Host }), next)
}

const (
	// replicateConcurrency bounds the concurrent calls of replicate.
	replicateConcurrency = 16
	// replicateInterval is the delay between the rounds of calls.
	replicateInterval = 100 * time.Millisecond
)

// replicate returns when a majority of the members has the revision. Hosts that
// keep working without the store also need a majority, so at least one of them
// has the change. Checking HasMajority is not enough because its contacts may be
// up to 3 s old.
func (s *Store) replicate(ctx context.Context, revision int64, value []byte) error {
	var mu sync.Mutex
	holders := map[string]bool{s.opts.Group.Self().Host: true}
	majorityReached := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return 2*len(holders) > s.opts.Group.QuorumMembers()
	}
	lacks := func(p Peer) bool { return !holders[p.Host] }
	for !majorityReached() {
		var calls errgroup.Group
		calls.SetLimit(replicateConcurrency)
		for _, p := range s.samplePeers(s.opts.Group.QuorumMembers()/2+1, lacks) {
			calls.Go(func() error {
				if !majorityReached() && s.ensureRevision(ctx, p, revision, value) {
					mu.Lock()
					defer mu.Unlock()
					holders[p.Host] = true
				}
				return nil
			})
		}
		_ = calls.Wait()
		if !majorityReached() && !s.sleep(ctx, replicateInterval) {
			return errors.Wrap(ErrUnknown, "stored, but a majority of the hosts did not acknowledge it")
		}
	}
	return nil
}

// ensureRevision reports whether a peer has the revision, after pushing it if
// necessary. It queries the peer first because in a large fleet the change has
// usually arrived there from another host.
func (s *Store) ensureRevision(ctx context.Context, p Peer, revision int64, value []byte) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	var resp pullResponse
	err := s.opts.Caller.Call(ctx, p.Address, MethodPull, pullRequest{Have: revision}, &resp)
	if err == nil && resp.Revision < revision {
		err = s.opts.Caller.Call(ctx, p.Address, MethodPush, pushRequest{Revision: revision, Value: value}, &resp)
	}
	return err == nil && resp.Revision >= revision
}

func (s *Store) handlePush(_ context.Context, from string, params json.RawMessage) (any, error) {
	var req pushRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode push"), ErrValue)
	}
	if req.Revision <= s.Current().Revision {
		return pullResponse{Revision: s.Current().Revision}, nil
	}
	if len(req.Value) == 0 && req.Address != "" {
		select {
		case s.offers <- req:
		default:
		}
		return pullResponse{Revision: s.Current().Revision}, nil
	}
	if err := s.acceptValue(req.Value, "push from "+from); err != nil {
		s.log.Warn("pushed value refused", "from", from, "err", err)
		return nil, err
	}
	return pullResponse{Revision: s.Current().Revision}, nil
}

// offerLoop pulls the offered values one at a time, so that a revision offered by
// several peers at once is pulled only once.
func (s *Store) offerLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case offer := <-s.offers:
			if offer.Revision <= s.Current().Revision {
				continue
			}
			if _, err := s.pull(ctx, Peer{Host: offer.Address, Address: offer.Address}); err != nil {
				s.log.Debug("offer not pulled", "address", offer.Address, "revision", offer.Revision, "err", err)
			}
		}
	}
}

func (s *Store) acceptValue(value []byte, source string) error {
	env, err := decode(value)
	if err != nil {
		return err
	}
	_, err = s.accept(env, value, source)
	return err
}

func (s *Store) handlePull(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var req pullRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode pull"), ErrValue)
	}
	// The confirmation is read before the configuration because it also holds for
	// any later revision.
	at := s.lastConfirmed()
	now := s.active.Load()
	resp := pullResponse{Revision: now.snapshot.Revision, Ready: s.isReady()}
	if resp.Revision > req.Have {
		resp.Value = now.value
	}
	if !at.IsZero() {
		resp.Confirmed = true
		resp.AgeMS = s.opts.Clock.Since(at).Milliseconds() + 1 // rounded up
	}
	return resp, nil
}

// pull accepts a newer revision from a peer and records the peer's confirmation.
// The duration of the call counts towards the age of the confirmation. pull
// reports whether the peer is ready.
func (s *Store) pull(ctx context.Context, p Peer) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	began := s.opts.Clock.Now()
	var resp pullResponse
	if err := s.opts.Caller.Call(ctx, p.Address, MethodPull, pullRequest{Have: s.Current().Revision}, &resp); err != nil {
		return false, errors.Wrapf(err, "pull from %s", p.Host)
	}
	if len(resp.Value) > 0 {
		if err := s.acceptValue(resp.Value, "pull from "+p.Host); err != nil {
			s.log.Warn("pulled value refused", "host", p.Host, "err", err)
			return false, err
		}
	}
	if resp.Confirmed && resp.AgeMS >= 0 {
		s.confirmRevision(resp.Revision, began.Add(-time.Duration(resp.AgeMS)*time.Millisecond))
	}
	return resp.Ready, nil
}
