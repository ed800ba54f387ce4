// Package upstream sends HTTP/1.1 requests to endpoints over pooled connections.
// It never retries a request, and it reports whether a failed request may have
// reached the endpoint.
package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// Do returns every failure as an *Error that wraps one of these errors.
var (
	// ErrDial reports that no connection could be opened.
	ErrDial = errors.New("upstream: connection not opened")
	// ErrSend reports that the request could not be written.
	ErrSend = errors.New("upstream: request not sent")
	// ErrConnectionLost reports a connection that closed before a response began.
	ErrConnectionLost = errors.New("upstream: connection lost before the response")
	// ErrMalformed reports data that is not a valid HTTP response.
	ErrMalformed = errors.New("upstream: malformed response")
)

// Error describes a failed request.
type Error struct {
	// Cause wraps one of the package's errors.
	Cause error
	// MaybeSent is true if the endpoint may have received the request.
	MaybeSent bool
	// Reused is true if the connection had carried another request before.
	Reused bool
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%v (may have been sent %t, reused connection %t)", e.Cause, e.MaybeSent, e.Reused)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Request is one request to an endpoint.
type Request struct {
	Method string
	// Target is the request target exactly as the caller sent it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// FirstByteTimeout bounds the wait for the first byte of any response, interim ones
	// included; zero for no bound but that of the context.
	FirstByteTimeout time.Duration
	// Match reports whether a response with this header belongs to the request. Nil
	// takes every response.
	Match func(http.Header) Match
}

// Match is the result of comparing a response with a request.
type Match int

// The results of a comparison.
const (
	// MatchOwn responses belong to the request.
	MatchOwn Match = iota
	// MatchOther responses belong to another request. They are discarded, and the next
	// one is read.
	MatchOther
	// MatchUnknown responses do not name their request. They are taken only from a
	// connection that has carried no other request and no response to one.
	MatchUnknown
)

// Options configure a Client.
type Options struct {
	// DialTimeout bounds the time to open a connection.
	DialTimeout time.Duration
	// IdleTimeout bounds the time a connection is kept without a request.
	IdleTimeout time.Duration
	// Keepalive detects connections whose peer disappeared without closing them.
	Keepalive net.KeepAliveConfig
	// UserTimeout ends connections on which sent data stays unacknowledged for
	// this long; zero leaves the system's default. While an endpoint answers before it
	// has received the request, only unanswered probes count.
	UserTimeout time.Duration
	// Dial opens a connection; it defaults to TCP with Keepalive and UserTimeout.
	Dial  DialFunc
	Clock clockwork.Clock
}

// DialFunc opens a connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// DefaultOptions returns options that detect a silent connection within about
// four seconds. The dial timeout is shorter than the time after which a lost packet of
// a new connection is sent again, because another endpoint may answer sooner.
func DefaultOptions() Options {
	return Options{
		DialTimeout: 300 * time.Millisecond,
		IdleTimeout: 8 * time.Second,
		Keepalive:   net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3},
		UserTimeout: 3 * time.Second,
		Clock:       clockwork.NewRealClock(),
	}
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	opts Options
	pool pool
}

// TCPDialer returns a DialFunc that opens TCP connections. A timeout of zero leaves the
// system's default.
func TCPDialer(keepalive net.KeepAliveConfig, timeout time.Duration) DialFunc {
	dialer := net.Dialer{KeepAliveConfig: keepalive, Control: userTimeout(timeout)}
	return dialer.DialContext
}

// NewClient returns a client without connections.
func NewClient(opts Options) *Client {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Dial == nil {
		opts.Dial = TCPDialer(opts.Keepalive, opts.UserTimeout)
	}
	return &Client{opts: opts, pool: pool{clock: opts.Clock, idleTimeout: opts.IdleTimeout, idle: make(map[string][]*conn)}}
}

// Do sends the request to addr and returns its response with an unread body.
// The caller must close the response. When ctx ends, the connection is closed.
func (c *Client) Do(ctx context.Context, addr string, req *Request) (*Response, error) {
	httpReq, err := httpRequest(req)
	if err != nil {
		return nil, &Error{Cause: errors.Mark(err, ErrSend)}
	}
	cn, err := c.connect(ctx, addr)
	if err != nil {
		return nil, &Error{Cause: errors.Mark(err, ErrDial)}
	}
	e := &exchange{client: c, conn: cn, addr: addr, reused: cn.uses > 0}
	cn.uses++
	e.stopCancel = context.AfterFunc(ctx, func() { _ = cn.Close() })
	return e.run(req, httpReq)
}

// Dial opens a connection, to check that the endpoint accepts connections at addr.
// The connection is kept for the next request.
func (c *Client) Dial(ctx context.Context, addr string) error {
	cn, err := c.dial(ctx, addr)
	if err != nil {
		return errors.Mark(err, ErrDial)
	}
	c.pool.put(addr, cn, 0)
	return nil
}

// HasIdle reports whether there is an idle connection to addr.
func (c *Client) HasIdle(addr string) bool { return c.pool.has(addr) }

// CloseIdle closes the idle connections to addr.
func (c *Client) CloseIdle(addr string) { c.pool.closeIdle(addr) }

// Close closes all idle connections.
func (c *Client) Close() { c.pool.close() }

func (c *Client) connect(ctx context.Context, addr string) (*conn, error) {
	if cn := c.pool.get(addr); cn != nil {
		return cn, nil
	}
	return c.dial(ctx, addr)
}

// dial opens a connection within the dial timeout.
func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	if c.opts.DialTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.opts.DialTimeout)
		defer cancel()
	}
	raw, err := c.opts.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw), nil
}

// httpRequest converts req for net/http, which writes Target unchanged.
func httpRequest(req *Request) (*http.Request, error) {
	if req.Target == "" || req.Target[0] != '/' || len(req.Target) > 1 && req.Target[1] == '/' {
		return nil, errors.Newf("upstream: invalid request target %q", req.Target)
	}
	header := req.Header
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header = header.Clone()
		header["User-Agent"] = []string{""} // stops net/http from adding its own
	}
	out := &http.Request{
		Method: req.Method, URL: &url.URL{Opaque: req.Target}, Host: req.Host,
		Header: header, ContentLength: int64(len(req.Body)), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if len(req.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(req.Body))
	}
	return out, nil
}

// Refused reports whether an error says that the endpoint's host refused a connection.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
