// Package peer provides authenticated JSON-RPC 2.0 calls between entry hosts
// over TCP.
//
// Both ends prove knowledge of the shared cluster key before the first call,
// and every message carries an authentication code under a key derived from
// that handshake. A party without the cluster key can neither make a call nor
// alter one.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that calls and constructors return, possibly wrapped.
var (
	// ErrUnreachable reports that the call was not delivered.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoReply reports that no reply arrived; the call may have run.
	ErrNoReply = errors.New("peer: no reply")
	// ErrOverloaded reports that the call was rejected because too many are in
	// flight. The call did not run; the error is also an ErrUnreachable.
	ErrOverloaded = errors.New("peer: too many calls in flight")
	// ErrTooLarge reports a message that exceeds the size limit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrAuthentication reports a peer that does not know the cluster key, or a
	// message that was altered.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrClosed reports a client that has been closed.
	ErrClosed = errors.New("peer: client closed")
	// ErrOptions reports invalid options.
	ErrOptions = errors.New("peer: invalid options")
)

// Error codes of replies. All but CodeMethodNotFound are from the range that
// JSON-RPC leaves to applications.
const (
	// CodeHandler is the code of a handler's error that is not a RemoteError.
	CodeHandler = -32000
	// CodeOverloaded means that the call was rejected and did not run.
	CodeOverloaded = -32001
	// CodeTooLarge means that the call ran but its reply exceeds the size limit.
	CodeTooLarge = -32002
	// CodeMethodNotFound means that no handler is registered for the method.
	CodeMethodNotFound = -32601
)

// RemoteError is an error returned by the remote handler. A handler may
// return one to choose the code.
type RemoteError struct {
	// Code is a JSON-RPC error code.
	Code int64
	// Message describes the error.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: remote error %d: %s", e.Code, e.Message)
}

// Handler runs the calls of one method. from is the name that the caller gave
// in the authenticated handshake.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Caller makes calls to other hosts.
type Caller interface {
	// Call calls method with params on the host at addr (IP:port) and decodes the
	// reply into result, which may be nil.
	Call(ctx context.Context, addr string, method string, params, result any) error
}

// Defaults of the options.
const (
	// DefaultMaxMessageBytes has room for the largest value of the store (1 MiB)
	// in base64 with its envelope.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultCallTimeout bounds one call, including connection set-up.
	DefaultCallTimeout = 3 * time.Second
	// DefaultDialTimeout bounds connection set-up and handshake.
	DefaultDialTimeout = time.Second
	// DefaultConnsPerPeer avoids head-of-line blocking of a small call behind a
	// large one.
	DefaultConnsPerPeer = 2
	// DefaultMaxInFlight bounds the calls in flight to one peer.
	DefaultMaxInFlight = 256
	// DefaultIdleTimeout is the time after which a client closes an idle connection.
	DefaultIdleTimeout = time.Minute
	// DefaultServerIdleTimeout is longer than DefaultIdleTimeout, so that usually
	// the client closes idle connections and no call is sent on a connection that
	// the server is closing.
	DefaultServerIdleTimeout = 3 * time.Minute
	// DefaultMaxServing bounds the calls that a server runs concurrently.
	DefaultMaxServing = 1024
	// DefaultMaxConns bounds the open connections of a server.
	DefaultMaxConns = 4096
)

// minKeyBytes is the shortest accepted cluster key. Shorter keys can be
// guessed offline from one recorded handshake.
const minKeyBytes = 16

// writeTimeout bounds the write of one message, so that a peer that has stopped
// reading does not block the sender.
const writeTimeout = 3 * time.Second

func checkKey(key []byte) error {
	if len(key) < minKeyBytes {
		return errors.Wrapf(ErrOptions, "cluster key has %d bytes, want at least %d", len(key), minKeyBytes)
	}
	return nil
}

// orDefault sets *v to def if it has the zero value.
func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
