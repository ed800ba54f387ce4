// Package client is the Go client of corianderlever. It discovers the entry
// hosts, retries only when a retry is safe, and verifies that each answer is
// complete and belongs to its request.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/api"
)

// Errors of the client.
var (
	// ErrNoEntry reports that no address of an entry host is available.
	ErrNoEntry = errors.New("client: no entry host available")
	// ErrIncomplete reports an answer that is incomplete or altered.
	ErrIncomplete = errors.New("client: incomplete answer")
	// ErrWrongRequest reports an answer to another request.
	ErrWrongRequest = errors.New("client: answer to another request")
)

// Defaults of Options.
const (
	defaultAttempts = 5
	maxReplyBytes   = 16 << 20
)

// Options configure a Client.
type Options struct {
	// Seeds are the initial entry addresses, host:port.
	Seeds []string
	// Key is the team's bearer key.
	Key string
	// Scheme is http or https; empty means http.
	Scheme string
	// HTTP is the HTTP client to use; nil means one with default settings.
	HTTP *http.Client
	// Attempts bounds the attempts of one request; zero means 5.
	Attempts int
	// SeedsOnly restricts the client to the seeds instead of the entry list that
	// the hosts return.
	SeedsOnly bool
}

// Client calls entry hosts. It is safe for concurrent use.
type Client struct {
	opts    Options
	entries *entryList
}

// New returns a client.
func New(opts Options) *Client {
	if opts.Scheme == "" {
		opts.Scheme = "http"
	}
	if opts.HTTP == nil {
		opts.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: api.MaxHeaderBytes}}
	}
	if opts.Attempts <= 0 {
		opts.Attempts = defaultAttempts
	}
	return &Client{opts: opts, entries: newEntryList(opts)}
}

// Request holds the values of a request's headers.
type Request struct {
	// ID is the idempotency key; empty means a new UUIDv7. A program that retries
	// a request after a crash must choose and store the key itself.
	ID string
	// Rank is the rank of the request; empty means the default.
	Rank string
	// Kind is the kind of request, which the model choice takes into account.
	Kind string
	// Session is a session token.
	Session string
}

// ensureID sets ID to a new UUIDv7 if it is empty.
func (r *Request) ensureID() error {
	if r.ID != "" {
		return nil
	}
	id, err := uuid.NewV7()
	if err != nil {
		return errors.Wrap(err, "client: new request id")
	}
	r.ID = id.String()
	return nil
}

// Chat returns a complete answer.
func (c *Client) Chat(ctx context.Context, meta Request, body api.ChatRequest) (api.ChatResponse, error) {
	if err := meta.ensureID(); err != nil {
		return api.ChatResponse{}, err
	}
	body.Stream = false
	var out api.ChatResponse
	err := c.retry(ctx, meta, "/v1/chat/completions", body, func(resp *http.Response) error {
		out = api.ChatResponse{}
		if err := decode(resp, &out); err != nil {
			return err
		}
		if len(out.Choices) != 1 || out.Choices[0].Message == nil {
			return ErrIncomplete
		}
		return verify(meta.ID, out.Receipt, out.Choices[0].Message.Content)
	})
	return out, err
}

// verify checks the text of the answer to the request id against its receipt.
func verify(id string, receipt *api.Receipt, text string) error {
	if receipt == nil {
		return ErrIncomplete
	}
	if receipt.RequestID != id {
		return errors.Wrapf(ErrWrongRequest, "got id %q, want %q", receipt.RequestID, id)
	}
	digest := api.NewDigest(id)
	digest.Add(text)
	if digest.Sum() != receipt.Digest {
		return errors.Wrap(ErrIncomplete, "digest differs")
	}
	return nil
}

// Reply is the reply of a plain service.
type Reply struct {
	Status int
	Body   []byte
	// Replayed is true if the reply is the stored result of an earlier run.
	Replayed bool
}

// Call runs an operation of a plain service. A retry with the same id never runs
// a non-idempotent operation twice.
func (c *Client) Call(ctx context.Context, meta Request, service, operation string, body any) (Reply, error) {
	if err := meta.ensureID(); err != nil {
		return Reply{}, err
	}
	var out Reply
	err := c.retry(ctx, meta, "/v1/services/"+service+"/"+operation, body, func(resp *http.Response) error {
		if id := resp.Header.Get(api.HeaderRequestID); id != meta.ID {
			return errors.Wrapf(ErrWrongRequest, "got id %q, want %q", id, meta.ID)
		}
		data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
		out = Reply{Status: resp.StatusCode, Body: data, Replayed: resp.Header.Get(api.HeaderReplayed) != ""}
		return errors.Wrap(err, "client: read reply")
	})
	return out, err
}

