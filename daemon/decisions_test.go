package daemon_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine"
)

// decisionHosts is the number of hosts in the tests that need only a small cluster.
const decisionHosts = 3

// logBuffer collects the log of a cluster.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// lines returns the lines that contain all the parts.
func (b *logBuffer) lines(parts ...string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
next:
	for line := range strings.Lines(b.buf.String()) {
		for _, p := range parts {
			if !strings.Contains(line, p) {
				continue next
			}
		}
		out = append(out, line)
	}
	return out
}

func newDecisionCluster(t *testing.T, change func(s *config.Settings)) (*cluster, *logBuffer) {
	t.Helper()
	log := &logBuffer{}
	return newClusterOf(t, decisionHosts, log, change), log
}

// explain returns the decisions about a request and their details. The result is
// empty while the host does not know the request.
func (c *cluster) explain(i int, id string) map[string]string {
	out := make(map[string]string)
	data, err := admin.NewClient("http://"+c.Hosts[i].EntryAddress(), demo.OperatorKey, nil).Explain(c.ctx, id)
	if err != nil {
		return out
	}
	var e dispatch.Explanation
	if err := json.Unmarshal(data, &e); err != nil {
		c.t.Fatal(err)
	}
	for _, s := range e.Steps {
		out[s.Decision] += s.Detail + "; "
	}
	return out
}

// TestPlacementOrdersEngines guards against a requested version that stays unloaded
// on all engines, a withdrawn version that stays loaded, and an engine that
// executes a late order of an earlier holder of the placement role.
func TestPlacementOrdersEngines(t *testing.T) {
	c, log := newDecisionCluster(t, func(s *config.Settings) { s.Platform.WeightLoadsPerMinute = 60 })
	engines := engine.NewClient(nil)
	for _, e := range c.Endpoints.Engines {
		if err := engines.SendOrder(c.ctx, e.Addr(), engine.Order{ID: "lost", Kind: engine.OrderUnload, Version: "large-1"}); err != nil {
			t.Fatal(err)
		}
	}
	body := prompt("x")
	body.Model = "large"
	c.eventually(30*time.Second, "large-1 is loaded again and serves", func() bool {
		resp, err := c.sendVia(0, client.Request{Rank: "normal"}, body)
		return err == nil && resp.Receipt.Version == "large-1"
	})
	if len(log.lines("msg=order ", "kind=load", "version=large-1", "result=sent", "reason=")) == 0 {
		t.Error("the log has no order to load large-1 with a reason")
	}
	rejected := 0
	for _, e := range c.Endpoints.Engines {
		err := engines.SendOrder(c.ctx, e.Addr(), engine.Order{ID: "late", Kind: engine.OrderUnload, Version: "large-1"})
		if errors.Is(err, engine.ErrStaleFencing) {
			rejected++
		}
	}
	if rejected == 0 {
		t.Error("no engine rejected a late order")
	}
	c.withdraw("small-1")
	c.eventually(30*time.Second, "small-1 is unloaded everywhere", func() bool { return c.loaded("small-1") == 0 })
}

// loaded returns the number of engines that have a version.
func (c *cluster) loaded(version string) int {
	n := 0
	for _, e := range c.Endpoints.Engines {
		for _, v := range e.Versions() {
			if v == version {
				n++
			}
		}
	}
	return n
}

// TestRequestIsExplained guards against decisions that are missing from the
// explanation of a request.
func TestRequestIsExplained(t *testing.T) {
	c, _ := newDecisionCluster(t, func(*config.Settings) {})
	id := uuid.Must(uuid.NewV7()).String()
	resp, err := c.sendVia(1, client.Request{ID: id}, prompt("x"))
	if err != nil {
		t.Fatal(err)
	}
	steps := c.explain(1, id)
	for _, want := range []string{"resolve", "allowance", "plan", "admission", "endpoint", "end"} {
		if steps[want] == "" {
			t.Errorf("step %s is missing in %v", want, steps)
		}
	}
	if !strings.Contains(steps["plan"], resp.Receipt.Version) || !strings.Contains(steps["endpoint"], "engine-") {
		t.Errorf("the steps do not name version and endpoint: %v", steps)
	}
}
