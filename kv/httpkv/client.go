package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// Client is a kv.KV reached over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

var _ kv.KV = (*Client)(nil)

// NewClient returns a client of the service at base, such as
// "http://127.0.0.1:2379". A nil hc stands for a client with its own
// connections. hc must not have a Timeout, which would cut watches; callers
// bound each call by its context.
func NewClient(base string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{Transport: http.DefaultTransport.(*http.Transport).Clone()}
	}
	return &Client{base: strings.TrimSuffix(base, "/") + pathPrefix, http: hc}
}

// Get implements kv.KV.
func (c *Client) Get(ctx context.Context, key string) (kv.Entry, error) {
	resp, err := c.call(ctx, opGet, request{Key: key})
	if err != nil {
		return kv.Entry{}, err
	}
	if resp.Entry == nil {
		return kv.Entry{}, errors.Wrap(kv.ErrUnavailable, "reply without entry")
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
	resp, err := c.call(ctx, opCAS, request{Key: key, Expect: expect, Value: value, Lease: lease})
	return resp.Revision, err
}

// Delete implements kv.KV.
func (c *Client) Delete(ctx context.Context, key string, expect int64) error {
	_, err := c.call(ctx, opDelete, request{Key: key, Expect: expect})
	return err
}

// GrantLease implements kv.KV. The time to live is carried in milliseconds.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	resp, err := c.call(ctx, opGrant, request{TTLMs: ttl.Milliseconds()})
	return resp.Lease, err
}

// KeepAlive implements kv.KV.
func (c *Client) KeepAlive(ctx context.Context, id kv.LeaseID) error {
	_, err := c.call(ctx, opKeep, request{Lease: id})
	return err
}

// RevokeLease implements kv.KV.
func (c *Client) RevokeLease(ctx context.Context, id kv.LeaseID) error {
	_, err := c.call(ctx, opRevoke, request{Lease: id})
	return err
}

// Watch implements kv.KV.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (<-chan kv.Event, error) {
	hresp, err := c.send(ctx, opWatch, request{Key: prefix, From: from})
	if err != nil {
		return nil, err
	}
	if hresp.StatusCode != http.StatusOK {
		defer hresp.Body.Close()
		_, err := decode(hresp, opWatch)
		return nil, err
	}
	out := make(chan kv.Event)
	go receive(ctx, hresp, out)
	return out, nil
}

// receive hands on the events of a stream until it breaks or ctx ends.
func receive(ctx context.Context, hresp *http.Response, out chan<- kv.Event) {
	defer close(out)
	defer hresp.Body.Close()
	dec := json.NewDecoder(hresp.Body)
	for {
		var ev kv.Event
		if dec.Decode(&ev) != nil {
			return
		}
		select {
		case out <- ev:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) call(ctx context.Context, op string, req request) (response, error) {
	hresp, err := c.send(ctx, op, req)
	if err != nil {
		return response{}, err
	}
	defer hresp.Body.Close()
	return decode(hresp, op)
}

// send posts the request. Until a connection was handed to the request
// nothing can have been written, so such a failure certainly had no effect.
func (c *Client) send(ctx context.Context, op string, req request) (*http.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return nil, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	hreq, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+op, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(kv.ErrUnavailable, err.Error())
	}
	hreq.Header.Set("Content-Type", "application/json")
	hresp, err := c.http.Do(hreq)
	if err != nil {
		return nil, uncertain(op, connected.Load(), err)
	}
	return hresp, nil
}

// decode reads a reply. A reply that is cut or not understood leaves the
// outcome of a write unknown.
func decode(hresp *http.Response, op string) (response, error) {
	var resp response
	if err := json.NewDecoder(hresp.Body).Decode(&resp); err != nil {
		return response{}, uncertain(op, true, err)
	}
	if resp.Code == "" && hresp.StatusCode == http.StatusOK {
		return resp, nil
	}
	if err := errorOf(resp.Code); err != nil {
		return response{}, errors.Wrap(err, resp.Message)
	}
	return response{}, uncertain(op, true, errors.Newf("status %d", hresp.StatusCode))
}

// uncertain translates a transport error: reads have no effect anyway.
func uncertain(op string, sent bool, err error) error {
	if sent && isWrite(op) {
		return fmt.Errorf("%w: %w", kv.ErrUnknown, err)
	}
	return fmt.Errorf("%w: %w", kv.ErrUnavailable, err)
}

func isWrite(op string) bool {
	return op != opGet && op != opList && op != opWatch
}
