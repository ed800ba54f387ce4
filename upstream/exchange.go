package upstream

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/finalresponse"
)

const (
	// inlineSendBytes is the size up to which a request is written before the
	// response is read. A larger request may fill the TCP windows while the
	// endpoint already responds, so it is written concurrently.
	inlineSendBytes = 4 << 10
	// maxDiscardBytes bounds the bodies of the discarded responses.
	maxDiscardBytes = 1 << 20
	// sentGrace is the time after a complete response in which the end of the write is
	// awaited. An endpoint may also answer without reading the whole request.
	sentGrace = 10 * time.Millisecond
	// keepAliveMargin is subtracted from the endpoint's keep-alive timeout, so that
	// a request does not arrive while the endpoint closes the idle connection.
	keepAliveMargin = time.Second
)

// exchange is one request and its response on one connection.
type exchange struct {
	client *Client
	conn   *conn
	addr   string
	reused bool
	// othersAnswered is set once a response to another request has been read.
	othersAnswered bool
	stopCancel     func() bool
	// sent is closed when the write of the request has succeeded or failed.
	sent    chan struct{}
	written int
	sendErr error
	// guard replaces the timeout of the connection; nil if it is not lifted.
	guard *unreadGuard
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
	if payload.Len() > inlineSendBytes {
		e.guard = e.guardUnread()
	}
	return &Response{Status: resp.StatusCode, Header: resp.Header, ContentLength: resp.ContentLength, body: resp.Body, resp: resp, exchange: e, bodyStart: e.conn.consumed()}, nil
}

func (e *exchange) send(payload []byte) {
	defer close(e.sent)
	e.written, e.sendErr = e.conn.Write(payload)
}

// receive reads responses until one belongs to the request. The heads of all responses
// together are bounded, and so are the bodies of those that are discarded.
func (e *exchange) receive(req *Request, out *http.Request) (*http.Response, error) {
	headLeft, discardLeft := int64(maxHeadBytes), int64(maxDiscardBytes)
	if err := e.awaitFirstByte(req.FirstByteTimeout); err != nil {
		return nil, errors.Mark(err, ErrConnectionLost)
	}
	for {
		resp, err := e.receiveHead(out, &headLeft)
		if err != nil {
			return nil, err
		}
		if interim(resp.StatusCode) {
			continue // without a body
		}
		own, err := e.belongs(req, resp)
		if own || err != nil {
			return resp, err
		}
		e.othersAnswered = true
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, discardLeft))
		discardLeft -= n
		if err != nil || discardLeft == 0 || resp.Close {
			return nil, errors.Mark(errors.New("upstream: cannot discard the response to another request"), ErrMalformed)
		}
	}
}

// awaitFirstByte waits for the first byte of a response within a timeout; zero waits not
// at all.
func (e *exchange) awaitFirstByte(timeout time.Duration) error {
	if timeout <= 0 {
		return nil
	}
	if err := e.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return errors.Wrap(err, "upstream: set deadline")
	}
	if _, err := e.conn.br.Peek(1); err != nil {
		return errors.Wrap(err, "upstream: first byte")
	}
	return errors.Wrap(e.conn.SetReadDeadline(time.Time{}), "upstream: set deadline")
}

// belongs reports whether a response belongs to the request. It returns an error if that
// cannot be known.
func (e *exchange) belongs(req *Request, resp *http.Response) (bool, error) {
	if req.Match == nil {
		return true, nil
	}
	switch req.Match(resp.Header) {
	case MatchOwn:
		return true, nil
	case MatchOther:
		return false, nil
	}
	if e.reused || e.othersAnswered {
		return false, errors.Mark(errors.New("upstream: response on a connection of other requests does not name its request"), ErrMalformed)
	}
	return true, nil
}

// receiveHead reads the head of a response, of at most left bytes, and reduces left by
// its size.
func (e *exchange) receiveHead(out *http.Request, left *int64) (*http.Response, error) {
	e.conn.head.start(*left)
	defer e.conn.head.stop()
	if _, err := e.conn.br.Peek(1); err != nil {
		return nil, errors.Mark(err, ErrConnectionLost)
	}
	before := e.conn.consumed()
	resp, err := http.ReadResponse(e.conn.br, out)
	*left -= e.conn.consumed() - before
	if err == nil && *left < 0 {
		err = errHeadTooLarge
	}
	if err != nil {
		return nil, errors.Mark(err, ErrMalformed)
	}
	if !interim(resp.StatusCode) && !finalresponse.Status(resp.StatusCode) {
		return nil, errors.Mark(errors.Newf("upstream: status %03d", resp.StatusCode), ErrMalformed)
	}
	return resp, nil
}

// interim reports whether a status is that of an interim response.
func interim(status int) bool { return status >= http.StatusContinue && status < http.StatusOK }

// abort closes the connection.
func (e *exchange) abort() {
	e.stopCancel()
	_ = e.conn.Close()
}

// fullySent reports whether the complete request has been written. If the endpoint has
// read it, the goroutine that wrote it may still be about to say so.
func (e *exchange) fullySent() bool {
	select {
	case <-e.sent:
		return e.sendErr == nil
	case <-e.client.opts.Clock.After(sentGrace):
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
