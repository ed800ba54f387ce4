package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"io"
	"net"

	"github.com/cockroachdb/errors"
)

const (
	frameHeaderBytes = 4
	// frameMACBytes is the length of the truncated HMAC. 128 bits cannot be
	// guessed within a connection, which ends at the first wrong one.
	frameMACBytes = 16
)

// frames reads and writes authenticated frames on a connection. A frame consists of
// a length, a payload, and an HMAC of the frame's sequence number and the payload.
// The sequence number detects replayed, dropped and reordered frames.
type frames struct {
	conn     net.Conn
	r        *bufio.Reader
	maxBytes int

	sendMAC, receiveMAC hash.Hash
	sendSeq, receiveSeq uint64
}

func newFrames(conn net.Conn, maxBytes int, send, receive []byte) *frames {
	return &frames{
		conn:       conn,
		r:          bufio.NewReader(conn),
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

// encode returns the next frame. Every encoded frame must be written, in order.
func (f *frames) encode(payload []byte) []byte {
	frame := make([]byte, frameHeaderBytes, frameHeaderBytes+len(payload)+frameMACBytes)
	binary.BigEndian.PutUint32(frame, uint32(len(payload)))
	frame = append(frame, payload...)
	frame = append(frame, frameMAC(f.sendMAC, f.sendSeq, payload)...)
	f.sendSeq++
	return frame
}

// read returns the payload of the next frame.
func (f *frames) read() ([]byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(f.r, header[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(header[:]))
	if size > f.maxBytes {
		return nil, errors.Wrapf(ErrTooLarge, "incoming frame of %d bytes", size)
	}
	frame := make([]byte, size+frameMACBytes)
	if _, err := io.ReadFull(f.r, frame); err != nil {
		return nil, err
	}
	payload, code := frame[:size], frame[size:]
	if !hmac.Equal(code, frameMAC(f.receiveMAC, f.receiveSeq, payload)) {
		return nil, errors.Wrap(ErrAuthentication, "frame HMAC")
	}
	f.receiveSeq++
	return payload, nil
}
