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

// maxReplyBytes bounds a reply of a host, or one message of Watch.
const maxReplyBytes = 64 << 20

// errMessageTooLong reports a message of Watch of more than maxReplyBytes.
var errMessageTooLong = errors.Newf("admin: message over %d bytes", maxReplyBytes)

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
	return nil, readError(resp)
}

func readError(resp *http.Response) error {
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

func resourceQuery(kind, name string) string {
	return url.Values{"kind": {kind}, "name": {name}}.Encode()
}

// List returns the resources with the given kind and name; an empty string
// matches all.
func (c *Client) List(ctx context.Context, kind, name string) (ListResponse, error) {
	var out ListResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/resources?"+resourceQuery(kind, name), nil, &out)
	return out, err
}

// Apply changes the configuration. It returns a *ConflictError if another
// operator has changed it since the expected revision.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResponse, error) {
	var out ApplyResponse
	err := c.call(ctx, http.MethodPost, "/admin/v1/apply", req, &out)
	return out, err
}

// Watch calls onChange for the configuration in force and then for each newer
// revision, until ctx ends, the stream breaks or onChange returns an error.
func (c *Client) Watch(ctx context.Context, kind, name string, onChange func(ListResponse) error) error {
	resp, err := c.do(ctx, http.MethodGet, "/admin/v1/watch?"+resourceQuery(kind, name), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body := &messageLimit{r: resp.Body}
	dec := json.NewDecoder(body)
	for {
		var list ListResponse
		body.left = maxReplyBytes
		if err := dec.Decode(&list); err != nil {
			return errors.Wrap(err, "admin: watch")
		}
		if err := onChange(list); err != nil {
			return err
		}
	}
}

// messageLimit reads a stream of messages of which each is bounded: left is set before each.
type messageLimit struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader.
func (l *messageLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errMessageTooLong
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// Status returns the hosts and their revisions.
func (c *Client) Status(ctx context.Context) (StatusResponse, error) {
	var out StatusResponse
	err := c.call(ctx, http.MethodGet, "/admin/v1/status", nil, &out)
	return out, err
}

// History returns accepted changes, newest first.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	var out []HistoryEntry
	err := c.call(ctx, http.MethodGet, "/admin/v1/history", nil, &out)
	return out, err
}

// Bill returns the costs of a period, summed by the named columns. A zero time
// means the host's default.
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

// Explain returns the decisions of the host about a request.
func (c *Client) Explain(ctx context.Context, request string) (Explanation, error) {
	var out Explanation
	err := c.call(ctx, http.MethodGet, "/admin/v1/explain/"+url.PathEscape(request), nil, &out)
	return out, err
}
