package daemon

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/configstore"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/ledger"
	"github.com/corianderlever/corianderlever/membership"
)

// configurationService provides the resources in force.
type configurationService struct {
	base
	*configstore.Store
}

func (s *configurationService) Name() string { return serviceConfiguration }
func (s *configurationService) Requires() []string {
	return []string{servicePlatform, servicePeers, serviceMembership}
}

// Provision registers the methods by which hosts exchange revisions.
func (s *configurationService) Provision(k *kernel.Kernel) error {
	d, err := lookupCoreServices(k)
	if err != nil {
		return err
	}
	s.Store, err = configstore.New(configstore.Options{
		KV: d.platform.store, Group: configstore.FromMembership(d.membership.Membership), Caller: d.peers.client,
		Registrar: d.peers.server, Clock: s.opts.Clock, Rand: s.opts.newRand(), Logger: s.opts.Logger,
	})
	return err
}

// Start starts following the configuration.
func (s *configurationService) Start(context.Context) error {
	s.run.Start(serviceConfiguration, s.Run)
	return nil
}

// Stop stops following the configuration.
func (s *configurationService) Stop(ctx context.Context) error { return s.run.Stop(ctx) }

// coreServices are the services that most other services use.
type coreServices struct {
	platform   *platformService
	peers      *peerService
	membership *membershipService
}

func lookupCoreServices(k *kernel.Kernel) (coreServices, error) {
	var b coreServices
	err := errors.Join(
		kernel.Bind(k, servicePlatform, &b.platform),
		kernel.Bind(k, servicePeers, &b.peers),
		kernel.Bind(k, serviceMembership, &b.membership),
	)
	return b, err
}

// Methods by which hosts store and release copies of each other's billing records.
const (
	methodHold    = "ledger.Hold"
	methodRelease = "ledger.Release"
)

// ledgerService provides the billing records.
type ledgerService struct {
	base
	coreServices
	*ledger.Ledger
	replica *ledger.Replica
	changes chan membership.Member

	mu      sync.Mutex
	rng     *rand.Rand
	process map[string]string // host name to the name of its last known process
}

func (s *ledgerService) Name() string { return serviceLedger }
func (s *ledgerService) Requires() []string {
	return []string{servicePlatform, servicePeers, serviceMembership}
}

// memberChangeBacklog is the number of membership changes that may be queued.
const memberChangeBacklog = 1024

// Provision registers the methods by which peers store and release copies.
func (s *ledgerService) Provision(k *kernel.Kernel) error {
	var err error
	if s.coreServices, err = lookupCoreServices(k); err != nil {
		return err
	}
	s.rng = s.opts.newRand()
	s.process = make(map[string]string)
	s.changes = make(chan membership.Member, memberChangeBacklog)
	s.replica = ledger.NewReplica(s.opts.Clock)
	s.Ledger = ledger.New(s.platform.store, s.opts.Clock, s, ledger.Config{
		Host: processName(s.membership.Self()), Logger: s.opts.Logger,
	})
	s.peers.server.Handle(methodHold, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var c ledger.Copies
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, errors.Wrap(err, "daemon: decode copies")
		}
		s.replica.Hold(c)
		return struct{}{}, nil
	})
	s.peers.server.Handle(methodRelease, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var r ledger.Released
		if err := json.Unmarshal(params, &r); err != nil {
			return nil, errors.Wrap(err, "daemon: decode release")
		}
		s.replica.Release(r)
		return struct{}{}, nil
	})
	s.membership.OnChange(func(m membership.Member) {
		select {
		case s.changes <- m:
		default:
			s.opts.Logger.Error("member change dropped", "host", m.Host)
		}
	})
	return nil
}

// Start starts writing batches and following membership changes.
func (s *ledgerService) Start(context.Context) error {
	s.run.Start(serviceLedger, s.Run)
	s.run.Start("ledger members", s.followMembers)
	return nil
}

// Stop writes the remaining records. Records that cannot be written stay at the
// peers that hold copies. They write them once this host has left.
func (s *ledgerService) Stop(ctx context.Context) error {
	err := s.run.Stop(ctx)
	if flushErr := s.Flush(ctx); flushErr != nil {
		s.opts.Logger.Error("billing records left to peers", "waiting", s.Stats().Waiting, "error", flushErr)
		s.copyToAlive(ctx)
		s.awaitStore(ctx)
	}
	return err
}

const (
	// lastFlushTime is the time for which a host that stops waits for the store if no other
	// host has copies of its records.
	lastFlushTime = 8 * time.Second
	// lastFlushInterval is the time between two attempts to write them.
	lastFlushInterval = 200 * time.Millisecond
)

// awaitStore tries to write the records of which no other host has a copy.
func (s *ledgerService) awaitStore(ctx context.Context) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, lastFlushTime)
	defer cancel()
	for s.Uncopied() > 0 {
		select {
		case <-s.opts.Clock.After(lastFlushInterval):
		case <-ctx.Done():
			s.opts.Logger.Error("billing records lost", "records", s.Uncopied())
			return
		}
		if err := s.Flush(ctx); err != nil {
			s.opts.Logger.Debug("billing records still not written", "error", err)
			s.copyToAlive(ctx)
		}
	}
}

// copyToAlive places copies of the records whose copies are at hosts that stop as well.
func (s *ledgerService) copyToAlive(ctx context.Context) {
	for _, m := range s.membership.Members() {
		if m.State != membership.Alive {
			s.PeerFailed(ctx, processName(m))
		}
	}
	s.Replicate(ctx)
}

