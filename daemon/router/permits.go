package router

import (
	"context"
	"encoding/json"

	"github.com/corianderlever/corianderlever/internal/permitpeers"
	"github.com/corianderlever/corianderlever/internal/retryloans"
	"github.com/corianderlever/corianderlever/membership"
)

// permitPeers returns the hosts that grant permits.
func (h *Host) permitPeers() *permitpeers.Peers {
	return &permitpeers.Peers{
		Self:    h.opts.Settings.Host,
		Members: func() []membership.Member { return h.peers.members.Members() },
		Call: func(ctx context.Context, address, method string, params, result any) error {
			return h.peers.client.Call(ctx, address, method, params, result)
		},
		MinHosts: minHosts,
	}
}

// lenders returns the other hosts, which lend retries.
func (h *Host) lenders() *retryloans.Borrower {
	return retryloans.New(retryloans.Options{
		Self:    h.opts.Settings.Host,
		Members: func() []membership.Member { return h.peers.members.Members() },
		Call: func(ctx context.Context, address, method string, params, result any) error {
			return h.peers.client.Call(ctx, address, method, params, result)
		},
		Clock: h.opts.Clock, Rand: h.newRand(), Logger: h.opts.Logger,
	})
}

func (s *peerService) limitMarks() json.RawMessage {
	marks, err := s.host.permits.Marks()
	if err != nil {
		s.host.opts.Logger.Error("endpoint limits not sent", "error", err)
		return nil
	}
	return marks
}

func (s *peerService) mergeLimitMarks(from string, marks json.RawMessage) {
	if err := s.host.permits.MergeMarks(marks); err != nil {
		s.host.opts.Logger.Warn("signal refused", "signal", "limits", "from", from, "error", err)
	}
}
