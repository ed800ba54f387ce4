package runlease

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// CallFunc calls a method of the host of the given name.
type CallFunc func(ctx context.Context, host, method string, params, result any) error

// Grantor grants leases on the requests that this host passes on. It is safe for concurrent
// use.
type Grantor struct {
	call   CallFunc
	clock  clockwork.Clock
	logger *slog.Logger

	mu     sync.Mutex
	last   int64
	grants map[string]*Grant
}

// NewGrantor returns a grantor without grants.
func NewGrantor(call CallFunc, clock clockwork.Clock, logger *slog.Logger) *Grantor {
	return &Grantor{call: call, clock: clock, logger: logger, grants: make(map[string]*Grant)}
}

// Grant is the permission for one host to work on one request.
type Grant struct {
	grantor *Grantor
	holder  string
	// id is unique among the grants of all incarnations of the grantor.
	id     string
	opened time.Time
	// until is the end of the lease by the count of the grantor; zero if none was granted.
	until time.Time
}

// Open lets a holder ask for a lease on a request.
func (g *Grantor) Open(holder, request string) *Grant {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = max(g.last+1, now.UnixNano())
	gr := &Grant{grantor: g, holder: holder, id: request + "/" + strconv.FormatInt(g.last, 36), opened: now}
	g.grants[gr.id] = gr
	return gr
}

// ID returns the name of the lease, by which the holder asks for it.
func (gr *Grant) ID() string { return gr.id }

// Close ends the grant: the lease is granted no more. It does not wait for its end.
func (gr *Grant) Close() {
	g := gr.grantor
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.grants, gr.id)
}

// Revoke closes the grant and waits until the holder works on the request no more: until it says
// so, or its lease has ended. It returns the cause of ctx if that ends before.
func (gr *Grant) Revoke(ctx context.Context) error {
	gr.Close()
	g := gr.grantor
	started := g.clock.Now()
	left := gr.left(started)
	if left <= 0 {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	confirmed := make(chan struct{})
	go func() {
		if err := g.call(ctx, gr.holder, MethodRevoke, revocation{Lease: gr.id}, nil); err != nil {
			g.logger.Debug("end of a run not confirmed", "lease", gr.id, "holder", gr.holder, "error", err)
			return
		}
		close(confirmed)
	}()
	how := "confirmed"
	select {
	case <-confirmed:
	case <-g.clock.After(left):
		how = "expired"
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	g.logger.Info("lease of a run ended", "lease", gr.id, "holder", gr.holder, "how", how, "waited_ms", g.clock.Since(started).Milliseconds())
	return nil
}

// left returns how long the holder may still work on the request after the grant was closed. A
// holder that has not asked yet will be denied.
func (gr *Grant) left(now time.Time) time.Duration {
	switch {
	case !gr.until.IsZero():
		return gr.until.Add(margin).Sub(now)
	case now.Sub(gr.opened) < askTimeout:
		return 0
	}
	return unleasedTime
}

// HandleRenew answers MethodRenew.
func (g *Grantor) HandleRenew(_ context.Context, from string, params json.RawMessage) (any, error) {
	var req renewal
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "runlease: decode renewal")
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	reply := renewed{Granted: []string{}, TTL: ttl}
	until := g.clock.Now().Add(ttl)
	for _, id := range req.Leases {
		if gr := g.grants[id]; gr != nil && gr.holder == from {
			gr.until = until
			reply.Granted = append(reply.Granted, id)
		}
	}
	return reply, nil
}
