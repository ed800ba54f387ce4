package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// maxReplyBytes bounds a reply of the service. A listing may hold many entries.
const maxReplyBytes = 64 << 20

// Client is a kv.KV that calls a key-value service over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
}

var _ kv.KV = (*Client)(nil)

// NewClient returns a client of the service at baseURL, such as
// "http://127.0.0.1:2379". If httpClient is nil, a new one with its own connections
// is used. httpClient must not have a Timeout, which would end watches; callers
// bound each call by its context.
func NewClient(baseURL string, httpClient *http.Client) *Client {
	if httpClient == nil {
		httpClient = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{baseURL: strings.TrimSuffix(baseURL, "/") + pathPrefix, http: httpClient}
}

// Get implements kv.KV.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	resp, err := c.call(ctx, opGet, request{Key: key})
	if err != nil {
		return kv.Entry{}, err
	}
	if resp.Entry == nil {
		return kv.Entry{}, errors.Wrap(kv.ErrUnavailable, "reply contains no entry")
	}
	return *resp.Entry, nil
}

// List implements kv.KV.
func (c *Client) List(ctx context.Context, prefix string) ([]kv.Entry, int64, error) {
	resp, err := c.call(ctx, opList, request{Key: prefix})
	return resp.Entries, resp.Revision, err
}

// CompareAndSwap implements kv.KV.
func (c *Client) CompareAndSwap(ctx context.Context, key string, expect int64, value []byte, lease kv.LeaseID) (int64, error) {
	if len(value) > kv.MaxValueBytes {
		return 0, kv.ErrTooLarge
	}
	resp, err := c.call(ctx, opCompareAndSwap, request{Key: key, Expect: expect, Value: value, Lease: lease})
	return resp.Revision, err
}

// Delete implements kv.KV.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	_, err := c.call(ctx, opDelete, request{Key: key, Expect: expect})
	return err
}

// GrantLease implements kv.KV. The time to live is carried in milliseconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	resp, err := c.call(ctx, opGrantLease, request{TTLMs: ttl.Milliseconds()})
	return resp.Lease, err
}

// KeepAlive implements kv.KV.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := c.call(ctx, opKeepAlive, request{Lease: id})
	return err
}

// RevokeLease implements kv.KV.
func (c *Client) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	_, err := c.call(ctx, opRevokeLease, request{Lease: id})
	return err
}

// Watch implements kv.KV.
func (c *Client) Watch(ctx context.Context, prefix string, after int64) (<-chan kv.Event, error) {
	httpResp, err := c.send(ctx, opWatch, request{Key: prefix, From: after})
	if err != nil {
		return nil, err
	}
	if httpResp.StatusCode != http.StatusOK {
		defer httpResp.Body.Close()
		_, err := decode(httpResp, opWatch)
		return nil, err
	}
	out := make(chan kv.Event)
	go forwardEvents(ctx, httpResp, out)
	return out, nil
}

// forwardEvents sends the events of a response stream to out until the stream ends
// or ctx does.
func forwardEvents(ctx context.Context, httpResp *http.Response, out chan<- kv.Event) {
	defer close(out)
	defer httpResp.Body.Close()
	limited := &io.LimitedReader{R: httpResp.Body, N: maxBodyBytes}
	dec := json.NewDecoder(limited)
	for {
		var ev kv.Event
		if dec.Decode(&ev) != nil {
			return
		}
		limited.N = maxBodyBytes // for the next event
		select {
		case out <- ev:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) call(ctx context.Context, op string, req request) (response, error) {
	httpResp, err := c.send(ctx, op, req)
	if err != nil {
		return response{}, err
	}
	defer httpResp.Body.Close()
	return decode(httpResp, op)
}

// send posts the request. If it fails before the request got a connection, nothing
// has been sent, so the call certainly had no effect.
func (c *Client) send(ctx context.Context, op string, req request) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	httpReq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.baseURL+op, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	httpReq.Header.Set("Content-Type", "application/json")
	httpResp, err := c.http.Do(httpReq)
	if err != nil {
		return nil, transportError(op, connected.Load(), err)
	}
	return httpResp, nil
}

// decode reads a reply. If the reply is truncated or cannot be decoded, the outcome
// of a write is unknown.
func decode(httpResp *http.Response, op string) (response, error) {
	var resp response
	if err := json.NewDecoder(io.LimitReader(httpResp.Body, maxReplyBytes)).Decode(&resp); err != nil {
		return response{}, transportError(op, true, err)
	}
	if resp.Code == "" && httpResp.StatusCode == http.StatusOK {
		return resp, nil
	}
	if err := errorForCode(resp.Code); err != nil {
		return response{}, errors.Wrap(err, resp.Message)
	}
	return response{}, transportError(op, true, errors.Newf("unexpected reply with HTTP status %d", httpResp.StatusCode))
}

// transportError marks a transport error as kv.ErrUnknown for a write that may have
// been sent. Otherwise it marks it as kv.ErrUnavailable, because the call certainly
// had no effect.
func transportError(op string, sent bool, err error) error {
	if sent && isWrite(op) {
		return fmt.Errorf("%w: %w", kv.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
}

func isWrite(op string) bool {
	return op != opGet && op != opList && op != opWatch
}
