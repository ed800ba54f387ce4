// Package forward passes requests from one host to another that serves them in its
// place, over HTTP on connections that the cluster key authenticates.
package forward

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/upstream"
)

// ErrMalformed reports a forwarded request that cannot be decoded.
var ErrMalformed = errors.New("forward: malformed request")

const (
	// path is the path of forwarded requests.
	path = "/forward"
	// headerMessageBytes is the header with the length of the message that precedes
	// the body of the request.
	headerMessageBytes = "Message-Bytes"
	// dialTimeout bounds the set-up of a connection to another host.
	dialTimeout = 400 * time.Millisecond
	// receiptTimeout is the time in which a host confirms that it has received a
	// request. A host that is frozen does not.
	receiptTimeout = time.Second
	// idleTimeout is the time for which an unused connection is kept.
	idleTimeout = 10 * time.Second
	// userTimeout ends connections on which sent data stays unacknowledged.
	userTimeout = 3 * time.Second
)

// ClientOptions configure a Client. Key and Self are required.
type ClientOptions struct {
	// Key is the shared cluster key, and Self the name of this host.
	Key  []byte
	Self string
	// Dial opens connections, on which the client authenticates itself; it defaults to TCP with
	// probes.
	Dial  upstream.DialFunc
	Clock clockwork.Clock
}

// Client sends requests to other hosts.
type Client struct {
	http *upstream.Client
}

// NewClient returns a client without connections.
func NewClient(opts ClientOptions) *Client {
	if opts.Dial == nil {
		opts.Dial = upstream.TCPDialer(net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}, userTimeout)
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := opts.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return peer.SecureClient(ctx, raw, opts.Key, opts.Self)
	}
	return &Client{http: upstream.NewClient(upstream.Options{
		DialTimeout: dialTimeout, IdleTimeout: idleTimeout, Dial: dial, Clock: opts.Clock,
	})}
}

// Do sends a message and the body of a request to the host at an address, and returns
// its answer with an unread body. Errors are those of upstream.Client.
func (c *Client) Do(ctx context.Context, address string, message any, body []byte) (*upstream.Response, error) {
	encoded, err := json.Marshal(message)
	if err != nil {
		return nil, &upstream.Error{Cause: errors.Mark(err, upstream.ErrSend)}
	}
	return c.http.Do(ctx, address, &upstream.Request{
		Method: http.MethodPost, Target: path, Host: address,
		Header:           http.Header{headerMessageBytes: {strconv.Itoa(len(encoded))}},
		Body:             append(encoded, body...),
		FirstByteTimeout: receiptTimeout,
	})
}

// Close closes all idle connections.
func (c *Client) Close() { c.http.Close() }

// Request is a forwarded request as it arrives.
type Request struct {
	// From is the name of the host that forwards the request.
	From string
	// Message is what the host says about it, in JSON.
	Message json.RawMessage
	Body    []byte

	buffer limiter.Buffer
}

// Release returns the memory of the request to its budget.
func (r *Request) Release() { r.buffer.Release() }

type connKey struct{}

// ConnContext adds the connection to the context of its requests. It must be the
// ConnContext of the http.Server.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Read reads a request of at most maxBytes into a budget of memory and confirms its receipt.
// The request must be released, also after an error.
func Read(w http.ResponseWriter, r *http.Request, buffers *limiter.ByteBudget, maxBytes int64) (Request, error) {
	conn, ok := r.Context().Value(connKey{}).(*peer.SecureConn)
	if !ok || r.URL.Path != path {
		return Request{}, errors.Wrapf(ErrMalformed, "path %q", r.URL.Path)
	}
	w.WriteHeader(http.StatusProcessing)
	buffer, err := buffers.Read(http.MaxBytesReader(w, r.Body, maxBytes), maxBytes, r.ContentLength)
	req := Request{From: conn.From(), buffer: buffer}
	if err != nil {
		return req, errors.Wrap(err, "forward: read request")
	}
	n, err := strconv.Atoi(r.Header.Get(headerMessageBytes))
	if err != nil || n < 0 || n > len(buffer.Data) {
		return req, errors.Wrapf(ErrMalformed, "message of %q bytes", r.Header.Get(headerMessageBytes))
	}
	req.Message, req.Body = buffer.Data[:n], buffer.Data[n:]
	return req, nil
}

// Listener returns a listener for an http.Server that takes only hosts with the key.
func Listener(ln net.Listener, key []byte) net.Listener {
	return &peer.SecureListener{Listener: ln, Key: key}
}
