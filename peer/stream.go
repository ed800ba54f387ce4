package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"hash"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	frameHeaderBytes = 4
	// frameMACBytes is the length of the truncated HMAC. 128 bits cannot be
	// guessed within a connection, which ends at the first wrong one.
	frameMACBytes = 16
)

// stream is a jsonrpc2.ObjectStream of frames. A frame consists of a length, a
// JSON message, and an HMAC of the frame's sequence number and the message. The
// sequence number detects replayed, dropped and reordered frames.
type stream struct {
	conn     net.Conn
	r        *bufio.Reader
	clock    clockwork.Clock
	maxBytes int

	sendMAC, receiveMAC hash.Hash
	sendSeq, receiveSeq uint64
	received            atomic.Uint64
	onReceive           func()
}

var _ jsonrpc2.ObjectStream = (*stream)(nil)

func newStream(conn net.Conn, clock clockwork.Clock, maxBytes int, send, receive []byte) *stream {
	return &stream{
		conn:       conn,
		r:          bufio.NewReader(conn),
		clock:      clock,
		maxBytes:   maxBytes,
		sendMAC:    hmac.New(sha256.New, send),
		receiveMAC: hmac.New(sha256.New, receive),
	}
}

func frameMAC(mac hash.Hash, seq uint64, payload []byte) []byte {
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], seq)
	mac.Reset()
	mac.Write(number[:])
	mac.Write(payload)
	return mac.Sum(nil)[:frameMACBytes]
}

// WriteObject implements jsonrpc2.ObjectStream. jsonrpc2 never calls it
// concurrently. It sends the frame in one Write, so an error means that the
// peer cannot have received a complete frame.
func (s *stream) WriteObject(obj any) error {
	payload, err := json.Marshal(obj)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(payload) > s.maxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes", len(payload))
	}
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload)+frameMACBytes)
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame = append(frame, payload...)
	frame = append(frame, frameMAC(s.sendMAC, s.sendSeq, payload)...)
	s.sendSeq++
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
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(s.r, header[:]); err != nil {
		return err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > s.maxBytes {
		return errors.Wrapf(ErrTooLarge, "incoming frame of %d bytes", size)
	}
	frame := make([]byte, size+frameMACBytes)
	if _, err := io.ReadFull(s.r, frame); err != nil {
		return err
	}
	payload, code := frame[:size], frame[size:]
	if !hmac.Equal(code, frameMAC(s.receiveMAC, s.receiveSeq, payload)) {
		return errors.Wrap(ErrAuthentication, "frame HMAC")
	}
	s.receiveSeq++
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
