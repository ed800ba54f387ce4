package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/control"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	restoreHosts, restoreTrials = 6, 5
	// revocationTime is RevocationMs.
	revocationTime = 5 * time.Second
	// copyLead is the time from the copy of the store to the removal of the key.
	copyLead = 500 * time.Millisecond
	// restartAfter is the time from the removal to the SIGTERM of one host, which needs some
	// seconds to stop.
	restartAfter = 2500 * time.Millisecond
	// awayTime is the time for which the store is away in the drill.
	awayTime = 300 * time.Millisecond
	// rewriteTime is the time from the return of the store to the moment at which the operator
	// has written again what the store has lost.
	rewriteTime = time.Second
	// observeTime is the time after that in which requests are sent.
	observeTime = time.Second
)

// playRestore takes a key away, restarts one host as planned work, and in between restores the
// store from a copy that is some seconds old. The rule CONFIG says that no host may accept the
// key any more, in touch or not.
func playRestore(ctx context.Context, r *run) error {
	c, err := newCluster(ctx, r, restoreHosts)
	defer c.close()
	if err != nil {
		return err
	}
	broken := 0
	for n := range restoreTrials {
		late, err := c.restoreAfterRevocation(ctx, n)
		if err != nil {
			return err
		}
		if late > 0 {
			broken++
		}
	}
	r.note("in %d of %d trials requests with the key ran that were sent over %v after the acknowledgement", broken, restoreTrials, revocationTime)
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG in %d of %d trials", errBroken, broken, restoreTrials)
	}
	return nil
}

// configuration returns the entry of the configuration in force.
func (c *cluster) configuration(ctx context.Context) (kv.Entry, error) {
	entries, _, err := c.d.Store.List(ctx, "")
	for _, e := range entries {
		if kind, _ := (platform.Records{}).Classify(e.Key); kind == control.KindConfig {
			return e, nil
		}
	}
	return kv.Entry{}, errors.CombineErrors(err, kv.ErrNotFound)
}

// restoreAfterRevocation plays one trial. It returns the number of requests that ran although
// they were sent too late.
func (c *cluster) restoreAfterRevocation(ctx context.Context, n int) (late int, err error) {
	c.d.Configure(platformtest.ValidKey, platformtest.RevokedKey)
	if !wait(ctx, contactTime) {
		return 0, ctx.Err()
	}
	backup, copied := c.d.Store.Copy(), time.Now()
	if !wait(ctx, copyLead) {
		return 0, ctx.Err()
	}
	c.d.Configure(platformtest.ValidKey)
	acknowledged := time.Now()
	c.run.noteAt(acknowledged, "trial %d: acknowledged that the key is taken away", n)
	if !wait(ctx, restartAfter) {
		return 0, ctx.Err()
	}
	restarted := c.hosts[0] // a seed, which lists the store when it starts
	c.run.note("trial %d: %s gets SIGTERM", n, restarted.name)
	restarted.signal(syscall.SIGTERM)
	if err := restarted.awaitEnd(ctx); err != nil {
		return 0, err
	}
	c.run.note("trial %d: %s has ended", n, restarted.name)
	rewrite := time.Now().Add(awayTime + rewriteTime)
	if c.run.trouble {
		newest, err := c.configuration(ctx)
		if err != nil {
			return 0, err
		}
		c.d.Store.Down.Store(true)
		c.d.Store.Restore(backup)
		wait(ctx, awayTime)
		c.d.Store.Down.Store(false)
		c.run.note("trial %d: the store is back from a copy that is %v old, era %d", n, time.Since(copied).Round(100*time.Millisecond), c.d.Store.Era()+1)
		defer time.AfterFunc(time.Until(rewrite), func() {
			c.d.Store.Put(newest.Key, newest.Value)
			c.run.note("trial %d: the operator has written the configuration again", n)
		}).Stop()
	}
	if err := restarted.start(); err != nil {
		return 0, err
	}
	c.run.note("trial %d: %s starts again", n, restarted.name)
	callers := newCaller(fmt.Sprint("t", n))
	sendCtx, stop := context.WithDeadline(ctx, rewrite.Add(observeTime))
	defer stop()
	var wg sync.WaitGroup
	for _, h := range c.hosts {
		wg.Go(func() { callers.send(sendCtx, h) })
	}
	wg.Wait()
	if ctx.Err() != nil {
		return 0, ctx.Err()
	}
	return c.countLate(n, callers.take(), acknowledged, revocationTime), nil
}
