package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// maxEventBytes bounds one server-sent event of an engine.
	maxEventBytes = 1 << 20
	// maxReplyBytes bounds the reply of a plain service and of the other calls
	// with JSON replies.
	maxReplyBytes = 4 << 20
	// maxErrorBytes bounds the part of an error reply that is read.
	maxErrorBytes = 4 << 10
	// lineBufferBytes is the size of a line that does not count towards the host's budget.
	lineBufferBytes = 4 << 10
)

// errIncomplete reports an answer with missing or repeated tokens, or without
// its final event.
var errIncomplete = errors.New("incomplete answer")

// errTooManyTokens reports an answer with more tokens than were asked for.
var errTooManyTokens = errors.New("more tokens than asked for")

// errWrongAttempt reports a response or event that belongs to another attempt.
var errWrongAttempt = errors.New("response to another attempt")

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	scheme string
	http   *http.Client
	// probe opens a new connection for each request, so that a probe never waits
	// on a silent connection.
	probe *http.Client
	// OnLimit is called with the rate limit that an endpoint names in the answer to a
	// request that was sent at a time, in requests a second, zero if it names none. It may
	// be set before the first call.
	OnLimit func(addr string, sent time.Time, rate float64)
	// Buffers bounds the bytes that are buffered for all calls together. It may be replaced
	// before the first call.
	Buffers *limiter.ByteBudget
}

// NewClient returns a client that uses transport, or a default one if it is nil.
func NewClient(transport *http.Transport) *Client { return newClient(transport, "http") }

// NewTLSClient returns a client that uses TLS with the transport's settings.
func NewTLSClient(transport *http.Transport) *Client { return newClient(transport, "https") }

func newClient(transport *http.Transport, scheme string) *Client {
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: api.MaxHeaderBytes}
	}
	transport = withKeepAlive(transport)
	withAnswerConns(transport, scheme)
	probeTransport := transport.Clone()
	probeTransport.DisableKeepAlives = true
	return &Client{
		scheme: scheme,
		http:   &http.Client{Transport: transport},
		probe:  &http.Client{Transport: probeTransport},

		Buffers: limiter.NewHostByteBudget(0),
	}
}

// CloseIdle closes idle connections.
func (c *Client) CloseIdle() { c.http.CloseIdleConnections() }

// Generate runs one attempt and calls onToken for each token in order. It
// returns the content of the final event once the complete answer has arrived.
func (c *Client) Generate(ctx context.Context, addr string, req GenerateRequest, onToken func(Event) error) (Final, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Final{}, notRun(errors.Wrap(err, "encode request"))
	}
	sent := time.Now()
	resp, err := c.post(ctx, c.scheme+"://"+addr+"/v1/generate", body, func(h http.Header) {
		h.Set(HeaderAttemptID, req.Attempt)
	})
	if err != nil {
		return Final{}, err
	}
	defer resp.Body.Close()
	c.reportLimit(resp.Response, sent)
	if resp.StatusCode != http.StatusOK {
		if err := resp.checkAttempt(req.Attempt); err != nil {
			return Final{}, err
		}
		return Final{}, statusError(resp.Response)
	}
	return readEvents(resp.Body, c.Buffers, req, onToken)
}

