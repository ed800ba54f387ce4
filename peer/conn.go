package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxSilentCalls is the number of calls in a row that may time out, without a
// frame received meanwhile, before the connection is closed.
const maxSilentCalls = 2

// clientConn is one authenticated connection.
type clientConn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	silent atomic.Int32

	// The pool's lock guards the fields below.
	calls    int
	lastUsed time.Time
}

func (c *clientConn) isClosed() bool {
	select {
	case <-c.rpc.DisconnectNotify():
		return true
	default:
		return false
	}
}

type outcome struct {
	result json.RawMessage
	err    error
}

// call sends one call and waits for its answer. It runs jsonrpc2 on a
// goroutine because a write to a connection that is not read blocks there.
func (c *clientConn) call(ctx context.Context, method string, params json.RawMessage, result any) error {
	before := c.stream.received.Load()
	done := make(chan outcome, 1)
	go func() { done <- c.exchange(ctx, method, params) }()
	var out outcome
	select {
	case out = <-done:
	case <-ctx.Done():
		out.err = errors.Mark(errors.Wrap(ctx.Err(), "no answer"), ErrNoReply)
	}
	c.noteSilence(ctx, before, out.err)
	if out.err != nil {
		return out.err
	}
	if result == nil || len(out.result) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(out.result, result), "decode answer")
}

func (c *clientConn) exchange(ctx context.Context, method string, params json.RawMessage) (out outcome) {
	waiter, err := c.rpc.DispatchCall(ctx, method, &params)
	if errors.Is(err, ErrTooLarge) {
		return outcome{err: err}
	}
	if err != nil {
		return outcome{err: errors.Mark(errors.Wrap(err, "send"), ErrUnreachable)}
	}
	err = waiter.Wait(ctx, &out.result)
	var answer *jsonrpc2.Error
	switch {
	case err == nil:
	case errors.As(err, &answer) && answer.Code == CodeOverloaded:
		out.err = errors.Mark(errors.Wrap(ErrOverloaded, "remote"), ErrUnreachable)
	case errors.As(err, &answer):
		out.err = &RemoteError{Code: answer.Code, Message: answer.Message}
	default:
		out.err = errors.Mark(errors.Wrap(err, "wait for answer"), ErrNoReply)
	}
	return out
}

// noteSilence closes a connection on which calls in a row got no answer while
// nothing else arrived. A slow handler on a connection with other answers
// does not count.
func (c *clientConn) noteSilence(ctx context.Context, before uint64, err error) {
	if c.stream.received.Load() != before {
		c.silent.Store(0)
		return
	}
	if !errors.Is(err, ErrNoReply) || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	if c.silent.Add(1) >= maxSilentCalls {
		_ = c.rpc.Close()
	}
}
