package upstream

import (
	"net"

	"github.com/cockroachdb/errors"
)

// maxHeadBytes bounds the heads of the responses that are read for one request, interim
// responses and those to other requests included. An endpoint in trouble may send
// without end.
const maxHeadBytes = 64 << 10

// maxFramingBytes bounds the bytes of a response's body that are not its content, chunk sizes
// above all, beyond as many as the content itself.
const maxFramingBytes = 64 << 10

// ErrEndless marks the failure of a response that goes on without end and is no answer. The
// endpoint that sends it is in trouble.
var ErrEndless = errors.New("upstream: response without end")

// errHeadTooLarge reports a response head of more than maxHeadBytes.
var errHeadTooLarge = errors.Mark(errors.Newf("upstream: response head over %d bytes", maxHeadBytes), ErrEndless)

// errFraming reports a body with more than maxFramingBytes of framing.
var errFraming = errors.Mark(errors.Newf("upstream: over %d bytes that are not the content of the response", maxFramingBytes), ErrEndless)

// headLimit reads from a connection and bounds the bytes that are read while it is
// started. http.ReadResponse itself has no limit.
type headLimit struct {
	conn net.Conn
	// received counts all bytes read from the connection.
	received int64
	limited  bool
	left     int64 // while limited
}

func (l *headLimit) start(limit int64) { l.limited, l.left = true, limit }
func (l *headLimit) stop()             { l.limited = false }

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if l.limited {
		if l.left <= 0 {
			return 0, errHeadTooLarge
		}
		p = p[:min(int64(len(p)), l.left)]
	}
	n, err := l.conn.Read(p)
	l.received += int64(n)
	l.left -= int64(n)
	return n, err
}
