package pathbench_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/engine/fakeengine"
)

const (
	// waitingRequests is the number of requests that wait for admission at once.
	waitingRequests = 10_000
	// waitingConns bounds the connections that are being opened at once.
	waitingConns = 256
	// waitingTimeout bounds the time until all of them wait.
	waitingTimeout = 60 * time.Second
	// plannedMetric counts the requests that have come as far as admission.
	plannedMetric = `corianderlever_decisions_total{decision="plan",result="single"} `
)

// slow is a stand-in that runs one request for the length of the measurement.
func slow() rigOptions {
	return rigOptions{
		hosts: 1, engines: 1, concurrency: 1, deadline: 24 * time.Hour,
		engine: fakeengine.Options{
			Versions: []string{version}, Capacity: 1, AnswerTokens: 1000, TokenDelay: time.Second, CacheBlocks: 64,
		},
	}
}

// BenchmarkWaiting measures the memory of a host while waitingRequests wait
// for admission, each on a connection of its own.
func BenchmarkWaiting(b *testing.B) {
	for b.Loop() {
		benchWaiting(b)
	}
}

func benchWaiting(b *testing.B) {
	r := newRig(b, slow())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := residentBytes(b, r.procs[0])
	served := planned(ctx, b, r.entries[0])
	var wg sync.WaitGroup
	var answered atomic.Int64
	sending := make(chan struct{}, waitingConns)
	for range waitingRequests {
		sending <- struct{}{}
		wg.Go(func() {
			if waitForAdmission(ctx, r.entries[0], sending) {
				answered.Add(1)
			}
		})
	}
	bounded, stop := context.WithTimeout(ctx, waitingTimeout)
	defer stop()
	poll(bounded, b, "all requests wait", func() error {
		if n := planned(ctx, b, r.entries[0]) - served; n < waitingRequests {
			return errors.Newf("%d of %d have arrived", n, waitingRequests)
		}
		return nil
	})
	after := residentBytes(b, r.procs[0])
	if n := answered.Load(); n > 0 {
		b.Fatalf("%d requests were answered instead of waiting", n)
	}
	b.ReportMetric((after-before)/waitingRequests, "rss-B/waiting")
	b.ReportMetric(after/(1<<20), "rss-MiB")
	cancel()
	wg.Wait()
}

// waitForAdmission sends one request on a new connection and stays until ctx
// ends. It reports whether an answer came before.
func waitForAdmission(ctx context.Context, entry string, sending <-chan struct{}) bool {
	c := newCaller(1)
	defer c.http.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+chatPath, &sentBody{Reader: bytes.NewReader(c.plain), sending: sending})
	if err != nil {
		return false
	}
	req.ContentLength = int64(len(c.plain))
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the fact that an answer came matters
	return true
}

// sentBody frees the place of a request once its body has been sent.
type sentBody struct {
	*bytes.Reader
	once    sync.Once
	sending <-chan struct{}
}

// Close implements io.Closer; the transport calls it after the last byte.
func (s *sentBody) Close() error {
	s.once.Do(func() { <-s.sending })
	return nil
}

var _ io.ReadCloser = (*sentBody)(nil)

// planned reads the number of requests that have come as far as admission.
func planned(ctx context.Context, tb testing.TB, entry string) int {
	tb.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/metrics", nil)
	check(tb, err)
	resp, err := http.DefaultClient.Do(req)
	check(tb, err)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	check(tb, err)
	_, rest, ok := bytes.Cut(data, []byte(plannedMetric))
	if !ok {
		return 0
	}
	value, _, _ := bytes.Cut(rest, []byte("\n"))
	n, err := strconv.ParseFloat(string(value), 64)
	check(tb, err)
	return int(n)
}
