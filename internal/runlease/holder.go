package runlease

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/boottime"
)

// HolderOptions are the parts of a host that a Holder needs.
type HolderOptions struct {
	Call  CallFunc
	Clock clockwork.Clock
	// Boottime is a clock that goes on while the host is suspended, as the leases do.
	Boottime boottime.Clock
	Logger   *slog.Logger
}

// Holder keeps the leases on the requests that this host serves for others. It is safe for
// concurrent use.
type Holder struct {
	opts HolderOptions
	// wake tells Run of the first lease.
	wake chan struct{}

	mu     sync.Mutex
	leases map[leaseKey]*Lease
	// asked is when each grantor was last asked to renew leases.
	asked map[string]boottime.Instant
}

type leaseKey struct{ grantor, id string }

// NewHolder returns a holder without leases.
func NewHolder(opts HolderOptions) *Holder {
	return &Holder{opts: opts, wake: make(chan struct{}, 1), leases: make(map[leaseKey]*Lease), asked: make(map[string]boottime.Instant)}
}

// Lease allows this host to work on a request of another one.
type Lease struct {
	holder *Holder
	key    leaseKey
	// asked is the time of the request that was last granted, and until the end of the lease;
	// zero before the first one.
	asked, until boottime.Instant

	ctx context.Context
	end context.CancelCauseFunc
	// released is closed once the host works on the request no more.
	released    chan struct{}
	releaseOnce sync.Once
}

// Acquire asks a grantor for a lease. The lease must be released, and the request must only be
// worked on within the context of the lease, a child of ctx.
func (h *Holder) Acquire(ctx context.Context, grantor, id string) (*Lease, error) {
	l := &Lease{holder: h, key: leaseKey{grantor, id}, released: make(chan struct{})}
	l.ctx, l.end = context.WithCancelCause(ctx)
	if !h.add(l) {
		l.end(ErrDenied)
		return nil, errors.Wrap(ErrDenied, "held already")
	}
	h.renew(ctx, grantor, []*Lease{l})
	if err := h.check(l); err != nil {
		l.Release()
		return nil, err
	}
	select {
	case h.wake <- struct{}{}:
	default: // Run is awake
	}
	return l, nil
}

// Context returns the context of the work on the request. It ends with ErrEnded as its cause if
// the lease ends.
func (l *Lease) Context() context.Context { return l.ctx }

// Release ends the lease when the work on the request has ended.
func (l *Lease) Release() {
	l.releaseOnce.Do(func() {
		l.end(nil)
		close(l.released)
		h := l.holder
		h.mu.Lock()
		defer h.mu.Unlock()
		delete(h.leases, l.key)
	})
}

// add adds a lease unless there is one of its name.
func (h *Holder) add(l *Lease) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.leases[l.key] != nil {
		return false
	}
	h.leases[l.key] = l
	return true
}

// check returns an error unless a lease that was asked for is granted and has not ended. The first
// lease of a grantor sets the time from which Run renews them.
func (h *Holder) check(l *Lease) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.opts.Boottime() >= l.until || l.ctx.Err() != nil {
		return errors.Wrapf(ErrDenied, "by %s", l.key.grantor)
	}
	if _, ok := h.asked[l.key.grantor]; !ok {
		h.asked[l.key.grantor] = l.asked
	}
	return nil
}

// renew asks a grantor to renew leases.
func (h *Holder) renew(ctx context.Context, grantor string, leases []*Lease) {
	ids := make([]string, len(leases))
	for i, l := range leases {
		ids[i] = l.key.id
	}
	asked := h.opts.Boottime()
	var reply renewed
	if err := h.opts.Call(ctx, grantor, MethodRenew, renewal{Leases: ids}, &reply); err != nil {
		h.opts.Logger.Debug("leases not renewed", "grantor", grantor, "leases", len(ids), "error", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range leases {
		if !slices.Contains(reply.Granted, l.key.id) {
			l.lose("denied")
			continue
		}
		l.asked, l.until = max(l.asked, asked), max(l.until, asked+boottime.Instant(reply.TTL))
	}
}

// lose ends the work on a request, and logs why. The caller holds the lock.
func (l *Lease) lose(why string) {
	if l.ctx.Err() != nil {
		return
	}
	l.end(ErrEnded)
	h := l.holder
	sinceRenewal := time.Duration(0)
	if l.until > 0 {
		sinceRenewal = h.opts.Boottime().Sub(l.asked)
	}
	h.opts.Logger.Warn("lease lost", "lease", l.key.id, "grantor", l.key.grantor, "why", why, "renewed_ms", sinceRenewal.Milliseconds())
}

// HandleRevoke answers MethodRevoke, when the host works on the request no more.
func (h *Holder) HandleRevoke(ctx context.Context, from string, params json.RawMessage) (any, error) {
	var req revocation
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Wrap(err, "runlease: decode revocation")
	}
	h.mu.Lock()
	l := h.leases[leaseKey{from, req.Lease}]
	if l != nil {
		l.lose("revoked")
	}
	h.mu.Unlock()
	if l == nil {
		return struct{}{}, nil
	}
	select {
	case <-l.released:
		return struct{}{}, nil
	case <-ctx.Done():
		return nil, errors.Wrap(context.Cause(ctx), "runlease: work not ended")
	}
}

// Run renews the leases and ends the work on requests whose leases have expired, until ctx
// ends.
func (h *Holder) Run(ctx context.Context) error {
	for {
		select {
		case <-h.wake:
		case <-ctx.Done():
			return nil
		}
		for h.maintain(ctx) {
			select {
			case <-h.opts.Clock.After(checkInterval):
			case <-ctx.Done():
				return nil
			}
		}
	}
}

// maintain ends expired leases and renews the others when it is time. It reports whether there
// are any.
func (h *Holder) maintain(ctx context.Context) bool {
	now := h.opts.Boottime()
	h.mu.Lock()
	defer h.mu.Unlock()
	byGrantor := make(map[string][]*Lease)
	for key, l := range h.leases {
		switch {
		case l.until == 0 || l.ctx.Err() != nil:
		case now >= l.until:
			l.lose("expired")
		default:
			byGrantor[key.grantor] = append(byGrantor[key.grantor], l)
		}
	}
	for grantor, leases := range byGrantor {
		if last, ok := h.asked[grantor]; !ok || now.Sub(last) >= renewInterval {
			h.asked[grantor] = now
			go h.renew(ctx, grantor, leases)
		}
	}
	for grantor := range h.asked {
		if len(byGrantor[grantor]) == 0 {
			delete(h.asked, grantor)
		}
	}
	return len(h.leases) > 0
}
