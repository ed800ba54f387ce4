package engine

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
)

// endedConn has ended, and fails writes.
type endedConn struct{ net.Conn }

func (endedConn) Read([]byte) (int, error)  { return 0, io.EOF }
func (endedConn) Write([]byte) (int, error) { return 0, syscall.ECONNRESET }
func (endedConn) Close() error              { return nil }

// TestReadAwaitsTheWriteOfTheRequest guards against a reply that is taken as complete before the
// write of its request has reported the reset that only it received, and against a reader that
// waits for ever after the connection was closed at this end.
func TestReadAwaitsTheWriteOfTheRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		then func(*answerConn)
		want error
	}{
		"write fails":     {func(c *answerConn) { _, _ = c.Write(nil) }, syscall.ECONNRESET},
		"request written": {func(c *answerConn) { c.endWrite(nil) }, io.EOF},
		"closed":          {func(c *answerConn) { _ = c.Close() }, net.ErrClosed},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := newAnswerConn(endedConn{}, false)
			c.beginWrite() // of the request
			c.setEndsReply()
			result := make(chan error, 1)
			go func() {
				_, err := c.Read(nil)
				result <- err
			}()
			synctest.Wait()
			if len(result) > 0 {
				t.Errorf("%s: Read has not awaited the write", name)
			}
			tc.then(c)
			if err := <-result; !errors.Is(err, tc.want) {
				t.Errorf("%s: error %v, want %v", name, err, tc.want)
			}
		})
	}
}
