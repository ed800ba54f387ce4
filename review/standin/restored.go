package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	restoredHosts     = 3
	restoredEndpoints = 3
	// revocationTime is RevocationMs in the settings of the hosts.
	revocationTime = 5 * time.Second
	// awayTime is how long the store is away before it comes back from the copy.
	awayTime = 2 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 500 * time.Millisecond
	// writeAgain is the time after the return of the store at which the operator writes
	// again what the copy lacks.
	writeAgain = 2 * time.Second
	callPause  = 20 * time.Millisecond
)

// Prefixes of the ids of requests, by the key that they carry.
const (
	revokedPrefix = "revoked-"
	validPrefix   = "valid-"
)

// restored takes a key away, waits for RevocationMs and restores the store from a copy made
// before, while one host is restarted. Rule CONFIG: no request with that key runs any more.
func restored(ctx context.Context, rec *recorder) (held bool, err error) {
	d, err := platformtest.NewDeployment(restoredEndpoints, 0)
	if err != nil {
		return false, err
	}
	defer d.Close()
	go d.SendHeartbeats(d.PlainEndpoints...)
	c, err := startCluster(ctx, d, restoredHosts, func(int) string { return d.StoreAddress() })
	if c != nil {
		defer c.close()
	}
	if err != nil {
		return false, err
	}
	sleep(ctx, time.Second)
	backup := d.Store.Copy()
	rec.add("the store's copy is made; it allows both keys")
	sleep(ctx, time.Second)
	d.Configure(platformtest.ValidKey)
	revoked := time.Now()
	rec.add("the store acknowledges a configuration without the key %s", platformtest.RevokedKey)
	config, err := configuration(ctx, d)
	if err != nil {
		return false, err
	}
	sleep(ctx, revocationTime+200*time.Millisecond)
	callCtx, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	callers := startCallers(callCtx, c, rec)
	sleep(ctx, time.Second)
	if troubled() {
		h := c.hosts[0]
		rec.add("the store is away")
		d.Store.Down.Store(true)
		sleep(ctx, awayTime-restartDelay/2)
		rec.add("%s is killed", h.name)
		h.kill()
		sleep(ctx, restartDelay/2)
		d.Store.Restore(backup)
		d.Store.Down.Store(false)
		rec.add("the store is back from the copy")
		sleep(ctx, restartDelay/2)
		if err := h.start(); err != nil {
			return false, err
		}
		rec.add("%s is started again", h.name)
		sleep(ctx, writeAgain-restartDelay/2)
		d.Store.Put(config.Key, config.Value)
		rec.add("the operator has written the configuration again")
	}
	sleep(ctx, 2*time.Second)
	stopCalls()
	callers.Wait()
	return checkRevoked(d, revoked, rec)
}

// configuration returns the operator's configuration in the store.
func configuration(ctx context.Context, d *platformtest.Deployment) (kv.Entry, error) {
	entries, _, err := d.Store.List(ctx, "")
	for _, e := range entries {
		if kind, _ := (platform.Records{}).Classify(e.Key); kind == control.KindConfig {
			return e, nil
		}
	}
	return kv.Entry{}, fmt.Errorf("no configuration in the store: %w", err)
}

// startCallers sends requests with both keys to all hosts until ctx ends.
func startCallers(ctx context.Context, c *cluster, rec *recorder) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		for prefix, key := range map[string]string{revokedPrefix: platformtest.RevokedKey, validPrefix: platformtest.ValidKey} {
			wg.Go(func() {
				client := &http.Client{Timeout: 2 * time.Second}
				defer client.CloseIdleConnections()
				for n := 0; ctx.Err() == nil; n++ {
					id := fmt.Sprintf("%s%s-%d", prefix, h.name, n)
					sent := time.Now()
					rec.addAt(sent, "sent %s answered %s", id, lookUp(client, h, id, key))
					sleep(ctx, callPause)
				}
			})
		}
	}
	return &wg
}

// lookUp sends a request and returns the status of its answer.
func lookUp(client *http.Client, h *host, id, key string) string {
	req, err := platformtest.NewRequest(context.Background(), http.MethodGet, h.addresses.Frontend, platformtest.LookupPath, id, key, time.Second)
	if err != nil {
		return err.Error()
	}
	resp, err := client.Do(req)
	if err != nil {
		return "nothing"
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return "in part"
	}
	return fmt.Sprint(resp.StatusCode)
}

// checkRevoked looks for runs of requests with the revoked key. All were sent later than
// RevocationMs after the acknowledgement.
func checkRevoked(d *platformtest.Deployment, revoked time.Time, rec *recorder) (held bool, err error) {
	ran, valid := 0, 0
	for _, e := range d.PlainEndpoints {
		for _, r := range e.Runs() {
			switch {
			case strings.HasPrefix(r.Attempt, revokedPrefix):
				ran++
				rec.addAt(r.At, "%s runs at %s, %.3f s after the acknowledgement", r.Attempt, e.ID, r.At.Sub(revoked).Seconds())
			case strings.HasPrefix(r.Attempt, validPrefix):
				valid++
			}
		}
	}
	rec.add("%d requests with the valid key ran, %d with the revoked one", valid, ran)
	if valid == 0 {
		return false, fmt.Errorf("no request with the valid key ran")
	}
	return ran == 0, nil
}