// readEvents checks that each event belongs to the attempt and that tokens are
// consecutive, so that late or misdirected data never reaches a caller. An answer that goes
// on without end is given up: at the first token too many, or when no event comes among
// many bytes.
func readEvents(body io.Reader, buffers *limiter.ByteBudget, req GenerateRequest, onToken func(Event) error) (Final, error) {
	lines := newLineReader(body, buffers)
	defer lines.close()
	next := req.ResumeFrom
	for {
		line, err := lines.next()
		if errors.Is(err, io.EOF) {
			return Final{}, lost(errIncomplete)
		}
		if err != nil {
			return Final{}, lost(err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		var ev Event
		if err := json.Unmarshal(data, &ev); err != nil {
			return Final{}, lost(errors.Wrap(err, "decode event"))
		}
		lines.accept()
		if ev.Attempt != req.Attempt {
			return Final{}, lost(errors.Wrapf(errWrongAttempt, "%q", ev.Attempt))
		}
		if ev.Final != nil {
			if ev.Final.Tokens != next {
				return Final{}, lost(errors.Wrapf(errIncomplete, "%d of %d tokens", next, ev.Final.Tokens))
			}
			return *ev.Final, nil
		}
		if ev.Index != next {
			return Final{}, lost(errors.Wrapf(errIncomplete, "token %d after %d", ev.Index, next-1))
		}
		if req.MaxTokens > 0 && next >= req.MaxTokens {
			return Final{}, lost(errors.Wrapf(errTooManyTokens, "over %d", req.MaxTokens))
		}
		next++
		if err := onToken(ev); err != nil {
			return Final{}, &Error{Outcome: api.OutcomeRun, Err: err}
		}
	}
}

// lineReader splits an event stream into lines. It bounds the bytes between two events,
// comments and empty lines included.
type lineReader struct {
	br   *bufio.Reader
	line *limiter.Accumulator
	// skipped is the number of bytes since the last event.
	skipped int
}

func newLineReader(r io.Reader, buffers *limiter.ByteBudget) *lineReader {
	return &lineReader{br: bufio.NewReaderSize(r, lineBufferBytes), line: buffers.NewAccumulator(maxEventBytes, lineBufferBytes)}
}

func (r *lineReader) close() { r.line.Release() }

// accept notes that the last line was an event.
func (r *lineReader) accept() { r.skipped = 0 }

// next returns the next line without its end, which is valid until the next call. It returns
// io.EOF after the last one.
func (r *lineReader) next() ([]byte, error) {
	r.line.Reset()
	for {
		part, err := r.br.ReadSlice('\n')
		if tooLong := r.line.Append(part); tooLong != nil {
			return nil, errors.Wrap(tooLong, "read event")
		}
		if r.skipped += len(part); r.skipped > maxEventBytes {
			return nil, errors.Newf("%d bytes without an event", r.skipped)
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == nil, errors.Is(err, io.EOF) && len(r.line.Bytes()) > 0:
			return bytes.TrimRight(r.line.Bytes(), "\r\n"), nil
		}
		return nil, err
	}
}

// Reply is the reply of a plain service. Its body counts towards the budget of the client
// until Release is called.
type Reply struct {
	Status      int
	ContentType string
	Body        []byte
	buffer      limiter.Buffer
}

// Release returns the body's part of the budget. The body must not be used any more.
func (r *Reply) Release() {
	r.buffer.Release()
	r.Body = nil
}

// Call runs one operation of a plain service.
func (c *Client) Call(ctx context.Context, addr, service, operation, attempt, key string, body []byte) (Reply, error) {
	url := c.scheme + "://" + addr + "/v1/services/" + service + "/" + operation
	sent := time.Now()
	resp, err := c.post(ctx, url, body, func(h http.Header) {
		h.Set(HeaderAttemptID, attempt)
		if key != "" {
			h.Set(api.HeaderIdempotencyKey, key)
		}
	})
	if err != nil {
		return Reply{}, err
	}
	defer resp.Body.Close()
	c.reportLimit(resp.Response, sent)
	if err := resp.checkAttempt(attempt); err != nil {
		return Reply{}, err
	}
	if resp.StatusCode >= http.StatusInternalServerError || resp.StatusCode == http.StatusTooManyRequests {
		return Reply{}, statusError(resp.Response)
	}
	resp.expectOrderlyEnd()
	buffer, err := c.Buffers.Read(resp.Body, maxReplyBytes, resp.ContentLength)
	switch {
	case errors.Is(err, limiter.ErrTooLong):
		return Reply{}, &Error{Outcome: api.OutcomeRun, Err: errors.Wrap(err, "read reply")}
	case errors.Is(err, limiter.ErrBufferFull):
		return Reply{}, &Error{Outcome: api.OutcomeUnknown, Err: errors.Wrap(err, "read reply")}
	case err != nil:
		return Reply{}, lost(err)
	}
	return Reply{Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: buffer.Data, buffer: buffer}, nil
}

// post sends a request. An error has the outcome not_run only if no connection
// was obtained, so that no byte can have reached the endpoint.
func (c *Client) post(ctx context.Context, url string, body []byte, set func(http.Header)) (*response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return nil, notRun(err)
	}
	// Without GetBody the transport cannot retry the request by itself. It would
	// otherwise retry requests with an Idempotency-Key, and those without a body.
	req.Body, req.GetBody = io.NopCloser(bytes.NewReader(body)), nil
	req.Header.Set("Content-Type", "application/json")
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set(HeaderDeadlineMS, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}
	set(req.Header)
	return do(c.http, req)
}

// reportLimit passes on the rate limit of an answer. A malformed one counts as missing.
func (c *Client) reportLimit(resp *http.Response, sent time.Time) {
	if c.OnLimit == nil {
		return
	}
	rate, err := strconv.ParseFloat(resp.Header.Get(HeaderRateLimit), 64)
	if err != nil || rate < 0 {
		rate = 0
	}
	c.OnLimit(resp.Request.URL.Host, sent, rate)
}

// notRun returns an Error for a request that was not sent.
func notRun(err error) *Error { return &Error{Outcome: api.OutcomeNotRun, Err: err} }

// lost returns an Error for a request without a complete valid answer.
func lost(err error) *Error { return &Error{Outcome: api.OutcomeUnknown, Lost: true, Err: err} }

// statusError returns the Error for an error reply. The outcome is unknown
// unless the endpoint states it in the outcome header.
func statusError(resp *http.Response) *Error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	e := &Error{
		Outcome: api.OutcomeUnknown,
		Status:  resp.StatusCode,
		Busy:    resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable,
		Err:     errors.Newf("status %d: %s", resp.StatusCode, bytes.TrimSpace(text)),
	}
	if o := api.Outcome(resp.Header.Get(api.HeaderOutcome)); o == api.OutcomeNotRun || o == api.OutcomeRun {
		e.Outcome = o
	}
	if s, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(s) * time.Second
	}
	return e
}

