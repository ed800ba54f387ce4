// Package lease holds a named role for at most one host at a time. The holder
// keeps the store key role/<name> under a platform lease and stops acting on
// its own clock before the store can give the role to another host.
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
	// ErrNotHeld reports that this host does not hold the role; nothing ran.
	ErrNotHeld = errors.New("lease: role not held")
	// ErrLeaseLapsed reports that the lease lapsed while the action ran, so
	// the action may have overlapped with another holder.
	ErrLeaseLapsed = errors.New("lease: lapsed during the action")
)

// Defaults of Config.
const (
	DefaultTTL = 10 * time.Second
	// DefaultMargin covers a clock that runs up to a fifth slower than the store's.
	DefaultMargin = 2 * time.Second
)

// renewalsPerTTL leaves room for two failed renewals in one lease time.
const renewalsPerTTL = 4

// Config describes one candidate for a role.
type Config struct {
	// Role names the role; its store key is role/<Role>.
	Role string
	// Host names this candidate in the stored value.
	Host string
	// TTL is the lease time; zero means DefaultTTL.
	TTL time.Duration
	// Margin is the lease time that must be left for the holder to act; zero
	// means DefaultMargin.
	Margin time.Duration
	// Logger receives one line for each change of state; nil means slog.Default.
	Logger *slog.Logger
}

// Token is the right to act for the role.
type Token struct {
	// Fencing is the store revision of the write that took the role. It rises
	// with every change of holder.
	Fencing int64
	// AcquiredAt is the local time at which the role was acquired. A holder that
	// sends orders to endpoints without fencing measures its wait from here.
	AcquiredAt time.Time
	// ValidUntil is the time on the own clock at which the holder stops acting.
	ValidUntil time.Time
}

// Candidate acquires and renews one role. It is safe for concurrent use.
type Candidate struct {
	store kv.KV
	clock clockwork.Clock
	cfg   Config
	log   *slog.Logger

	// stepping serialises the store calls of step and release.
	stepping sync.Mutex
	rng      *rand.Rand
	attempt  *attempt

	mu   sync.Mutex
	term *term
}

// term is one uninterrupted time as holder.
type term struct {
	token   Token
	lease   kv.LeaseID
	ctx     context.Context
	end     context.CancelFunc
	actions sync.WaitGroup
}

// New returns a holder that does nothing until Run.
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

// Run takes and renews the role until ctx ends, then releases it.
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

// Token returns the current token, and whether the holder may act now.
func (c *Candidate) Token() (Token, bool) {
	t := c.valid()
	if t == nil {
		return Token{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return t.token, true
}

// Guard runs fn if the role is held and returns ErrLeaseLapsed, joined with
// fn's error, if the lease lapsed meanwhile. The context of fn ends when the
// holder learns that it lost the role. Actions on a resource that checks
// fencing pass the number on; for other resources the caller waits from
// Token().AcquiredAt as the design page says.
func (c *Candidate) Guard(ctx context.Context, fn func(ctx context.Context, fencing int64) error) error {
	t := c.enter()
	if t == nil {
		return ErrNotHeld
	}
	defer t.actions.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(t.ctx, cancel)
	defer stop()
	err := fn(ctx, t.token.Fencing)
	if c.valid() != t {
		return errors.Join(ErrLeaseLapsed, err)
	}
	return err
}

// enter returns the valid term with one more action in it.
func (c *Candidate) enter() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.validLocked()
	if t != nil {
		t.actions.Add(1)
	}
	return t
}

func (c *Candidate) valid() *term {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.validLocked()
}

func (c *Candidate) validLocked() *term {
	if c.term == nil || !c.clock.Now().Before(c.term.token.ValidUntil) {
		return nil
	}
	return c.term
}

// nonce returns a random id that marks a write as this holder's own.
func (c *Candidate) nonce() string {
	return fmt.Sprintf("%016x%016x", c.rng.Uint64(), c.rng.Uint64())
}
