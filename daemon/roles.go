package daemon

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/lease"
	"github.com/corianderlever/corianderlever/ledger"
	"github.com/corianderlever/corianderlever/membership"
)

// Names of the roles that one host holds at a time.
const (
	roleRollouts    = "rollouts"
	roleAllocator   = "allocator"
	rolePlacement   = "placement"
	roleMaintenance = "maintenance"
)

// Intervals at which the roles do their work.
const (
	rolloutInterval  = time.Second
	allocateInterval = time.Second
	foldInterval     = 5 * time.Minute
	// foldsPerSweep gives one sweep of old claims per hour.
	foldsPerSweep = 12
)

// methodGrant grants cost units of the current minute to a host.
const methodGrant = "allowance.Grant"

// rolesService competes for the leases of the roles and does the work of a role
// while it holds the lease.
type rolesService struct {
	base
	coreServices
	config   *configurationService
	signals  *signalService
	claims   *claimsService
	engines  *engine.Client
	rollouts *rolloutManager

	allocator *lease.Candidate
}

func (s *rolesService) Name() string { return serviceRoles }
func (s *rolesService) Requires() []string {
	return []string{servicePlatform, servicePeers, serviceMembership, serviceConfiguration, serviceSignals, serviceClaims, serviceDispatch}
}

// Provision looks up the services that the roles act on.
func (s *rolesService) Provision(k *kernel.Kernel) error {
	var err error
	if s.coreServices, err = lookupCoreServices(k); err != nil {
		return err
	}
	var d *dispatchService
	err = errors.Join(
		kernel.Bind(k, serviceConfiguration, &s.config),
		kernel.Bind(k, serviceSignals, &s.signals),
		kernel.Bind(k, serviceClaims, &s.claims),
		kernel.Bind(k, serviceDispatch, &d),
	)
	if err != nil {
		return err
	}
	s.engines = d.engines
	s.rollouts = &rolloutManager{opts: s.opts, config: s.config, detector: s.signals.detector}
	s.peers.server.Handle(methodGrant, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var g allowance.Grant
		if err := json.Unmarshal(params, &g); err != nil {
			return nil, errors.Wrap(err, "daemon: decode grant")
		}
		s.signals.applyGrant(g)
		return struct{}{}, nil
	})
	return nil
}

// startCandidate starts competing for the lease of a role.
func (s *rolesService) startCandidate(role string) *lease.Candidate {
	c := lease.New(s.platform.store, s.opts.Clock, s.opts.newRand(), lease.Config{
		Role: role, Host: s.opts.Settings.Host, Logger: s.opts.Logger,
	})
	s.run.Start(role, c.Run)
	return c
}

// Start starts competing for the roles.
func (s *rolesService) Start(context.Context) error {
	rolloutRole := s.startCandidate(roleRollouts)
	s.run.Start("roll-out steps", func(ctx context.Context) error {
		return background.Every(ctx, s.opts.Clock, rolloutInterval, func() { s.runGuarded(ctx, rolloutRole, s.rollouts.act) })
	})
	s.allocator = s.startCandidate(roleAllocator)
	s.run.Start("allocation", s.allocate)
	placer := newPlacer(s.opts, s.config.Current, s.signals.demand, s.engines, s.startCandidate(rolePlacement))
	s.run.Start("placement of versions", func(ctx context.Context) error {
		return background.Every(ctx, s.opts.Clock, placementInterval, func() { placer.runRound(ctx) })
	})
	maintenance := s.startCandidate(roleMaintenance)
	s.run.Start("folding", func(ctx context.Context) error {
		n := 0
		return background.Every(ctx, s.opts.Clock, foldInterval, func() {
			n++
			s.runGuarded(ctx, maintenance, func(ctx context.Context, _ int64) error { return s.maintain(ctx, n) })
		})
	})
	return nil
}

// Stop releases the roles.
func (s *rolesService) Stop(ctx context.Context) error { return s.run.Stop(ctx) }

// runGuarded runs an action of a role if this host holds its lease.
func (s *rolesService) runGuarded(ctx context.Context, c *lease.Candidate, act func(ctx context.Context, fencing int64) error) {
	err := c.Guard(ctx, act)
	if err != nil && !errors.Is(err, lease.ErrNotHeld) && ctx.Err() == nil {
		s.opts.Logger.Warn("role action failed", "error", err)
	}
}

// maintain folds old minutes of the ledger, and removes old claims in every
// foldsPerSweep-th round. n is the number of the round.
func (s *rolesService) maintain(ctx context.Context, n int) error {
	if err := ledger.Fold(ctx, s.platform.store, s.opts.Clock.Now()); err != nil {
		return err
	}
	if n%foldsPerSweep == 0 {
		return s.claims.Sweep(ctx)
	}
	return nil
}

// allocate moves unused cost units of the current minute between hosts. The holder
// of the allocator role does so for all hosts. A new holder starts with no units,
// because it owns only the units returned under its own fencing token. While no
// holder is known, each host grants its own unused units to the others.
func (s *rolesService) allocate(ctx context.Context) error {
	var current *allowance.Allocator
	fence := int64(0)
	return background.Every(ctx, s.opts.Clock, allocateInterval, func() {
		token, held := s.allocator.Token()
		if !held {
			token.Fencing = 0
		}
		s.signals.setOwnFence(token.Fencing)
		next := s.signals.allocatorFence()
		if current == nil || fence != next {
			current, fence = allowance.NewAllocator(next), next
		}
		switch {
		case held:
			s.runGuarded(ctx, s.allocator, func(ctx context.Context, _ int64) error { return s.allocateOnce(ctx, current) })
		case next < 0:
			if err := s.allocateOnce(ctx, current); err != nil {
				s.opts.Logger.Warn("units not granted", "error", err)
			}
		default:
			s.signals.takeReports() // another host allocates
		}
	})
}

// allocateOnce feeds the queued reports to an allocator and delivers its grants.
func (s *rolesService) allocateOnce(ctx context.Context, a *allowance.Allocator) error {
	for _, r := range s.signals.takeReports() {
		if err := a.Observe(r); err != nil {
			return err
		}
	}
	live := make(map[string]membership.Member)
	for _, m := range s.membership.Members() {
		if m.State == membership.Alive {
			live[m.Host] = m
		}
	}
	minute := allowance.MinuteOf(s.opts.Clock.Now())
	grants := a.Allocate(minute, func(host string) bool { _, ok := live[host]; return ok })
	for _, g := range grants {
		if g.Host == s.opts.Settings.Host {
			s.signals.applyGrant(g)
			continue
		}
		// A grant that is not delivered is sent again in the next round.
		if err := s.peers.client.Call(ctx, live[g.Host].PeerAddress, methodGrant, g, nil); err != nil {
			s.opts.Logger.Debug("grant not delivered", "to", g.Host, "error", err)
		}
	}
	return nil
}
