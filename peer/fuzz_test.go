package peer

import (
	"bytes"
	"io"
	"net"
	"slices"
	"testing"

	"github.com/jonboulle/clockwork"
)

// byteConn is a connection that delivers the bytes of in and records the bytes
// sent in out.
type byteConn struct {
	net.Conn
	in  io.Reader
	out bytes.Buffer
}

func (c *byteConn) Read(p []byte) (int, error)  { return c.in.Read(p) }
func (c *byteConn) Write(p []byte) (int, error) { return c.out.Write(p) }
func (c *byteConn) Close() error                { return nil }

// fuzzFrameBytes is the size limit of frames in fuzz tests.
const fuzzFrameBytes = 1 << 10

// Guards against accepting a frame that was not sent or was altered, duplicated
// or reordered, and against reading a frame above the size limit.
func FuzzReadFrames(f *testing.F) {
	key := []byte("0123456789abcdef0123456789abcdef")
	sent := []string{"first", "second", "third"}
	conn := &byteConn{}
	out := newStream(conn, clockwork.NewRealClock(), fuzzFrameBytes, key, key)
	var frames [][]byte
	for _, text := range sent {
		if err := out.WriteObject(text); err != nil {
			f.Fatal(err)
		}
		frames = append(frames, bytes.Clone(conn.out.Bytes()))
		conn.out.Reset()
	}
	f.Add(slices.Concat(frames...))
	f.Add(slices.Concat(frames[0], frames[0]))
	f.Add(slices.Concat(frames[1], frames[0]))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, data []byte) {
		in := newStream(&byteConn{in: bytes.NewReader(data)}, clockwork.NewRealClock(), fuzzFrameBytes, key, key)
		rest := data
		for i := 0; ; i++ {
			var got string
			if err := in.ReadObject(&got); err != nil {
				return
			}
			if i >= len(sent) || got != sent[i] || !bytes.HasPrefix(rest, frames[i]) {
				t.Fatalf("frame %d was accepted as %q", i, got)
			}
			rest = rest[len(frames[i]):]
		}
	})
}

// Guards against a host without the cluster key passing the handshake, and
// against panics on malformed handshakes.
func FuzzServerHandshake(f *testing.F) {
	hello := append([]byte(handshakeMagic), make([]byte, nonceBytes)...)
	f.Add(append(append(hello, 1, 'a'), make([]byte, 32)...))
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		from, send, receive, err := serverHandshake(&byteConn{in: bytes.NewReader(data)}, []byte("0123456789abcdef"))
		if err == nil || from != "" || send != nil || receive != nil {
			t.Errorf("handshake without the key was accepted from host %q", from)
		}
	})
}
