package daemon

import (
	"context"
	"encoding/json"

	"github.com/corianderlever/corianderlever/internal/permitpeers"
	"github.com/corianderlever/corianderlever/membership"
)

// permitPeers returns the hosts that grant permits.
func (s *signalService) permitPeers() *permitpeers.Peers {
	return &permitpeers.Peers{
		Self:    s.opts.Settings.Host,
		Members: func() []membership.Member { return s.membership.Members() },
		Call: func(ctx context.Context, address, method string, params, result any) error {
			return s.peers.client.Call(ctx, address, method, params, result)
		},
		MinHosts: 1,
	}
}

func (s *signalService) limitMarks() (json.RawMessage, bool) {
	marks, err := s.permits.Marks()
	if err != nil {
		s.opts.Logger.Error("endpoint limits not sent", "error", err)
	}
	return marks, err == nil && len(marks) > 0
}
