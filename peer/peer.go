// Package peer carries authenticated jsonrpc2 calls between entry hosts over TCP.
//
// Both ends prove knowledge of the shared cluster key before the first call,
// and every message carries a code derived from that proof. A party without
// the key can therefore neither start a call nor alter one.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors that calls return, wrapped or not.
var (
	// ErrUnreachable reports that the call was certainly not delivered.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrNoReply reports that the call may have been delivered and run.
	ErrNoReply = errors.New("peer: no reply")
	// ErrOverloaded reports that the call was refused because too many are in
	// flight. The call was not run; the error is also an ErrUnreachable.
	ErrOverloaded = errors.New("peer: too many calls in flight")
	// ErrTooLarge reports a message over the size bound.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrAuthentication reports an end that does not know the cluster key.
	ErrAuthentication = errors.New("peer: authentication failed")
	// ErrClosed reports a client that has been closed.
	ErrClosed = errors.New("peer: client closed")
	// ErrOptions reports unusable options.
	ErrOptions = errors.New("peer: invalid options")
)

// Error codes of answers, from the range that JSON-RPC leaves to applications.
const (
	// CodeHandler is the code of a handler's error without a code of its own.
	CodeHandler = -32000
	// CodeOverloaded says that the call was not run.
	CodeOverloaded = -32001
	// CodeTooLarge says that the call ran but its answer exceeds the size bound.
	CodeTooLarge = -32002
	// CodeMethodNotFound says that no handler is registered for the method.
	CodeMethodNotFound = -32601
)

// RemoteError is an error returned by the remote handler. A handler may
// return one to choose the code.
type RemoteError struct {
	// Code is a JSON-RPC error code.
	Code int64
	// Message is the text of the remote error.
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer: remote error %d: %s", e.Code, e.Message)
}

// Handler answers one method. from is the name that the caller gave in the
// authenticated handshake.
type Handler func(ctx context.Context, from string, params json.RawMessage) (any, error)

// Caller makes calls to other hosts.
type Caller interface {
	// Call sends params to the method at addr (IP:port) and decodes the answer
	// into result, which may be nil.
	Call(ctx context.Context, addr string, method string, params, result any) error
}

// Defaults of the options.
const (
	// DefaultMaxMessageBytes has room for the largest store value (1 MiB) in
	// base64 with its envelope.
	DefaultMaxMessageBytes = 4 << 20
	// DefaultCallTimeout bounds one call, connection set-up included.
	DefaultCallTimeout = 3 * time.Second
	// DefaultDialTimeout bounds connection set-up and handshake.
	DefaultDialTimeout = time.Second
	// DefaultConnsPerPeer lets a small call pass a large one.
	DefaultConnsPerPeer = 2
	// DefaultMaxInFlight bounds the unanswered calls to one peer.
	DefaultMaxInFlight = 256
	// DefaultIdleTimeout ends unused client connections.
	DefaultIdleTimeout = time.Minute
	// DefaultServerIdleTimeout is longer than the client's, so that usually
	// the client closes and no call meets a connection that is being closed.
	DefaultServerIdleTimeout = 3 * time.Minute
	// DefaultMaxServing bounds the calls that a server runs at once.
	DefaultMaxServing = 1024
	// DefaultMaxConns bounds the connections that a server holds.
	DefaultMaxConns = 4096
)

// minKeyBytes is the shortest accepted cluster key. Shorter keys can be
// guessed offline from one recorded handshake.
const minKeyBytes = 16

// writeTimeout bounds the sending of one message, so that a connection whose
// other end stopped reading does not hold its sender.
const writeTimeout = 3 * time.Second

func checkKey(key []byte) error {
	if len(key) < minKeyBytes {
		return errors.Wrapf(ErrOptions, "cluster key has %d bytes, want at least %d", len(key), minKeyBytes)
	}
	return nil
}

func orDefault[T comparable](v *T, def T) {
	var zero T
	if *v == zero {
		*v = def
	}
}
