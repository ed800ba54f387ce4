// Package rating is the client of the platform's service that rates model answers.
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// ErrLimited reports that a rating would exceed the rate limit of the service.
var ErrLimited = errors.New("rating: rate limit reached")

// Client sends rating requests to the service within its rate limit.
type Client struct {
	url     string
	http    *http.Client
	limiter *rate.Limiter
}

// New returns a client of the service at url. perSecond is the rate of requests
// that the service accepts from this host. If hc is nil, requests time out after
// 10 s.
func New(url string, perSecond float64, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{Timeout: 10 * time.Second}
	}
	burst := max(int(perSecond), 1)
	return &Client{url: url, http: hc, limiter: rate.NewLimiter(rate.Limit(perSecond), burst)}
}

// maxReplyBytes bounds a reply of the service.
const maxReplyBytes = 64 << 10

type request struct {
	RequestID string `json:"request_id"`
	Answer    string `json:"answer"`
}

// Rate asks the service to rate an answer and reports whether the answer passed.
// It does not wait for the rate limit but returns ErrLimited.
func (c *Client) Rate(ctx context.Context, requestID, answer string) (bool, error) {
	if !c.limiter.Allow() {
		return false, ErrLimited
	}
	body, err := json.Marshal(request{RequestID: requestID, Answer: answer})
	if err != nil {
		return false, errors.Wrap(err, "rating: encode request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/v1/rate", bytes.NewReader(body))
	if err != nil {
		return false, errors.Wrap(err, "rating: build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return false, errors.Wrap(err, "rating: send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return false, errors.Newf("rating: service replied with status %d", resp.StatusCode)
	}
	var out struct {
		Passed bool `json:"passed"`
	}
	return out.Passed, errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&out), "rating: decode reply")
}
