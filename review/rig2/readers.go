package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	// readersHosts is the number of hosts, turnedAway that of those that the store turns away:
	// a third of the hosts.
	readersHosts, turnedAway = 9, 3
	// applyTime is ConfigApplyMs, contactTime is ContactMs.
	applyTime, contactTime = 2 * time.Second, 3 * time.Second
	// trials is the number of times that the store turns hosts away, trialTime how long.
	trials    = 9
	trialTime = 4500 * time.Millisecond
	// changeDelay is the time from then to the change of the configuration.
	changeDelay = 20 * time.Millisecond
	// calmTime is the time before the store turns hosts away again.
	calmTime = contactTime + 2*time.Second
)

// playReaders lets the store turn away a third of the hosts, those that call it most, and then
// takes a key away. The rule CONFIG bounds the time after which the other hosts, which are in
// touch, must refuse the key.
func playReaders(ctx context.Context, r *run) error {
	c, err := newCluster(ctx, r, readersHosts)
	defer c.close()
	if err != nil {
		return err
	}
	if !wait(ctx, contactTime) {
		return ctx.Err()
	}
	for _, h := range c.hosts {
		h.gate.calls.Store(0)
	}
	if !wait(ctx, contactTime) {
		return ctx.Err()
	}
	byCalls := slices.Clone(c.hosts)
	slices.SortStableFunc(byCalls, func(a, b *host) int { return int(b.gate.calls.Load() - a.gate.calls.Load()) })
	away, inTouch := byCalls[:turnedAway], byCalls[turnedAway:]
	for _, h := range byCalls {
		r.note("%s has called the store %d times in %v", h.name, h.gate.calls.Load(), contactTime)
	}
	broken := 0
	for n := range trials {
		late, err := c.revokeWhileAway(ctx, n, away, inTouch)
		if err != nil {
			return err
		}
		if late > 0 {
			broken++
		}
	}
	r.note("in %d of %d trials requests with the key ran that were sent over %v after the acknowledgement", broken, trials, applyTime)
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG in %d of %d trials", errBroken, broken, trials)
	}
	return nil
}

// revokeWhileAway plays one trial. It returns the number of requests that ran although they
// were sent too late.
func (c *cluster) revokeWhileAway(ctx context.Context, n int, away, inTouch []*host) (late int, err error) {
	c.d.Configure(platformtest.ValidKey, platformtest.RevokedKey)
	if !wait(ctx, calmTime) {
		return 0, ctx.Err()
	}
	callers := newCaller(fmt.Sprint("t", n))
	sendCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for _, h := range inTouch {
		wg.Go(func() { callers.send(sendCtx, h) })
	}
	if c.run.trouble {
		for _, h := range away {
			h.gate.close()
		}
		c.run.note("trial %d: the store turns %d of %d hosts away", n, len(away), len(c.hosts))
	}
	if !wait(ctx, changeDelay) {
		return 0, ctx.Err()
	}
	c.d.Configure(platformtest.ValidKey)
	acknowledged := time.Now()
	c.run.noteAt(acknowledged, "trial %d: acknowledged that the key is taken away", n)
	ok := wait(ctx, trialTime)
	stop()
	wg.Wait()
	for _, h := range away {
		h.gate.open()
	}
	if !ok {
		return 0, ctx.Err()
	}
	return c.countLate(n, callers.take(), acknowledged, applyTime), nil
}
