package router

import (
	"context"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/internal/background"
)

// controlService follows the key-value service and coordinates roll-outs.
type controlService struct {
	host *Host
	run  *background.Group
}

func (s *controlService) Name() string       { return serviceControl }
func (s *controlService) Requires() []string { return []string{servicePeers} }

// Start starts following the store and coordinating roll-outs.
func (s *controlService) Start(context.Context) error {
	h := s.host
	c := &control.Coordinator{Rollouts: h.rollouts, Store: h.opts.Store, Codec: h.opts.Records, IsCoordinator: h.isCoordinator, Announce: h.announceStep}
	s.run.Start("feed", h.follower.Run)
	s.run.Start("coordinator", c.Run)
	s.run.Start("loads", h.exchangeLoads)
	s.run.Start("crash record", h.crashRecord.Run)
	return nil
}

// Stop stops both.
func (s *controlService) Stop(ctx context.Context) error { return s.run.Stop(ctx) }
