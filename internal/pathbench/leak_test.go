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
	burst   = 150
	leaving = 90
	// leakBound is the time for goroutines to end after the last request. A
	// guard of silent connections that outlives its request ends by itself only
	// later than this.
	leakBound = 3 * time.Second
	// stacksBytes holds the stacks of all goroutines of the test.
	stacksBytes = 64 << 20
)

// idleFrames mark goroutines of connections that are kept for later requests
// and of periodic work, whose number is not that of requests.
var idleFrames = []string{"net/http.(*persistConn)", "net/http.(*connReader).backgroundRead", "net/http.(*conn).serve", "jsonrpc2", "corianderlever/peer."}

// pathFrames mark goroutines that serve a request. They win over idleFrames.
var pathFrames = []string{"corianderlever/dispatch.", "corianderlever/entry.", "corianderlever/ledger.(*Ledger).Open", "corianderlever/ledger.(*Ledger).Final"}

// periodic marks the work of a host that no request starts.
var periodic = []string{"corianderlever/daemon.every", "corianderlever/daemon.(*dispatchService).followEndpoints", "corianderlever/daemon.(*dispatchService).askEndpoint"}

// TestNoGoroutineLeak guards against goroutines that outlive their request:
// after a burst, and after clients that leave in the middle of a stream or
// while they wait, as many goroutines remain as before.
func TestNoGoroutineLeak(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	c, err := demo.StartCluster(ctx, demo.ClusterOptions{
		Hosts: 3, Engines: 2, Rand: newRand(), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
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
			return errors.Newf("%d goroutines serve requests, %d in all, %d before", path, all, baseline)
		}
		return nil
	})
}

// runBurst sends requests that are served and requests whose clients leave.
func runBurst(ctx context.Context, t *testing.T, entry string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	left := make(chan struct{}, leaving)
	for range burst {
		wg.Go(func() { _ = demoChat(ctx, client, entry, nil) }) // a refusal by the full queue is allowed
	}
	for range leaving {
		wg.Go(func() {
			if errors.Is(demoChat(ctx, client, entry, errLeave), errLeave) {
				left <- struct{}{}
			}
		})
	}
	wg.Wait()
	if len(left) == 0 {
		t.Fatal("no client left in the middle of a stream")
	}
}

var errLeave = errors.New("left in the middle of the stream")

// demoChat sends a streamed request. With leave it breaks off after the first event.
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

// goroutines counts those that serve requests, and all but the ones of idle
// connections and of periodic work.
func goroutines() (path, all int) {
	buf := make([]byte, stacksBytes)
	text := string(buf[:runtime.Stack(buf, true)])
	for stack := range strings.SplitSeq(text, "\n\n") {
		switch {
		case containsAny(stack, periodic):
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
