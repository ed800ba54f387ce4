package peer

import (
	"encoding/json"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
)

// stream is a jsonrpc2.ObjectStream that sends each message in an authenticated frame.
type stream struct {
	conn   net.Conn
	frames *frames
	clock  clockwork.Clock

	received  atomic.Uint64
	onReceive func()
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, clock clockwork.Clock, maxBytes int, send, receive []byte) *stream {
	return &stream{conn: conn, frames: newFrames(conn, maxBytes, send, receive), clock: clock}
}

// WriteObject implements jsonrpc2.ObjectStream. jsonrpc2 never calls it
// concurrently. It sends the frame in one Write, so an error means that the
// peer cannot have received a complete frame.
func (s *stream) WriteObject(obj any) error {
	payload, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(payload) > s.frames.maxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	frame := s.frames.encode(payload)
	return withTimeout(s.clock, writeTimeout, s.conn, func() error {
		if _, err := s.conn.Write(frame); err != nil {
			// A partial frame leaves the stream unusable.
			_ = s.conn.Close()
			return errors.Wrap(err, "write frame")
		}
		return nil
	})
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	payload, err := s.frames.read()
	if err != nil {
		return err
	}
	s.received.Add(1)
	if s.onReceive != nil {
		s.onReceive()
	}
	return json.Unmarshal(payload, v)
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// idleTimer returns a timer that closes the connection when no frame arrives
// for d.
func (s *stream) idleTimer(d time.Duration) clockwork.Timer {
	timer := s.clock.AfterFunc(d, func() { _ = s.conn.Close() })
	s.onReceive = func() { timer.Reset(d) }
	return timer
}
