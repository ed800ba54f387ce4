// Package lease elects at most one holder at a time for a named role. The holder
// keeps the store key role/<name> under a lease of the key-value service. It stops
// acting by its own clock before the lease can expire in the store and another
// host can acquire the role.
package lease

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
)

// Errors of this package.
var (
	// ErrNotHeld reports that this host does not hold the role; the action did not
	// run.
	ErrNotHeld = errors.New("lease: role not held")
	// ErrLeaseLapsed reports that the lease lapsed while the action ran, so the
	// action may have overlapped with actions of another holder.
	ErrLeaseLapsed = errors.New("lease: lapsed during the action")
)

// Defaults of Config.
const (
	DefaultTTL = 10 * time.Second
	// DefaultMargin covers a local clock that runs up to 20% slower than the
	// store's clock.
	DefaultMargin = 2 * time.Second
)

// renewalsPerTTL is the number of renewals in one TTL. Two of them may fail
// without loss of the role.
const renewalsPerTTL = 4

// Config describes one candidate for a role.
type Config struct {
	// Role names the role; its store key is role/<Role>.
	Role string
	// Host identifies this candidate in the stored value.
	Host string
	// TTL is the time to live of the lease; zero means DefaultTTL.
	TTL time.Duration
	// Margin is the time before the end of the lease at which the holder stops
	// acting; zero means DefaultMargin.
	Margin time.Duration
	// Logger receives one line for each change of state; nil means slog.Default.
	Logger *slog.Logger
}

// Token is the right to act for the role.
type Token struct {
	// Fencing is the fencing token: the store revision of the write that acquired
	// the role. It rises with every change of holder.
	Fencing int64
	// AcquiredAt is the local time at which the role was acquired. A holder
	// counts from here the wait that Guard requires before it sends orders to
	// endpoints that do not check fencing tokens.
	AcquiredAt time.Time
	// ValidUntil is the local time at which the holder stops acting.
	ValidUntil time.Time
}

// Candidate acquires and renews one role. It is safe for concurrent use.
type Candidate struct {
	store kv.KV
	clock clockwork.Clock
	cfg   Config
	log   *slog.Logger

	// stepMu serializes the store calls of step and release. It guards rng and
	// attempt.
	stepMu  sync.Mutex
	rng     *rand.Rand
	attempt *attempt

	mu   sync.Mutex
	term *term
}

// term is one uninterrupted period as holder of the role.
type term struct {
	token   Token
	lease   kv.LeaseID
	ctx     context.Context
	cancel  context.CancelFunc
	actions sync.WaitGroup
}

// New returns a candidate that does nothing until Run is called.
func New(store kv.KV, clock clockwork.Clock, rng *rand.Rand, cfg Config) *Candidate {
	if cfg.TTL == 0 {
		cfg.TTL = DefaultTTL
	}
	if cfg.Margin == 0 {
		cfg.Margin = DefaultMargin
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	log := cfg.Logger.With("role", cfg.Role, "host", cfg.Host)
	return &Candidate{store: store, clock: clock, cfg: cfg, log: log, rng: rng}
}

// Run acquires and renews the role until ctx ends, then releases it.
func (c *Candidate) Run(ctx context.Context) error {
	for {
		c.step(ctx)
		select {
		case <-ctx.Done():
			c.release(context.WithoutCancel(ctx))
			return nil
		case <-c.clock.After(c.cfg.TTL / renewalsPerTTL):
		}
	}
}

// Token returns the current token, and whether this host may act for the role now.
func (c *Candidate) Token() (Token, bool) {
	t := c.validTerm()
	if t == nil {
		return Token{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.token, true
}

// Guard runs fn if the role is held. If the lease lapses while fn runs, it returns
// ErrLeaseLapsed joined with fn's error. The context of fn is cancelled when the token
// lapses or the candidate detects the loss of the role. fn must pass the fencing token on to
// resources that check it. Before acting on other resources, the caller must wait,
// counted from Token().AcquiredAt, until orders of an earlier holder can no longer
// arrive.
func (c *Candidate) Guard(ctx context.Context, fn func(ctx context.Context, fencing int64) error) error {
	t := c.beginAction()
	if t == nil {
		return ErrNotHeld
	}
	defer t.actions.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	go c.cancelWhenLapsed(ctx, t, cancel)
	err := fn(ctx, t.token.Fencing)
	if c.validTerm() != t {
		return errors.Join(ErrLeaseLapsed, err)
	}
	return err
}

// cancelWhenLapsed cancels an action of a term once its token lapses without a renewal. It
// returns when ctx ends.
func (c *Candidate) cancelWhenLapsed(ctx context.Context, t *term, cancel context.CancelFunc) {
	for left := c.validFor(t); left > 0; left = c.validFor(t) {
		select {
		case <-c.clock.After(left):
		case <-ctx.Done():
			return
		}
	}
	cancel()
}

// validFor returns the time until the token of a term lapses.
func (c *Candidate) validFor(t *term) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock.Until(t.token.ValidUntil)
}

// beginAction registers an action with the valid term and returns the term, or nil
// if there is none.
func (c *Candidate) beginAction() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.validTermLocked()
	if t != nil {
		t.actions.Add(1)
	}
	return t
}

func (c *Candidate) validTerm() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validTermLocked()
}

func (c *Candidate) validTermLocked() *term {
	if c.term == nil || !c.clock.Now().Before(c.term.token.ValidUntil) {
		return nil
	}
	return c.term
}

// nonce returns a random id by which a candidate recognizes its own write.
func (c *Candidate) nonce() string {
	return fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64())
}
