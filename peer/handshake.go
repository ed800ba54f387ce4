package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// Sizes and labels of the handshake. A label binds a proof or key to one
// direction, so that a proof cannot be reflected to its sender.
const (
	handshakeMagic = "clp1"
	nonceBytes     = 32
	maxNameBytes   = 255
	labelServer    = "corianderlever peer 1 server proof"
	labelClient    = "corianderlever peer 1 client proof"
	labelToServer  = "corianderlever peer 1 frames to server"
	labelToClient  = "corianderlever peer 1 frames to client"
)

// proof returns the HMAC of the label and the handshake transcript.
func proof(key []byte, label string, transcript []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte{byte(len(label))})
	mac.Write([]byte(label))
	mac.Write(transcript)
	return mac.Sum(nil)
}

// withTimeout runs f and closes conn if it takes longer than d.
func withTimeout(clock clockwork.Clock, d time.Duration, conn net.Conn, f func() error) error {
	timer := clock.AfterFunc(d, func() { _ = conn.Close() })
	defer timer.Stop()
	return f()
}

// clientHandshake authenticates both ends and returns the keys for sending
// and receiving.
func clientHandshake(conn net.Conn, key []byte, self string) (send, receive []byte, err error) {
	if len(self) > maxNameBytes {
		return nil, nil, errors.Wrapf(ErrOptions, "name of %d bytes", len(self))
	}
	hello := []byte(handshakeMagic)
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, nil, errors.Wrap(err, "generate nonce")
	}
	hello = append(hello, nonce...)
	hello = append(hello, byte(len(self)))
	hello = append(hello, self...)
	if _, err := conn.Write(hello); err != nil {
		return nil, nil, errors.Wrap(err, "send hello")
	}
	answer := make([]byte, nonceBytes+sha256.Size)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return nil, nil, errors.Wrap(err, "read the server's proof")
	}
	transcript := append(hello, answer[:nonceBytes]...)
	if !hmac.Equal(answer[nonceBytes:], proof(key, labelServer, transcript)) {
		return nil, nil, errors.Wrap(ErrAuthentication, "server proof")
	}
	if _, err := conn.Write(proof(key, labelClient, transcript)); err != nil {
		return nil, nil, errors.Wrap(err, "send proof")
	}
	return proof(key, labelToServer, transcript), proof(key, labelToClient, transcript), nil
}

// serverHandshake is the server side of clientHandshake. It reads a bounded
// number of bytes before the client is authenticated.
func serverHandshake(conn net.Conn, key []byte) (from string, send, receive []byte, err error) {
	hello := make([]byte, len(handshakeMagic)+nonceBytes+1)
	if _, err := io.ReadFull(conn, hello); err != nil {
		return "", nil, nil, errors.Wrap(err, "read hello")
	}
	if string(hello[:len(handshakeMagic)]) != handshakeMagic {
		return "", nil, nil, errors.Wrap(ErrAuthentication, "unknown protocol")
	}
	name := make([]byte, hello[len(hello)-1])
	if _, err := io.ReadFull(conn, name); err != nil {
		return "", nil, nil, errors.Wrap(err, "read name")
	}
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return "", nil, nil, errors.Wrap(err, "generate nonce")
	}
	transcript := append(append(hello, name...), nonce...)
	if _, err := conn.Write(append(nonce, proof(key, labelServer, transcript)...)); err != nil {
		return "", nil, nil, errors.Wrap(err, "send proof")
	}
	got := make([]byte, sha256.Size)
	if _, err := io.ReadFull(conn, got); err != nil {
		return "", nil, nil, errors.Wrap(err, "read the client's proof")
	}
	if !hmac.Equal(got, proof(key, labelClient, transcript)) {
		return "", nil, nil, errors.Wrap(ErrAuthentication, "client proof")
	}
	return string(name), proof(key, labelToClient, transcript), proof(key, labelToServer, transcript), nil
}
