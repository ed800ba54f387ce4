package engine

import (
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/finalresponse"
)

// errStatus reports a response whose status is none of a final response.
var errStatus = errors.New("status out of range")

// response is a response and the connection on which it came.
type response struct {
	*http.Response
	// reused is set if the connection had carried another request before.
	reused bool
	// conn is nil if the transport has opened the connection in another way.
	conn *answerConn
}

// exchange follows the connections of one request.
type exchange struct {
	connected, reused atomic.Bool
	conn, first       atomic.Pointer[answerConn]
}

// trace returns the hooks that follow a request. The request counts as a write in progress on
// its first connection until net/http has written it, because net/http writes it in several
// parts. WroteRequest does not name its connection, so other connections, after a redirect or a
// retry of the transport, count only their single writes.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.reused.Store(info.Reused)
			conn := answerConnOf(info.Conn)
			e.conn.Store(conn)
			if !e.connected.Swap(true) && conn != nil {
				conn.beginWrite()
				e.first.Store(conn)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if conn := e.first.Swap(nil); conn != nil {
				conn.endWrite(info.Err)
			}
		},
	}
}

// do sends a request. An error has the outcome not_run only if no connection was obtained.
func do(client *http.Client, req *http.Request) (*response, error) {
	var e exchange
	resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), e.trace())))
	switch {
	case err == nil && !finalresponse.Status(resp.StatusCode):
		_ = resp.Body.Close()
		return nil, lost(errors.Wrapf(errStatus, "%03d", resp.StatusCode))
	case err == nil:
		return &response{Response: resp, reused: e.reused.Load(), conn: e.conn.Load()}, nil
	case e.connected.Load():
		return nil, lost(err)
	}
	return nil, notRun(err)
}

// expectOrderlyEnd makes a body that ends with its connection fail unless the connection ends in
// an orderly way. It is called before the body is read as a reply, but not for the text of an
// error, which must not wait for the upload, nor for replies whose content shows its own end.
func (r *response) expectOrderlyEnd() {
	if r.conn != nil && finalresponse.EndsWithConnection(r.Response) {
		r.conn.setEndsReply()
	}
}

// checkAttempt returns an error unless the response belongs to the attempt. An endpoint may
// repeat an earlier response on a kept connection, so a response that names no attempt is
// taken from a new connection only.
func (r *response) checkAttempt(attempt string) error {
	got := r.Header.Get(HeaderAttemptID)
	if got == attempt || got == "" && !r.reused {
		return nil
	}
	return lost(errors.Wrapf(errWrongAttempt, "%q", got))
}