// NewSession starts a session on a model.
func (c *Client) NewSession(ctx context.Context, model string) (api.SessionResponse, error) {
	var meta Request
	if err := meta.ensureID(); err != nil {
		return api.SessionResponse{}, err
	}
	var out api.SessionResponse
	err := c.retry(ctx, meta, "/v1/sessions", api.SessionRequest{Model: model}, func(resp *http.Response) error {
		return decode(resp, &out)
	})
	return out, err
}

func decode(resp *http.Response, into any) error {
	dec := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes))
	return errors.Wrap(dec.Decode(into), "client: decode reply")
}

// retry sends a request until it succeeds, fails permanently, or the attempts
// are exhausted. All attempts have the same idempotency key, so the router bills
// the request once and runs a non-idempotent operation at most once.
func (c *Client) retry(ctx context.Context, meta Request, path string, body any, read func(*http.Response) error) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "client: encode request")
	}
	// last keeps the error of the last attempt, which backoff.Retry may replace by
	// a RetryAfterError.
	var last error
	attempt := func() (struct{}, error) {
		last = c.attempt(ctx, meta, path, data, read)
		return struct{}{}, retryable(last)
	}
	_, err = backoff.Retry(ctx, attempt, backoff.WithMaxTries(uint(c.opts.Attempts)), backoff.WithMaxElapsedTime(0))
	if err == nil || last == nil {
		return err
	}
	if cause := context.Cause(ctx); cause != nil {
		return errors.Mark(last, cause)
	}
	return last
}

// retryable wraps err as permanent if a retry is useless or unsafe, and replaces
// it by a RetryAfterError if the host asked for a delay.
func retryable(err error) error {
	var apiErr *api.Error
	if !errors.As(err, &apiErr) {
		return err
	}
	switch apiErr.Code {
	case api.CodeOverloaded, api.CodeUnavailable, api.CodeNotClaimed, api.CodeEndpointFailed:
		if apiErr.Outcome == api.OutcomeRun {
			return backoff.Permanent(err)
		}
		if apiErr.RetryAfterMS > 0 {
			return &backoff.RetryAfterError{Duration: time.Duration(apiErr.RetryAfterMS) * time.Millisecond}
		}
		return err
	}
	return backoff.Permanent(err)
}

// attempt sends the request once, to an entry host picked by weight.
func (c *Client) attempt(ctx context.Context, meta Request, path string, body []byte, read func(*http.Response) error) error {
	addr, err := c.entries.pick(ctx)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.opts.Scheme+"://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "client: build request")
	}
	// Without GetBody the transport cannot retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Bearer "+c.opts.Key)
	req.Header.Set(api.HeaderIdempotencyKey, meta.ID)
	setOptional(req.Header, api.HeaderRank, meta.Rank)
	setOptional(req.Header, api.HeaderKind, meta.Kind)
	setOptional(req.Header, api.HeaderSession, meta.Session)
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		err = errors.Wrap(err, "client: send request")
	} else {
		defer resp.Body.Close()
		err = c.handleResponse(resp, read)
	}
	if ctx.Err() == nil && addressFailed(err) {
		c.entries.markFailed(addr)
	}
	return err
}

// addressFailed reports whether err is a reason to avoid the address. An
// *api.Error is one only if its code is unavailable.
func addressFailed(err error) bool {
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		return apiErr.Code == api.CodeUnavailable
	}
	return err != nil
}

// handleResponse reads a response. The outcome header marks the errors of an
// entry host; other errors with a request id are replies of a plain service.
func (c *Client) handleResponse(resp *http.Response, read func(*http.Response) error) error {
	if resp.StatusCode < http.StatusBadRequest {
		return read(resp)
	}
	if resp.Header.Get(api.HeaderOutcome) != "" {
		var body api.ErrorBody
		if err := decode(resp, &body); err != nil {
			return err
		}
		if body.Error != nil {
			body.Error.Status = resp.StatusCode
			return body.Error
		}
	}
	if resp.Header.Get(api.HeaderRequestID) == "" {
		return errors.Newf("client: status %d", resp.StatusCode)
	}
	return read(resp)
}

func setOptional(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}