// followMembers takes over the records of hosts that failed or left. A host that
// was restarted counts as failed, because its old process lost its records.
func (s *ledgerService) followMembers(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case m := <-s.changes:
			current := processName(m)
			previous := s.process[m.Host]
			s.process[m.Host] = current
			if previous != "" && previous != current {
				s.takeOver(ctx, previous)
			}
			if m.State == membership.Failed || m.State == membership.Left {
				s.takeOver(ctx, current)
			}
		}
	}
}

// takeOver writes the records of a failed process and replaces the copies that the
// process held for this host.
func (s *ledgerService) takeOver(ctx context.Context, process string) {
	records := s.replica.RemoveOrigin(process)
	if len(records) > 0 {
		s.opts.Logger.Warn("billing records taken over", "from", process, "records", len(records))
	}
	s.PeerFailed(ctx, process)
	s.TakeOver(ctx, records)
}

// processName returns the name of a member's process. It differs after a restart,
// because a restarted host has lost its copies.
func processName(m membership.Member) string {
	return m.Host + processSeparator + time.Unix(0, m.Started).UTC().Format(processLayout)
}

// A process name is the host name, a separator and the start time.
const (
	processSeparator = "."
	processLayout    = "20060102T150405.000000"
)

// hostOfProcess returns the host part of a process name.
func hostOfProcess(process string) string {
	return process[:max(0, len(process)-len(processSeparator)-len(processLayout))]
}

// Pick implements ledger.Replicator. It returns a random live host, in another
// failure domain if there is one.
func (s *ledgerService) Pick(exclude ...string) string {
	self := s.membership.Self()
	var local, remote []membership.Member
	for _, m := range s.membership.Members() {
		if m.Host == self.Host || m.State != membership.Alive || len(exclude) > 0 && slices.Contains(exclude, processName(m)) {
			continue
		}
		if m.FailureDomain == self.FailureDomain {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	if len(remote) == 0 {
		remote = local
	}
	if len(remote) == 0 {
		return ""
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return processName(remote[s.rng.IntN(len(remote))])
}

// address returns the peer address of a process if it still runs.
func (s *ledgerService) address(process string) (string, error) {
	m, ok := s.membership.Member(hostOfProcess(process))
	if ok && m.State.Live() && processName(m) == process {
		return m.PeerAddress, nil
	}
	return "", errors.Newf("daemon: %s is not a live member", process)
}

// Hold implements ledger.Replicator.
func (s *ledgerService) Hold(ctx context.Context, process string, c ledger.Copies) error {
	return s.call(ctx, process, methodHold, c)
}

// Release implements ledger.Replicator.
func (s *ledgerService) Release(ctx context.Context, process string, r ledger.Released) error {
	return s.call(ctx, process, methodRelease, r)
}

func (s *ledgerService) call(ctx context.Context, process, method string, params any) error {
	addr, err := s.address(process)
	if err != nil {
		return err
	}
	return s.peers.client.Call(ctx, addr, method, params, nil)
}

// methodAnswer fetches the stored answer of a claimed request from a host.
const methodAnswer = "claim.Answer"

// claimsService provides the claims by which non-idempotent requests run at most
// once.
type claimsService struct {
	base
	coreServices
	*claim.Claimer
}

func (s *claimsService) Name() string { return serviceClaims }
func (s *claimsService) Requires() []string {
	return []string{servicePlatform, servicePeers, serviceMembership}
}

// Provision registers the method by which hosts fetch answers from each other.
func (s *claimsService) Provision(k *kernel.Kernel) error {
	var err error
	if s.coreServices, err = lookupCoreServices(k); err != nil {
		return err
	}
	s.Claimer = claim.New(s.platform.store, s.opts.Clock, s.opts.newRand(), s.opts.Settings.Host, s.opts.Logger)
	s.peers.server.Handle(methodAnswer, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var id string
		if err := json.Unmarshal(params, &id); err != nil {
			return nil, errors.Wrap(err, "daemon: decode claim id")
		}
		answer, ok := s.StoredAnswer(id)
		if !ok {
			return (*claim.Answer)(nil), nil
		}
		return &answer, nil
	})
	return nil
}

// claimCleanupInterval is the time between two runs of CleanUp.
const claimCleanupInterval = 10 * time.Second

// Start starts settling claims that wait for the store.
func (s *claimsService) Start(context.Context) error {
	s.run.Start(serviceClaims, func(ctx context.Context) error {
		return background.Every(ctx, s.opts.Clock, claimCleanupInterval, func() { s.CleanUp() })
	})
	return nil
}

// Stop settles the claims that still wait for the store.
func (s *claimsService) Stop(ctx context.Context) error {
	s.CleanUp()
	return s.run.Stop(ctx)
}

// answerTimeout bounds a fetch of an answer from another host.
const answerTimeout = time.Second

// Claim implements dispatch.Claims. For a retry whose answer is not stored it
// fetches the answer from the host that holds the claim.
func (s *claimsService) Claim(ctx context.Context, key claim.Key) (claim.Result, error) {
	result, err := s.Claimer.Claim(ctx, key)
	if err != nil || result.Won || result.Answer != nil {
		return result, err
	}
	id, err := key.ID()
	if err != nil {
		return result, err
	}
	if answer, ok := s.StoredAnswer(id); ok {
		result.Answer = &answer
		return result, nil
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	for _, m := range s.membership.Members() {
		if m.Host != result.Host || m.Host == s.opts.Settings.Host {
			continue
		}
		if err := s.peers.client.Call(ctx, m.PeerAddress, methodAnswer, id, &result.Answer); err != nil {
			s.opts.Logger.Info("answer not fetched from its host", "host", m.Host, "error", err)
		}
	}
	return result, nil
}
