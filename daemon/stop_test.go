package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/upstream"
)

const (
	// stopTokens is the length of an answer that takes longer than the drain.
	stopTokens = 1500
	// stopDrain is the drain timeout of the hosts that are stopped.
	stopDrain = 200 * time.Millisecond
)

// startStopCluster starts hosts with a short drain and long answers. dial, if set, returns the
// way in which each host opens connections to endpoints.
func startStopCluster(t *testing.T, hosts int, out io.Writer, dial func(i int) upstream.DialFunc) *cluster {
	t.Helper()
	opts := demo.ClusterOptions{Hosts: hosts, AnswerTokens: stopTokens, DialEndpoint: dial}
	return startClusterWith(t, opts, out, func(s *config.Settings) {
		s.Drain.EntryTTL, s.Drain.Timeout = resource.Duration(stopDrain), resource.Duration(stopDrain)
	})
}

// rawAnswer is what a caller's connection got.
type rawAnswer struct {
	id      string
	status  int
	header  http.Header
	text    string
	failure *api.Error
	err     error
}

// post sends one request on a kept connection and reads the whole answer.
func (c *cluster) post(hc *http.Client, addr, path, id string, body any) rawAnswer {
	data, err := json.Marshal(body)
	if err != nil {
		return rawAnswer{err: err}
	}
	req, err := http.NewRequestWithContext(c.ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return rawAnswer{err: err}
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+demo.TeamKey)
	req.Header.Set(api.HeaderIdempotencyKey, id)
	resp, err := hc.Do(req)
	if err != nil {
		return rawAnswer{id: id, err: err}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	out := rawAnswer{id: id, status: resp.StatusCode, header: resp.Header, text: string(text), err: err}
	out.failure = failureIn(out.text)
	return out
}

// failureIn returns the error of an answer, which is its body or the last event of a stream.
func failureIn(text string) *api.Error {
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		var body api.ErrorBody
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &body) == nil && body.Error != nil {
			return body.Error
		}
	}
	return nil
}

// keptClient returns a client that keeps its connections open.
func keptClient(t *testing.T) *http.Client {
	t.Helper()
	tr := &http.Transport{MaxIdleConnsPerHost: keptConnections}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// keptConnections is the number of connections that a client keeps.
const keptConnections = 64

// TestStopAnswersRequestsInFlight guards against a connection that is closed without an
// answer, or in the middle of one, at the end of the drain: of requests that run and of
// requests that wait for an engine.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	const requests = 64
	c := startStopCluster(t, 1, io.Discard, nil)
	hc, addr := keptClient(t), c.Hosts[0].EntryAddress()
	answers := c.sendLong(hc, addr, requests)
	c.eventually(inForce, "engines run requests", func() bool { return len(c.runsByVersion()) > 0 })
	// The host counts as not drained, because it had to end requests.
	if err := c.StopHost(c.ctx, 0); !errors.Is(err, daemon.ErrDrainTimeout) {
		t.Errorf("stop ended with %v, want %v", err, daemon.ErrDrainTimeout)
	}
	outcomes := make(map[api.Outcome]int)
	for range requests {
		if a := <-answers; checkStopAnswer(t, a, stoppingReason) {
			outcomes[a.failure.Outcome]++
		}
	}
	if outcomes[api.OutcomeNotRun] == 0 || outcomes[api.OutcomeUnknown] == 0 {
		t.Errorf("outcomes %v, want some requests that waited and some that ran", outcomes)
	}
}

// sendLong sends requests for long answers, every other one for a stream.
func (c *cluster) sendLong(hc *http.Client, addr string, n int) <-chan rawAnswer {
	answers := make(chan rawAnswer, n)
	for i := range n {
		body := prompt(uuid.NewString())
		body.MaxTokens, body.Stream = 0, i%2 == 0
		go func() {
			answers <- c.post(hc, addr, "/v1/chat/completions", uuid.Must(uuid.NewV7()).String(), body)
		}()
	}
	return answers
}

// stoppingReason is part of the message of a host that stops.
const stoppingReason = "host is stopping"

// checkStopAnswer checks that the answer to a request that was ended by a stop is complete
// and tells the caller what to do.
func checkStopAnswer(t *testing.T, a rawAnswer, reasons ...string) bool {
	t.Helper()
	switch {
	case a.err != nil:
		t.Errorf("status %d, connection ended without a complete answer: %v", a.status, a.err)
		return false
	case a.failure == nil:
		t.Errorf("status %d without an error: %.100s", a.status, a.text)
		return false
	case a.failure.Outcome == api.OutcomeNotRun:
		timed := a.header.Get("Retry-After") != "" || !strings.Contains(a.failure.Message, stoppingReason)
		if a.status != http.StatusServiceUnavailable || !timed || a.failure.Code != api.CodeUnavailable {
			t.Errorf("status %d, Retry-After %q for a request that has not run: %v", a.status, a.header.Get("Retry-After"), a.failure)
		}
	case a.status == http.StatusOK: // the answer had begun
	case a.status != http.StatusBadGateway || a.failure.Code != api.CodeEndpointFailed:
		t.Errorf("status %d, code %s for a request that may have run", a.status, a.failure.Code)
	}
	if !slices.ContainsFunc(reasons, func(r string) bool { return strings.Contains(a.failure.Message, r) }) {
		t.Errorf("message %q does not give a reason of %q", a.failure.Message, reasons)
	}
	return true
}

// errNoLink is the error of a host without links to the endpoints.
var errNoLink = errors.New("no link")

// TestStopAnswersForwardedRequests guards against a connection that is closed without an
// answer, or in the middle of one, while another host serves its request: at the end of the
// drain of the host that has forwarded it, and of the one that serves it.
func TestStopAnswersForwardedRequests(t *testing.T) {
	const requests = 16
	cases := map[string]struct {
		stopped int
		reasons []string
	}{
		"host that forwards": {0, []string{stoppingReason}},
		// The other host answers itself what the stopped one has not run.
		"host that serves": {1, []string{stoppingReason, "reaches no endpoint", errNoLink.Error()}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := startStopCluster(t, 2, io.Discard, func(i int) upstream.DialFunc {
				if i > 0 {
					return nil
				}
				return func(context.Context, string, string) (net.Conn, error) { return nil, errNoLink }
			})
			answers := c.sendLong(keptClient(t), c.Hosts[0].EntryAddress(), requests)
			c.eventually(inForce, "engines run requests", func() bool { return len(c.runsByVersion()) > 0 })
			if err := c.StopHost(c.ctx, tc.stopped); !errors.Is(err, daemon.ErrDrainTimeout) {
				t.Errorf("stop ended with %v, want %v", err, daemon.ErrDrainTimeout)
			}
			for range requests {
				checkStopAnswer(t, <-answers, tc.reasons...)
			}
		})
	}
}
