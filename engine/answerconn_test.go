package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/earlyanswer"
)

// TestReadAwaitsTheWriteOfTheRequest guards against a reply that is taken as complete before the
// write of its request has reported the reset that only it received.
func TestReadAwaitsTheWriteOfTheRequest(t *testing.T) {
	c := NewClient(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		return earlyanswer.NewLostConn("HTTP/1.1 200 OK\r\n\r\npart"), nil
	}})
	reply, err := c.Call(t.Context(), "h.example:80", "s", "o", "a1", "", make([]byte, 1<<20))
	if err == nil {
		t.Errorf("got reply %q, want an error", reply.Body)
	}
}

// endedConn has ended in an orderly way, and fails writes.
type endedConn struct{ net.Conn }

func (endedConn) Read([]byte) (int, error)  { return 0, io.EOF }
func (endedConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }
func (endedConn) Close() error              { return nil }

// TestEndOfReplyBetweenTwoWrites guards against a reply that is taken as complete because its
// connection ended between two writes of the request, and against a reader that waits for ever
// after the connection was closed at this end.
func TestEndOfReplyBetweenTwoWrites(t *testing.T) {
	for name, tc := range map[string]struct {
		then func(*answerConn)
		want error
	}{
		"write fails":     {func(c *answerConn) { _, _ = c.Write(nil) }, syscall.EPIPE},
		"request written": {func(c *answerConn) { c.endWrite(nil) }, io.EOF},
		"closed":          {func(c *answerConn) { _ = c.Close() }, net.ErrClosed},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newAnswerConn(endedConn{}, false)
			c.beginWrite() // of the request
			if _, err := c.Read(nil); !errors.Is(err, io.EOF) {
				t.Errorf("%s: error %v before the body, want io.EOF at once", name, err)
			}
			c.setEndsReply()
			result := make(chan error, 1)
			go func() {
				_, err := c.Read(nil)
				result <- err
			}()
			synctest.Wait()
			select {
			case err := <-result:
				t.Fatalf("%s: read returned %v before the request was written", name, err)
			default:
			}
			tc.then(c)
			if err := <-result; !errors.Is(err, tc.want) {
				t.Errorf("%s: error %v, want %v", name, err, tc.want)
			}
		})
	}
}
