package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ClientOptions configure a Client. Only Key is required.
type ClientOptions struct {
	// Key is the shared cluster key, at least 16 bytes.
	Key []byte
	// Self is the name of this host, which handlers receive as from.
	Self string
	// TLS, if set, is used for all connections. Its ServerName must be set,
	// because hosts are addressed by IP address.
	TLS *tls.Config
	// Dial opens a connection; it defaults to TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Logger defaults to slog.Default.
	Logger *slog.Logger
	// CallTimeout bounds each call; the caller's context may end it earlier.
	CallTimeout time.Duration
	// DialTimeout bounds connection set-up and handshake.
	DialTimeout time.Duration
	// MaxMessageBytes bounds one message in either direction.
	MaxMessageBytes int
	// MaxInFlight bounds the calls in flight to one peer.
	MaxInFlight int
	// ConnsPerPeer bounds the connections to one peer.
	ConnsPerPeer int
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Client calls other hosts over pooled connections. It is safe for
// concurrent use.
type Client struct {
	opts ClientOptions

	mu        sync.Mutex
	pools     map[string]*pool
	lastSweep time.Time
	closed    bool
}

var _ Caller = (*Client)(nil)

// NewClient returns a client without connections.
func NewClient(opts ClientOptions) (*Client, error) {
	if err := checkKey(opts.Key); err != nil {
		return nil, err
	}
	if len(opts.Self) > maxNameBytes {
		return nil, errors.Wrapf(ErrOptions, "name of %d bytes", len(opts.Self))
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Dial == nil {
		opts.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "tcp", addr)
		}
	}
	orDefault(&opts.Logger, slog.Default())
	orDefault(&opts.CallTimeout, DefaultCallTimeout)
	orDefault(&opts.DialTimeout, DefaultDialTimeout)
	orDefault(&opts.MaxMessageBytes, DefaultMaxMessageBytes)
	orDefault(&opts.MaxInFlight, DefaultMaxInFlight)
	orDefault(&opts.ConnsPerPeer, DefaultConnsPerPeer)
	orDefault(&opts.IdleTimeout, DefaultIdleTimeout)
	return &Client{opts: opts, pools: make(map[string]*pool), lastSweep: opts.Clock.Now()}, nil
}

// Call implements Caller.
func (c *Client) Call(ctx context.Context, addr string, method string, params, result any) error {
	raw, err := json.Marshal(params)
	if err != nil {
		return errors.Wrapf(err, "peer: encode params of %s", method)
	}
	if len(raw) > c.opts.MaxMessageBytes {
		return errors.Wrapf(ErrTooLarge, "params of %s have %d bytes", method, len(raw))
	}
	ctx, cancel := clockwork.WithTimeout(ctx, c.opts.Clock, c.opts.CallTimeout)
	defer cancel()
	p, err := c.acquire(addr)
	if err != nil {
		return errors.Wrapf(err, "%s at %s", method, addr)
	}
	defer c.release(p)
	err = p.call(ctx, method, raw, result)
	return errors.Wrapf(err, "%s at %s", method, addr)
}

// acquire returns the pool of addr and counts a call in flight on it.
func (c *Client) acquire(addr string) (*pool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.Mark(ErrClosed, ErrUnreachable)
	}
	c.sweep()
	p, ok := c.pools[addr]
	if !ok {
		p = newPool(c, addr)
		c.pools[addr] = p
	}
	if p.inFlight >= c.opts.MaxInFlight {
		return nil, errors.Mark(ErrOverloaded, ErrUnreachable)
	}
	p.inFlight++
	return p, nil
}

func (c *Client) release(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.inFlight--
}

// sweepsPerIdleTimeout is the number of sweeps per IdleTimeout. It bounds how
// much later than IdleTimeout an idle connection is closed.
const sweepsPerIdleTimeout = 4

// sweep closes idle connections and removes empty pools.
func (c *Client) sweep() {
	now := c.opts.Clock.Now()
	if now.Sub(c.lastSweep) < c.opts.IdleTimeout/sweepsPerIdleTimeout {
		return
	}
	c.lastSweep = now
	for addr, p := range c.pools {
		if p.closeIdle(now.Add(-c.opts.IdleTimeout)) && p.inFlight == 0 {
			delete(c.pools, addr)
		}
	}
}

// Close closes all connections. Calls in flight return ErrNoReply.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	pools := c.pools
	c.pools = nil
	c.mu.Unlock()
	for _, p := range pools {
		p.close()
	}
	return nil
}
