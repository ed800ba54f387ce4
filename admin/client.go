package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// maxReplyBytes bounds a reply from a host.
const maxReplyBytes = 64 << 20

// Client calls the operators' interface of an entry host.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a client for the host at base, such as http://127.0.0.1:8080.
func NewClient(base, key string, hc *http.Client) *Client {
	if hc == nil {
		hc = http.DefaultClient
	}
	return &Client{base: strings.TrimSuffix(base, "/"), key: key, http: hc}
}

func (c *Client) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return nil, errors.Wrap(err, "admin: encode request")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "admin: build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "admin: send request")
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, readFailure(resp)
}

func readFailure(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrap(err, "admin: read reply")
	}
	var conflict Conflict
	if resp.StatusCode == http.StatusConflict && json.Unmarshal(data, &conflict) == nil {
		return &ConflictError{Revision: conflict.Revision, Differences: conflict.Differences}
	}
	var body api.ErrorBody
	if json.Unmarshal(data, &body) == nil && body.Error != nil {
		return body.Error
	}
	return errors.Newf("admin: status %d: %s", resp.StatusCode, data)
}

func (c *Client) call(ctx context.Context, method, path string, body, into any) error {
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(into), "admin: decode reply")
}

func selector(kind, name string) string {
	return url.Values{"kind": {kind}, "name": {name}}.Encode()
}

// List returns the resources of a kind and name; empty means all.
func (c *Client) List(ctx context.Context, kind, name string) (ListResponse, error) {
	var out ListResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/resources?"+selector(kind, name), nil, &out)
	return out, err
}

// Apply changes the configuration. It returns a *ConflictError when another
// operator was first.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResponse, error) {
	var out ApplyResponse
	err := c.call(ctx, http.MethodPost, "/admin/v1/apply", req, &out)
	return out, err
}

// Watch calls onChange for the configuration in force and each later one.
func (c *Client) Watch(ctx context.Context, kind, name string, onChange func(ListResponse) error) error {
	resp, err := c.do(ctx, http.MethodGet, "/admin/v1/watch?"+selector(kind, name), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	dec := json.NewDecoder(resp.Body)
	for {
		var list ListResponse
		if err := dec.Decode(&list); err != nil {
			return errors.Wrap(err, "admin: watch")
		}
		if err := onChange(list); err != nil {
			return err
		}
	}
}

// Status lists the hosts with their revisions.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var out StatusResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil, &out)
	return out, err
}

// History lists accepted changes, newest first.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	var out []HistoryEntry
	err := c.call(ctx, http.MethodGet, "/admin/v1/history", nil, &out)
	return out, err
}

// Bill sums the bill of a period by the named columns.
func (c *Client) Bill(ctx context.Context, from, to time.Time, by []string) (BillResponse, error) {
	q := url.Values{"by": {strings.Join(by, ",")}}
	if !from.IsZero() {
		q.Set("from", from.Format(time.RFC3339))
	}
	if !to.IsZero() {
		q.Set("to", to.Format(time.RFC3339))
	}
	var out BillResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/bill?"+q.Encode(), nil, &out)
	return out, err
}

// Explain returns what the host decided about a request.
func (c *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	var out Explanation
	err := c.call(ctx, http.MethodGet, "/admin/v1/explain/"+url.PathEscape(request), nil, &out)
	return out, err
}
