package upstream

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/finalresponse"
	"github.com/corianderlever/corianderlever/internal/sockstate"
)

// Response is an HTTP response. The caller reads its body with Read.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the response does not state it.
	ContentLength int64

	body     io.ReadCloser
	resp     *http.Response
	exchange *exchange
	// bodyStart is the number of bytes used on the connection before the body, content the
	// number of bytes of the body that have been read.
	bodyStart, content int64
	complete           bool
	closed             bool
}

// Reused reports whether the connection had carried another request before.
func (a *Response) Reused() bool { return a.exchange.reused }

// EndsWithConnection reports whether the response states neither a length nor chunks, so
// that its body cannot be told from one that was cut off between two parts.
func (a *Response) EndsWithConnection() bool {
	return finalresponse.EndsWithConnection(a.resp)
}

// Read reads the body. It returns io.EOF only after the complete body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	a.content += int64(n)
	if errors.Is(err, io.EOF) {
		if err := a.checkEnd(); err != nil {
			return n, a.exchange.guard.explain(err)
		}
		a.complete = true
	} else if err == nil && a.framing() > maxFramingBytes+a.content {
		err = errFraming
	}
	return n, a.exchange.guard.explain(err)
}

// checkEnd returns an error if the body ends with its connection and the end may be that of a
// broken connection. A reset is reported once, either to Read or to the concurrent write of the
// request, and looks like an orderly end to the other one. So the result of the write decides.
// It is awaited, until the context of the request ends, and so is the acknowledgement of what
// was written: an endpoint that has closed its connection in the middle of the upload may have
// crashed. One that answers early, ends its answer and reads on is complete once it has received
// the request.
func (a *Response) checkEnd() error {
	if !a.EndsWithConnection() || a.body == http.NoBody {
		return nil
	}
	e := a.exchange
	<-e.sent
	err := e.sendErr
	if raw, ok := sockstate.TCP(e.conn.Conn); ok && err == nil {
		err = sockstate.AwaitDelivery(raw, e.client.opts.Clock)
	}
	return errors.Wrap(err, "upstream: response ends with its connection, and the request was not sent in full")
}

// BytesRead returns the number of bytes of the body that have been read.
func (a *Response) BytesRead() int64 { return a.content }

// framing returns the number of bytes received for the body that are not its content.
func (a *Response) framing() int64 { return a.exchange.conn.consumed() - a.bodyStart - a.content }

// Close returns the connection to the pool if the body was read to its end, and
// closes it otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	e := a.exchange
	restoreErr := e.guard.stop()
	if !a.complete || a.resp.Close || restoreErr != nil || !e.fullySent() || !e.stopCancel() {
		e.abort()
		return
	}
	e.client.pool.put(e.addr, e.conn, keepAliveTimeout(a.Header))
}
