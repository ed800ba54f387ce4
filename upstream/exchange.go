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
	// answer is read. A larger one may fill the windows while the endpoint
	// already answers.
	inlineSendBytes = 4 << 10
	// maxStrayBytes bounds a dropped answer.
	maxStrayBytes = 1 << 20
	// keepAliveMargin covers the way of a request to an endpoint that is about to
	// close its idle connection.
	keepAliveMargin = time.Second
)

// exchange is one request and its answer on one connection.
type exchange struct {
	client *Client
	conn   *conn
	addr   string
	reused bool
	stop   func() bool
	// sent is closed when the request has been written or has failed.
	sent    chan struct{}
	written int
	sendErr error
}

// run writes the request and reads the header of its answer.
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

// receive reads answers until one belongs to the request.
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
			continue // an interim answer without a body
		}
		if req.Matches == nil || req.Matches(resp.Header) {
			return resp, nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil || n == maxStrayBytes || resp.Close {
			return nil, errors.Mark(errors.New("upstream: the answer of another request has no end"), ErrMalformed)
		}
	}
}

func (e *exchange) abort() {
	e.stop()
	_ = e.conn.Close()
}

// Response is an HTTP response. The caller reads its body with Read.
type Response struct {
	Status int
	Header http.Header
	// ContentLength is -1 if the answer does not state it.
	ContentLength int64

	body     io.ReadCloser
	resp     *http.Response
	exchange *exchange
	whole    bool
	closed   bool
}

// Read reads the body. It returns io.EOF only after the whole body.
func (a *Response) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close gives the connection back if the answer was read to its end, and ends
// it otherwise.
func (a *Response) Close() {
	if a.closed {
		return
	}
	a.closed = true
	e := a.exchange
	if !a.whole || a.resp.Close || !e.finished() || !e.stop() {
		e.abort()
		return
	}
	e.client.pool.put(e.addr, e.conn, keepTime(a.Header))
}

// finished reports whether the request was written as a whole.
func (e *exchange) finished() bool {
	select {
	case <-e.sent:
		return e.sendErr == nil
	default:
		return false
	}
}

// keepTime returns how long an endpoint says it keeps the idle connection, less
// a margin; zero if it does not say.
func keepTime(h http.Header) time.Duration {
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
