package peer

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// maxSilentCalls is the number of consecutive calls that time out, without any
// frame received meanwhile, after which the connection is closed.
const maxSilentCalls = 2

// clientConn is one authenticated connection of a client.
type clientConn struct {
	rpc         *jsonrpc2.Conn
	stream      *stream
	silentCalls atomic.Int32

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

// callResult is the result or the error of one call.
type callResult struct {
	result json.RawMessage
	err    error
}

// call sends one call and waits for its reply. It runs jsonrpc2 in a separate
// goroutine, because jsonrpc2 blocks while the peer does not read.
func (c *clientConn) call(ctx context.Context, method string, params json.RawMessage, result any) error {
	receivedBefore := c.stream.received.Load()
	done := make(chan callResult, 1)
	go func() { done <- c.exchange(ctx, method, params) }()
	var res callResult
	select {
	case res = <-done:
	case <-ctx.Done():
		res.err = errors.Mark(errors.Wrap(ctx.Err(), "no reply"), ErrNoReply)
	}
	c.trackTimeout(ctx, receivedBefore, res.err)
	if res.err != nil {
		return res.err
	}
	if result == nil || len(res.result) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(res.result, result), "decode reply")
}

func (c *clientConn) exchange(ctx context.Context, method string, params json.RawMessage) (out callResult) {
	waiter, err := c.rpc.DispatchCall(ctx, method, &params)
	if errors.Is(err, ErrTooLarge) {
		return callResult{err: err}
	}
	if err != nil {
		return callResult{err: errors.Mark(errors.Wrap(err, "send"), ErrUnreachable)}
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
		out.err = errors.Mark(errors.Wrap(err, "wait for reply"), ErrNoReply)
	}
	return out
}

// trackTimeout closes the connection after maxSilentCalls consecutive calls
// timed out while no frame arrived. A timeout does not count if other replies
// arrive meanwhile, since then only the handler is slow.
func (c *clientConn) trackTimeout(ctx context.Context, before uint64, err error) {
	if c.stream.received.Load() != before {
		c.silentCalls.Store(0)
		return
	}
	if !errors.Is(err, ErrNoReply) || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return
	}
	if c.silentCalls.Add(1) >= maxSilentCalls {
		_ = c.rpc.Close()
	}
}