// Load returns the endpoint's load report.
func (c *Client) Load(ctx context.Context, addr string) (LoadReport, error) {
	var out LoadReport
	err := c.get(ctx, c.scheme+"://"+addr+"/v1/load", &out)
	return out, err
}

// CacheEvents returns the cache events after the given sequence number.
func (c *Client) CacheEvents(ctx context.Context, addr string, after int64) ([]CacheEvent, error) {
	var out []CacheEvent
	err := c.get(ctx, c.scheme+"://"+addr+"/v1/cache/events?after="+strconv.FormatInt(after, 10), &out)
	return out, err
}

// Probe returns the status of an attempt, over a new connection.
func (c *Client) Probe(ctx context.Context, addr, attempt string) (AttemptStatus, error) {
	var out AttemptStatus
	err := c.get(ctx, c.scheme+"://"+addr+"/v1/attempts/"+attempt, &out)
	return out, err
}

// Cancel ends an attempt, over a new connection, and returns once the endpoint has confirmed it.
// The context bounds the wait. An error leaves open whether the endpoint works on: it is
// ErrNotEnded if the endpoint says no, and one for which NoSuchCall is true if it has no such call.
func (c *Client) Cancel(ctx context.Context, addr, attempt string) error {
	var reply CancelReply
	if err := c.fetch(ctx, http.MethodDelete, c.scheme+"://"+addr+"/v1/attempts/"+attempt, &reply); err != nil {
		return err
	}
	if reply.Attempt != attempt || !reply.Ended {
		return errors.Wrapf(ErrNotEnded, "%q, ended %t", reply.Attempt, reply.Ended)
	}
	return nil
}

func (c *Client) get(ctx context.Context, url string, into any) error {
	return c.fetch(ctx, http.MethodGet, url, into)
}

// fetch sends a request without a body over a new connection and decodes the reply.
func (c *Client) fetch(ctx context.Context, method, url string, into any) error {
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return errors.Wrap(err, "engine: build request")
	}
	resp, err := do(c.probe, req)
	if err != nil {
		return errors.Wrapf(err, "engine: %s", method)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.Response)
	}
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes))
	return errors.Wrap(dec.Decode(into), "engine: decode reply")
}

// SendOrder sends an order. If the reply is lost, the error has the outcome
// unknown, and the sender can check the endpoint's state with Load.
func (c *Client) SendOrder(ctx context.Context, addr string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return errors.Wrap(err, "engine: encode order")
	}
	resp, err := c.post(ctx, c.scheme+"://"+addr+"/v1/orders", body, func(http.Header) {})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusOK:
		resp.expectOrderlyEnd()
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxErrorBytes)); err != nil {
			return lost(errors.Wrap(err, "read reply"))
		}
		return nil
	case http.StatusPreconditionFailed:
		return ErrStaleFencing
	}
	return errors.Wrapf(ErrOrderRejected, "status %d", resp.StatusCode)
}
