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
	// waitingConns bounds the requests that are being sent at the same time.
	waitingConns = 256
	// waitingTimeout bounds the time until all requests wait for admission.
	waitingTimeout = 60 * time.Second
	// plannedMetric counts the requests that have reached admission.
	plannedMetric = `corianderlever_decisions_total{decision="plan",result="single"} `
)

// slowEngine returns the options of a deployment whose engine is occupied by one
// request for the whole measurement.
func slowEngine() deploymentOptions {
	return deploymentOptions{
		hosts: 1, engines: 1, concurrency: 1, deadline: 24 * time.Hour,
		engine: fakeengine.Options{
			Versions: []string{version}, Capacity: 1, AnswerTokens: 1000, TokenDelay: time.Second, CacheBlocks: 64,
		},
	}
}

// BenchmarkWaiting measures the memory of a host while waitingRequests wait
// for admission, each on its own connection.
func BenchmarkWaiting(b *testing.B) {
	for b.Loop() {
		benchWaiting(b)
	}
}

func benchWaiting(b *testing.B) {
	r := newDeployment(b, slowEngine())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	before := residentBytes(b, r.procs[0])
	plannedBefore := planned(ctx, b, r.entries[0])
	var wg sync.WaitGroup
	var answered atomic.Int64
	uploads := make(chan struct{}, waitingConns)
	for range waitingRequests {
		uploads <- struct{}{}
		wg.Go(func() {
			if waitForAdmission(ctx, r.entries[0], uploads) {
				answered.Add(1)
			}
		})
	}
	bounded, stop := context.WithTimeout(ctx, waitingTimeout)
	defer stop()
	poll(bounded, b, "all requests wait", func() error {
		if n := planned(ctx, b, r.entries[0]) - plannedBefore; n < waitingRequests {
			return errors.Newf("%d of %d requests have reached admission", n, waitingRequests)
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

// waitForAdmission sends one request on a new connection and waits until ctx is
// done. It reports whether an answer arrived before that.
func waitForAdmission(ctx context.Context, entry string, uploads <-chan struct{}) bool {
	c := newCaller(1)
	defer c.http.CloseIdleConnections()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+chatPath, &uploadBody{Reader: bytes.NewReader(c.plain), uploads: uploads})
	if err != nil {
		return false
	}
	req.ContentLength = int64(len(c.plain))
	req.Header.Set("Authorization", "Bearer "+teamKey)
	resp, err := c.http.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // the content of the answer is not needed
	return true
}

// uploadBody releases the upload slot of a request once its body has been sent.
type uploadBody struct {
	*bytes.Reader
	once    sync.Once
	uploads <-chan struct{}
}

// Close implements io.Closer; the transport calls it after the last byte.
func (s *uploadBody) Close() error {
	s.once.Do(func() { <-s.uploads })
	return nil
}

var _ io.ReadCloser = (*uploadBody)(nil)

// planned reads from the metrics the number of requests that have reached admission.
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
