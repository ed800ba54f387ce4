package pathbench_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

const (
	// burstClients read their answers to the end; leavingClients disconnect.
	burstClients   = 150
	leavingClients = 90
	// leakBound bounds the time in which goroutines end after the last request. It
	// is shorter than the time after which a detector of stalled connections that
	// outlives its request ends by itself.
	leakBound = 3 * time.Second
	// stacksBytes is large enough for the stacks of all goroutines of the test.
	stacksBytes = 64 << 20
)

// idleFrames identify goroutines of idle connections and of peer calls, whose
// number does not depend on the number of requests.
var idleFrames = []string{"net/http.(*persistConn)", "net/http.(*connReader).backgroundRead", "net/http.(*conn).serve", "jsonrpc2", "corianderlever/peer."}

// pathFrames identify goroutines that serve a request. They take precedence over
// idleFrames.
var pathFrames = []string{"corianderlever/dispatch.", "corianderlever/entry.", "corianderlever/ledger.(*Ledger).Open", "corianderlever/ledger.(*Ledger).Finish"}

// periodicFrames identify periodic work of a host, which no request starts.
var periodicFrames = []string{"corianderlever/daemon.every", "corianderlever/daemon.(*dispatchService).pollEndpoints", "corianderlever/daemon.(*dispatchService).pollEndpoint"}

// TestNoGoroutineLeak guards against goroutines that outlive their request.
// After a burst in which some clients disconnect in the middle of a stream or
// while they wait, no more goroutines may remain than before.
func TestNoGoroutineLeak(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := demo.StartCluster(ctx, demo.ClusterOptions{
		Hosts: 3, Engines: 2, Rand: newSeededRand(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		EditSettings: func(_ int, s *config.Settings) { s.Drain.EntryTTL = resource.Duration(50 * time.Millisecond) },
	})
	check(t, err)
	t.Cleanup(func() { _ = c.Stop(context.WithoutCancel(ctx)) })
	entry := c.EntryAddresses()[0]
	poll(ctx, t, "host serves", func() error { return demoChat(ctx, http.DefaultClient, entry, nil) })
	baseline := -1
	poll(ctx, t, "host is idle", func() error {
		var path int
		if path, baseline = goroutines(); path > 0 {
			return errors.Newf("%d goroutines serve requests", path)
		}
		return nil
	})
	runBurst(ctx, t, entry)
	bounded, stop := context.WithTimeout(ctx, leakBound)
	defer stop()
	poll(bounded, t, "goroutines back to the baseline", func() error {
		path, all := goroutines()
		if path > 0 || all > baseline {
			return errors.Newf("%d goroutines serve requests, want 0; %d in total, want at most %d", path, all, baseline)
		}
		return nil
	})
}

// runBurst sends requests concurrently, some from clients that disconnect during
// the stream.
func runBurst(ctx context.Context, t *testing.T, entry string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	left := make(chan struct{}, leavingClients)
	for range burstClients {
		wg.Go(func() { _ = demoChat(ctx, client, entry, nil) }) // a rejection by the full queue is allowed
	}
	for range leavingClients {
		wg.Go(func() {
			if errors.Is(demoChat(ctx, client, entry, errLeave), errLeave) {
				left <- struct{}{}
			}
		})
	}
	wg.Wait()
	if len(left) == 0 {
		t.Fatal("no client disconnected in the middle of a stream")
	}
}

var errLeave = errors.New("disconnected in the middle of the stream")

// demoChat sends a streamed request. If leave is not nil, it disconnects after
// the first data of the stream and returns leave.
func demoChat(ctx context.Context, client *http.Client, entry string, leave error) error {
	body := []byte(`{"model":"small","stream":true,"messages":[{"role":"user","content":"a"}]}`)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+chatPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+demo.TeamKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("status %d", resp.StatusCode)
	}
	if leave != nil {
		if _, err := resp.Body.Read(make([]byte, 64)); err != nil {
			return err
		}
		return leave
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// goroutines returns the number of goroutines that serve requests, and the
// number of all goroutines except those of idle connections and periodic work.
func goroutines() (path, all int) {
	buf := make([]byte, stacksBytes)
	text := string(buf[:runtime.Stack(buf, true)])
	for stack := range strings.SplitSeq(text, "\n\n") {
		switch {
		case containsAny(stack, periodicFrames):
		case containsAny(stack, pathFrames):
			path++
			all++
		case !containsAny(stack, idleFrames):
			all++
		}
	}
	return path, all
}

func containsAny(text string, parts []string) bool {
	for _, p := range parts {
		if strings.Contains(text, p) {
			return true
		}
	}
	return false
}
