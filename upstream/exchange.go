package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// inlineSendBytes is the size up to which a request is written before the
	// response is read. A larger request may fill the TCP windows while the
	// endpoint already responds, so it is written concurrently.
	inlineSendBytes = 4 << 10
	// maxDiscardBytes bounds the body of a discarded response.
	maxDiscardBytes = 1 << 20
	// keepAliveMargin is subtracted from the endpoint's keep-alive timeout, so that
	// a request does not arrive while the endpoint closes the idle connection.
	keepAliveMargin = time.Second
)

// exchange is one request and its response on one connection.
type exchange struct {
	client     *Client
	conn       *conn
	addr       string
	reused     bool
	stopCancel func() bool
	// sent is closed when the write of the request has succeeded or failed.
	sent    chan struct{}
	written int
	sendErr error
}

// run writes the request and reads the header of its response.
func (e *exchange) run(req *Request, out *http.Request) (*Response, error) {
	var payload bytes.Buffer
	if err := out.Write(&payload); err != nil {
		e.abort()
		return nil, &Error{Cause: errors.Mark(err, ErrSend)}
	}
	e.sent = make(chan struct{})
	if payload.Len() <= inlineSendBytes {
		e.send(payload.Bytes())
	} else {
		go e.send(payload.Bytes())
	}
	resp, err := e.receive(req, out)
	if err != nil {
		e.abort()
		<-e.sent
		if e.sendErr != nil && e.written == 0 {
			return nil, &Error{Cause: errors.Mark(e.sendErr, ErrSend), Reused: e.reused}
		}
		return nil, &Error{Cause: err, MaybeSent: true, Reused: e.reused}
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, body: resp.Body, resp: resp, exchange: e}, nil
}

func (e *exchange) send(payload []byte) {
	defer close(e.sent)
	e.written, e.sendErr = e.conn.Write(payload)
}

// receive reads responses until one belongs to the request.
func (e *exchange) receive(req *Request, out *http.Request) (*http.Response, error) {
	for {
		if _, err := e.conn.br.Peek(1); err != nil {
			return nil, errors.Mark(err, ErrConnectionLost)
		}
		resp, err := http.ReadResponse(e.conn.br, out)
		if err != nil {
			return nil, errors.Mark(err, ErrMalformed)
		}
		if resp.StatusCode < http.StatusOK {
			continue // an interim response without a body
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardBytes))
		if err != nil || n == maxDiscardBytes || resp.Close {
			return nil, errors.Mark(errors.New("upstream: cannot discard the response to another request"), ErrMalformed)
		}
	}
}

// abort closes the connection.
func (e *exchange) abort() {
	e.stopCancel()
	_ = e.conn.Close()
}

// Response is an HTTP response. The caller reads its body with Read.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the response does not state it.
	ContentLength int64

	body     io.ReadCloser
	resp     *http.Response
	exchange *exchange
	complete bool
	closed   bool
}

// Read reads the body. It returns io.EOF only after the complete body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if the body was read to its end, and
// closes it otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	e := a.exchange
	if !a.complete || a.resp.Close || !e.fullySent() || !e.stopCancel() {
		e.abort()
		return
	}
	e.client.pool.put(e.addr, e.conn, keepAliveTimeout(a.Header))
}

// fullySent reports whether the complete request has been written.
func (e *exchange) fullySent() bool {
	select {
	case <-e.sent:
		return e.sendErr == nil
	default:
		return false
	}
}

// keepAliveTimeout returns the timeout in the Keep-Alive header less
// keepAliveMargin, or zero if the header has none.
func keepAliveTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, keepAliveMargin/2)
	}
	return 0
}
