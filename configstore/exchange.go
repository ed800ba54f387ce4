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

// Methods of this package.
const (
	// MethodPush offers a new revision, with its value or the address to pull it from.
	MethodPush = "config.Push"
	// MethodPull asks for a newer revision and for the age of its confirmation.
	MethodPull = "config.Pull"
)

type pushRequest struct {
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	// Address is where the value can be pulled, if Value is empty.
	Address string `json:"address,omitempty"`
}

const (
	// inlineValueBytes is the size up to which a push carries the value. A
	// larger one would arrive several times at each host: at 5,200 endpoints
	// that alone takes the 12 KB/s for control.
	inlineValueBytes = 4 << 10
	// maxOffers bounds the offers that wait; heartbeats make up for the others.
	maxOffers = 16
)

type pullRequest struct {
	Have int64 `json:"have"`
}

// pullAnswer also answers a push, without the value.
type pullAnswer struct {
	Revision int64  `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	// Ready is false while the answering host has not compared the store or
	// other hosts itself, so that hosts that start together during an outage
	// do not take each other's empty configuration for the newest.
	Ready bool `json:"ready,omitempty"`
	// Confirmed tells whether AgeMS is set.
	Confirmed bool `json:"confirmed,omitempty"`
	// AgeMS is the time since the store confirmed the revision.
	AgeMS int64 `json:"age_ms,omitempty"`
}

// pushLoop forwards each new revision once.
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

// push offers the configuration in force to a few peers that lack it.
func (s *Store) push(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	now := s.state.Load()
	revision := now.snapshot.Revision
	req := pushRequest{Revision: revision, Value: now.value}
	if len(now.value) > inlineValueBytes {
		req = pushRequest{Revision: revision, Address: s.opts.Group.Self().Address}
	}
	var wg sync.WaitGroup
	for _, p := range s.pick(pushFanout, func(p Peer) bool { return p.Revision < revision }) {
		wg.Go(func() {
			err := s.opts.Caller.Call(ctx, p.Address, MethodPush, req, nil)
			if err != nil {
				s.log.Debug("push failed", "host", p.Host, "revision", revision, "err", err)
			}
		})
	}
	wg.Wait()
}

const (
	// spreadParallel bounds the calls at once when a majority is asked.
	spreadParallel = 16
	// spreadDelay spaces the rounds of asking.
	spreadDelay = 100 * time.Millisecond
)

// spread returns when a majority of the members has the revision. Any group
// of hosts that goes on without the store has a majority too, so it contains
// a host that knows the change. HasMajority alone would not do: its contacts
// may be up to 3 s old.
func (s *Store) spread(ctx context.Context, revision int64, value []byte) error {
	var mu sync.Mutex
	have := map[string]bool{s.opts.Group.Self().Host: true}
	enough := func() bool {
		mu.Lock()
		defer mu.Unlock()
		return 2*len(have) > s.opts.Group.QuorumMembers()
	}
	lacks := func(p Peer) bool { return !have[p.Host] }
	for !enough() {
		var calls errgroup.Group
		calls.SetLimit(spreadParallel)
		for _, p := range s.pick(s.opts.Group.QuorumMembers()/2+1, lacks) {
			calls.Go(func() error {
				if !enough() && s.offer(ctx, p, revision, value) {
					mu.Lock()
					defer mu.Unlock()
					have[p.Host] = true
				}
				return nil
			})
		}
		_ = calls.Wait()
		if !enough() && !s.pause(ctx, spreadDelay) {
			return errors.Wrap(ErrUnknown, "stored, but a majority of the hosts did not acknowledge it")
		}
	}
	return nil
}

// offer makes sure that a peer has the revision. It asks first, since in a
// large fleet the change has usually arrived by another way.
func (s *Store) offer(ctx context.Context, p Peer, revision int64, value []byte) bool {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	var answer pullAnswer
	err := s.opts.Caller.Call(ctx, p.Address, MethodPull, pullRequest{Have: revision}, &answer)
	if err == nil && answer.Revision < revision {
		err = s.opts.Caller.Call(ctx, p.Address, MethodPush, pushRequest{Revision: revision, Value: value}, &answer)
	}
	return err == nil && answer.Revision >= revision
}

func (s *Store) handlePush(_ context.Context, from string, params json.RawMessage) (any, error) {
	var req pushRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode push"), ErrValue)
	}
	if req.Revision <= s.Current().Revision {
		return pullAnswer{Revision: s.Current().Revision}, nil
	}
	if len(req.Value) == 0 && req.Address != "" {
		select {
		case s.offers <- req:
		default:
		}
		return pullAnswer{Revision: s.Current().Revision}, nil
	}
	if err := s.takeValue(req.Value, "push from "+from); err != nil {
		s.log.Warn("pushed value refused", "from", from, "err", err)
		return nil, err
	}
	return pullAnswer{Revision: s.Current().Revision}, nil
}

// offerLoop pulls the values of offers, one at a time, so that a revision that
// several peers offer at once is pulled once.
func (s *Store) offerLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-s.offers:
			if o.Revision <= s.Current().Revision {
				continue
			}
			if _, err := s.pull(ctx, Peer{Host: o.Address, Address: o.Address}); err != nil {
				s.log.Debug("offer not pulled", "address", o.Address, "revision", o.Revision, "err", err)
			}
		}
	}
}

func (s *Store) takeValue(value []byte, source string) error {
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
	// The confirmation is read first: it holds for any later revision too.
	at := s.confirmed()
	now := s.state.Load()
	answer := pullAnswer{Revision: now.snapshot.Revision, Ready: s.isReady()}
	if answer.Revision > req.Have {
		answer.Value = now.value
	}
	if !at.IsZero() {
		answer.Confirmed = true
		answer.AgeMS = s.opts.Clock.Since(at).Milliseconds() + 1 // rounded up
	}
	return answer, nil
}

// pull takes a newer revision from a peer and counts the peer's confirmation,
// aged by the time of the call. It reports whether the peer is ready.
func (s *Store) pull(ctx context.Context, p Peer) (bool, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, callTimeout)
	defer cancel()
	began := s.opts.Clock.Now()
	var answer pullAnswer
	if err := s.opts.Caller.Call(ctx, p.Address, MethodPull, pullRequest{Have: s.Current().Revision}, &answer); err != nil {
		return false, errors.Wrapf(err, "pull from %s", p.Host)
	}
	if len(answer.Value) > 0 {
		if err := s.takeValue(answer.Value, "pull from "+p.Host); err != nil {
			s.log.Warn("pulled value refused", "host", p.Host, "err", err)
			return false, err
		}
	}
	if answer.Confirmed && answer.AgeMS >= 0 {
		s.confirmRevision(answer.Revision, began.Add(-time.Duration(answer.AgeMS)*time.Millisecond))
	}
	return answer.Ready, nil
}
