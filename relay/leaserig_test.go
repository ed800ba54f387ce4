package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/boottime"
	"github.com/corianderlever/corianderlever/internal/runlease"
	"github.com/corianderlever/corianderlever/relay"
)

// grantLeases makes a host grant leases on the streams that it forwards. It returns the address
// at which holders in other processes ask for them, as the host origin.
func (l *hostLinks) grantLeases(t *testing.T, call runlease.CallFunc) (address string) {
	t.Helper()
	grantor := runlease.NewGrantor(call, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	l.lease = func(host string) relay.RunLease { return grantor.Open(host, "request") }
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		params, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		reply, err := grantor.HandleRenew(r.Context(), l.hosts[0], params)
		if err != nil {
			t.Error(err)
		}
		_ = json.NewEncoder(w).Encode(reply) // an error shows at the holder
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// askAt returns a CallFunc that asks for leases at an address.
func askAt(address string) runlease.CallFunc {
	return func(ctx context.Context, _, _ string, params, result any) error {
		body, err := json.Marshal(params)
		if err != nil {
			return err
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		return json.NewDecoder(resp.Body).Decode(result)
	}
}

// holdLeases makes a host serve the streams of others only under leases.
func (r *rig) holdLeases(call runlease.CallFunc) {
	r.holder = runlease.NewHolder(runlease.HolderOptions{
		Call: call, Clock: clockwork.NewRealClock(), Boottime: boottime.Now, Logger: slog.New(slog.DiscardHandler),
	})
	go func() { _ = r.holder.Run(r.t.Context()) }() // returns nil at the end of the test
}

// serveForwarded serves a request that another host forwards, under a lease if it holds leases.
func (r *rig) serveForwarded(w http.ResponseWriter, hr *http.Request, from string, f relay.Forwarded) {
	if r.holder == nil {
		r.relay.ServeForwarded(hr.Context(), w, from, f)
		return
	}
	lease, err := r.holder.Acquire(hr.Context(), from, f.Lease)
	if err != nil {
		r.relay.Logger.Info("request", "request", f.Request.ID, "outcome", relay.ReasonNoLease)
		relay.RejectForwarded(w, relay.ReasonNoLease)
		return
	}
	defer lease.Release()
	r.relay.ServeForwarded(lease.Context(), w, from, f)
}

// errPathCut is the error of a call between hosts that do not reach each other.
var errPathCut = errors.New("path cut")
