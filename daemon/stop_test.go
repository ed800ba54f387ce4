package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/config"
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

// startStopCluster starts hosts with a short drain and long answers. dial, if set, opens the
// connections to endpoints.
func startStopCluster(t *testing.T, hosts int, out io.Writer, dial func(c *cluster) upstream.DialFunc) *cluster {
	t.Helper()
	var c *cluster
	opts := demo.ClusterOptions{Hosts: hosts, AnswerTokens: stopTokens}
	if dial != nil {
		opts.DialEndpoint = func(int) upstream.DialFunc {
			return func(ctx context.Context, network, addr string) (net.Conn, error) { return dial(c)(ctx, network, addr) }
		}
	}
	c = startClusterWith(t, opts, out, func(s *config.Settings) {
		s.Drain.EntryTTL, s.Drain.Timeout = resource.Duration(stopDrain), resource.Duration(stopDrain)
	})
	return c
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
	tr := &http.Transport{MaxIdleConnsPerHost: testTokens}
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr}
}

// testTokens is the number of connections that a client keeps.
const testTokens = 64

// TestStopAnswersRequestsInFlight guards against a connection that is closed without an
// answer, or in the middle of one, at the end of the drain: of requests that run and of
// requests that wait for an engine.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	const requests = 64
	c := startStopCluster(t, 1, io.Discard, nil)
	hc, addr := keptClient(t), c.Hosts[0].EntryAddress()
	answers := make(chan rawAnswer, requests)
	for i := range requests {
		body := prompt(uuid.NewString())
		body.MaxTokens, body.Stream = 0, i%2 == 0
		go func() {
			answers <- c.post(hc, addr, "/v1/chat/completions", uuid.Must(uuid.NewV7()).String(), body)
		}()
	}
	c.eventually(inForce, "engines run requests", func() bool { return len(c.runsByVersion()) > 0 })
	// The host counts as drained although it had to end requests.
	_ = c.StopHost(c.ctx, 0)
	outcomes := make(map[api.Outcome]int)
	for range requests {
		a := <-answers
		switch {
		case a.err != nil:
			t.Errorf("status %d, connection ended without a complete answer: %v", a.status, a.err)
		case a.failure == nil:
			t.Errorf("status %d without an error: %.100s", a.status, a.text)
		default:
			outcomes[a.failure.Outcome]++
			checkStopAnswer(t, a)
		}
	}
	if outcomes[api.OutcomeNotRun] == 0 || outcomes[api.OutcomeUnknown] == 0 {
		t.Errorf("outcomes %v, want some requests that waited and some that ran", outcomes)
	}
}

// checkStopAnswer checks that an answer tells the caller what to do.
func checkStopAnswer(t *testing.T, a rawAnswer) {
	t.Helper()
	switch {
	case a.failure.Outcome == api.OutcomeNotRun:
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.failure.Code != api.CodeUnavailable {
			t.Errorf("status %d, Retry-After %q, code %s for a request that has not run", a.status, a.header.Get("Retry-After"), a.failure.Code)
		}
	case a.status == http.StatusOK: // the answer had begun
	case a.status != http.StatusBadGateway || a.failure.Code != api.CodeEndpointFailed:
		t.Errorf("status %d, code %s for a request that may have run", a.status, a.failure.Code)
	}
	if !strings.Contains(a.failure.Message, "stopping") {
		t.Errorf("message %q does not give the reason", a.failure.Message)
	}
}
