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
	// readersHosts is the number of hosts. One of them at a time is cut off from the store, in
	// turn those of the cutHosts that call it most.
	readersHosts, cutHosts = 9, 3
	// applyTime is ConfigApplyMs, contactTime is ContactMs.
	applyTime, contactTime = 2 * time.Second, 3 * time.Second
	// trials is the number of times that the host is cut off, trialTime how long.
	trials    = 13
	trialTime = 3 * time.Second
	// changeDelay is the time from the cut to the change of the configuration.
	changeDelay = 20 * time.Millisecond
	// calmTime is the least time before the next cut. It grows by calmStep from trial to trial,
	// so that the cuts meet the hosts' periodic calls at different moments.
	calmTime = contactTime + 300*time.Millisecond
	calmStep = 70 * time.Millisecond
)

// playReaders cuts one host, of those that call the store most, off from the store, without a
// reset, and then takes a key away. The rule CONFIG bounds the time after which all others, which
// are in touch, must refuse the key. The next cut meets the next host, since the hosts that
// followed the one before have left it.
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
	for _, h := range byCalls {
		r.note("%s has called the store %d times in %v", h.name, h.gate.calls.Load(), contactTime)
	}
	broken := 0
	for n := range trials {
		cut := byCalls[n%cutHosts]
		inTouch := slices.DeleteFunc(slices.Clone(byCalls), func(h *host) bool { return h == cut })
		late, err := c.revokeDuringCut(ctx, n, cut, inTouch)
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

// revokeDuringCut plays one trial. It returns the number of requests that ran although they
// were sent too late.
func (c *cluster) revokeDuringCut(ctx context.Context, n int, cut *host, inTouch []*host) (late int, err error) {
	c.d.Configure(platformtest.ValidKey, platformtest.RevokedKey)
	if !wait(ctx, calmTime+time.Duration(n)*calmStep) {
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
		cut.gate.close()
		c.run.note("trial %d: %s is cut off from the store", n, cut.name)
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
	cut.gate.open()
	if !ok {
		return 0, ctx.Err()
	}
	return c.countLate(n, callers.take(), acknowledged, applyTime), nil
}
