package daemon_test

import (
	"context"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

// Bounds of tests with generated load.
const (
	workers = 12
	// verdictBound is the time for a verdict under this load. recoveryBound is the
	// time until a verdict ends, for which only a hundredth of the load gives
	// evidence.
	verdictBound  = 30 * time.Second
	recoveryBound = 60 * time.Second
)

// startLoad sends urgent requests through all running hosts until stop is called.
func (c *cluster) startLoad() (stop func()) {
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	hosts := c.EntryAddresses()
	for i := range workers {
		wg.Go(func() {
			cl := client.New(client.Options{Seeds: []string{hosts[i%len(hosts)]}, Key: demo.TeamKey, Attempts: 3})
			for n := 0; ctx.Err() == nil; n++ {
				// Errors while a host stops or a roll-out advances are not tested here.
				_, _ = cl.Chat(ctx, client.Request{Rank: "urgent"}, prompt(fmt.Sprint("wheel ", i, " ", n)))
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

func (c *cluster) setQuality(version string, quality float64) {
	for _, e := range c.Endpoints.Engines {
		e.SetQuality(version, quality)
	}
}

func (c *cluster) versionState(name string) resource.VersionState {
	return c.resource(resource.KindVersion, name).Spec.(*resource.Version).State
}

func manyRatings(s *config.Settings) { s.Platform.RatingsPerSecond = 1000 }

// TestBadVersionLosesExposureAndRecovers guards against a bad version that keeps
// its exposure on some host, a verdict that is not written to the configuration,
// and a verdict that does not end although the quality has recovered.
func TestBadVersionLosesExposureAndRecovers(t *testing.T) {
	c, log := newDecisionCluster(t, manyRatings)
	stop := c.startLoad()
	defer func() { stop() }()
	c.eventually(verdictBound, "small-2 has served", func() bool { return c.runsByVersion()["small-2"] >= 200 })
	c.setQuality("small-2", 0.1)
	c.eventually(verdictBound, "small-2 is suspect", func() bool { return c.versionState("small-2") == resource.VersionSuspect })
	if len(log.lines("msg=\"version suspect\"", "version=small-2", "rated=")) == 0 {
		t.Error("the verdict is not in the log")
	}
	stop()
	list, err := c.Admin().List(c.ctx, "Terms", "")
	if err != nil {
		t.Fatal(err)
	}
	c.eventually(inForce, "the verdict is in force everywhere", func() bool { return c.allHaveRevision(list.Revision) })
	const each = 100
	for i := range decisionHosts {
		exposed := 0
		for range each {
			resp, err := c.sendVia(i, client.Request{Rank: "urgent"}, prompt("x"))
			if err != nil {
				t.Fatalf("host %d: %v", i, err)
			}
			if resp.Receipt.Version == "small-2" {
				exposed++
			}
		}
		// One in a hundred is expected. The probability of more than 8 is below 1e-5.
		if exposed > 8 {
			t.Errorf("host %d: %d of %d requests ran on the suspect version", i, exposed, each)
		}
	}
	c.setQuality("small-2", 1)
	stop = c.startLoad()
	c.eventually(recoveryBound, "small-2 serves again", func() bool { return c.versionState("small-2") == resource.VersionServing })
}

func (c *cluster) rollout() *resource.Rollout {
	return c.resource(resource.KindRollout, "small").Spec.(*resource.Rollout)
}

func (c *cluster) startRollout(from, to string) {
	c.apply(resource.Resource{Kind: resource.KindRollout, Name: "small", Spec: &resource.Rollout{
		Model: "small", From: from, To: to, Steps: []float64{0.3, 0.6, 1},
		StepDuration: resource.Duration(time.Second), State: resource.RolloutRunning,
	}})
}

// roleHolder returns the index of the host that took a role last. Which host takes it
// first depends on how fast the hosts start.
func roleHolder(t *testing.T, log *logBuffer, role string) int {
	t.Helper()
	taken := log.lines("role="+role, "msg=\"role taken\"")
	if len(taken) == 0 {
		t.Fatalf("no host holds the role %s", role)
	}
	self := regexp.MustCompile(`self=entry-(\d+)`).FindStringSubmatch(taken[len(taken)-1])
	if self == nil {
		t.Fatalf("no host in %q", taken[len(taken)-1])
	}
	n, err := strconv.Atoi(self[1])
	if err != nil {
		t.Fatal(err)
	}
	return n - 1
}

// TestRolloutAdvancesSurvivesItsHostAndRollsBack guards against a roll-out that
// does not advance, that stops when the host holding its role stops, or that goes
// on with a bad version.
func TestRolloutAdvancesSurvivesItsHostAndRollsBack(t *testing.T) {
	c, log := newDecisionCluster(t, manyRatings)
	c.setQuality("small-1", 0.9)
	c.setQuality("small-2", 0.9)
	stop := c.startLoad()
	defer func() { stop() }()
	c.startRollout("small-2", "small-1")
	c.eventually(verdictBound, "the first step passes", func() bool { return c.rollout().Step > 0 })
	if err := c.StopHost(c.ctx, roleHolder(t, log, "rollouts")); err != nil {
		t.Fatal(err)
	}
	c.eventually(2*verdictBound, "the roll-out is done", func() bool { return c.rollout().State == resource.RolloutDone })
	if len(log.lines("role=rollouts", "msg=\"role taken\"", "self=entry-")) < 2 {
		t.Error("no other host took the role")
	}
	c.setQuality("small-2", 0.2)
	c.startRollout("small-1", "small-2")
	c.eventually(verdictBound, "the bad version is rolled back", func() bool { return c.rollout().State == resource.RolloutRolledBack })
	if r := c.rollout(); r.Reason == "" {
		t.Errorf("roll-back without a reason: %+v", r)
	}
}
