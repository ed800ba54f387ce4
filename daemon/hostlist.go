package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/membership"
)

const (
	// hostListTimeout bounds one request for the host list.
	hostListTimeout = 2 * time.Second
	// maxHostListBytes bounds the size of the answer.
	maxHostListBytes = 1 << 20
)

// hostLister reads the platform's list of hosts, a JSON array of objects with the
// member peer_address. The list lags, so it is used only to find addresses to ping.
type hostLister struct {
	url  string
	http *http.Client
}

// newHostLister returns nil if url is empty.
func newHostLister(url string) membership.HostLister {
	if url == "" {
		return nil
	}
	return &hostLister{url: url, http: &http.Client{Timeout: hostListTimeout}}
}

// ListHosts implements membership.HostLister.
func (l *hostLister) ListHosts(ctx context.Context) ([]membership.HostHint, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: build request")
	}
	resp, err := l.http.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "daemon: get host list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("daemon: host list: status %d", resp.StatusCode)
	}
	var list []struct {
		PeerAddress string `json:"peer_address"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHostListBytes)).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "daemon: decode host list")
	}
	hints := make([]membership.HostHint, 0, len(list))
	for _, h := range list {
		hints = append(hints, membership.HostHint{PeerAddress: h.PeerAddress})
	}
	return hints, nil
}
