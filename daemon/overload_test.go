package daemon_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

// TestAllowanceDefersBatchWork guards against declared terms that are not kept:
// deferrable work that raises the bill, urgent work that is deferred, and a raised
// minute without a logged reason. The test first checks that batch work is served
// under the generous terms of the demonstration. A host that has just started has a
// share from the next minute on.
func TestAllowanceDefersBatchWork(t *testing.T) {
	c, log := newDecisionCluster(t, func(*config.Settings) {})
	c.waitBatchServed(80 * time.Second)
	c.apply(resource.Resource{Kind: resource.KindTerms, Name: "terms", Spec: &resource.Terms{PeakPrice: 0.01, StandingPeak: 0.1, Allowance: 0.1}})
	list, err := c.Admin().List(c.ctx, "Terms", "")
	if err != nil {
		t.Fatal(err)
	}
	c.eventually(inForce, "the terms are in force everywhere", func() bool { return c.allHaveRevision(list.Revision) })
	raised := func() int { return len(log.lines("msg=\"minute raised\"", "rank=urgent", "reason=worth_exceeds_rise")) }
	before, n := raised(), 0
	c.eventually(80*time.Second, "urgent work raises the minute with a reason", func() bool {
		if _, err := c.sendVia(n%decisionHosts, client.Request{Rank: "urgent"}, prompt("x")); err != nil {
			t.Errorf("urgent request %d: %v", n, err)
		}
		n++
		return n >= 60 && raised() > before
	})
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	for i := range decisionHosts {
		id := uuid.Must(uuid.NewV7()).String()
		cl := demo.DirectClient(c.Hosts[i].EntryAddress(), demo.TeamKey)
		wg.Go(func() {
			if _, err := cl.Chat(ctx, client.Request{ID: id, Rank: "batch"}, prompt("x")); ctx.Err() == nil {
				t.Errorf("host %d served batch work in the raised minute: %v", i, err)
			}
		})
		c.eventually(10*time.Second, "the batch request is deferred", func() bool {
			return strings.Contains(c.explain(i, id)["allowance"], "deferred until")
		})
	}
}

// waitBatchServed sends one batch request through each host at the same time and
// waits until all have been served.
func (c *cluster) waitBatchServed(bound time.Duration) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, bound)
	defer cancel()
	var wg sync.WaitGroup
	for i, addr := range c.EntryAddresses() {
		wg.Go(func() {
			if _, err := demo.DirectClient(addr, demo.TeamKey).Chat(ctx, client.Request{Rank: "batch"}, prompt("x")); err != nil {
				c.t.Errorf("host %d rejected batch work under generous terms: %v", i, err)
			}
		})
	}
	wg.Wait()
}

// TestFloodLeavesUrgentWorkServed guards against a flood of the least urgent
// requests that starves urgent requests, or that is starved itself. The flood is a
// closed loop: its workers always have more requests waiting than the engines run.
func TestFloodLeavesUrgentWorkServed(t *testing.T) {
	c, _ := newDecisionCluster(t, func(*config.Settings) {})
	c.apply(resource.Resource{Kind: resource.KindTerms, Name: "terms", Spec: &resource.Terms{}})
	ctx, cancel := context.WithCancel(c.ctx)
	var batch, sent atomic.Int64
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	const flood = 240 // ten times the slots of the engines
	for i := range flood {
		cl := demo.DirectClient(c.Hosts[i%decisionHosts].EntryAddress(), demo.OtherTeamKey)
		wg.Go(func() {
			for n := 0; ctx.Err() == nil && n < 1000; n++ {
				sent.Add(1)
				body := prompt(fmt.Sprint("flood ", i, " ", n))
				body.MaxTokens = 24
				if _, err := cl.Chat(ctx, client.Request{Rank: "batch"}, body); err == nil {
					batch.Add(1)
				}
			}
		})
	}
	c.eventually(30*time.Second, "the engines are full", func() bool {
		running := 0
		for _, e := range c.Endpoints.Engines {
			running += e.Running()
		}
		return sent.Load() >= flood && running >= 2*testEngines
	})
	const urgent = 60
	for n := range urgent {
		if _, err := c.sendVia(n%decisionHosts, client.Request{Rank: "urgent"}, prompt(fmt.Sprint("urgent ", n))); err != nil {
			t.Errorf("urgent request %d: %v", n, err)
		}
	}
	if waiting := sent.Load() - batch.Load(); waiting < flood/2 {
		t.Errorf("only %d requests of the flood are waiting, want at least half of its workers", waiting)
	}
	c.eventually(30*time.Second, "the flood gets its minimum share", func() bool { return batch.Load() > 0 })
}
