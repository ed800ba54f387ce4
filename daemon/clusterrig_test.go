package daemon_test

import (
	"context"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/resource"
)

const (
	testHosts   = 7
	testEngines = 3
	// inForce is the time within which a change is in force everywhere.
	inForce = 4 * time.Second
	// leavingBound is the time after which a leaving endpoint gets no new requests.
	leavingBound = 3 * time.Second
	// longAnswer is the number of tokens of an answer that takes longer than a host
	// waits before it closes connections.
	longAnswer  = 500
	testTimeout = 2 * time.Minute
)

// cluster is a deployment under test.
type cluster struct {
	*demo.Cluster
	t   *testing.T
	ctx context.Context
}

func newCluster(t *testing.T) *cluster {
	t.Helper()
	return startCluster(t, testHosts, longAnswer, io.Discard, func(*config.Settings) {})
}

// newClusterOf starts a cluster with the given number of hosts, changed settings and
// short answers. Its log goes to out.
func newClusterOf(t *testing.T, hosts int, out io.Writer, change func(s *config.Settings)) *cluster {
	t.Helper()
	return startCluster(t, hosts, 0, out, change)
}

func startCluster(t *testing.T, hosts, answerTokens int, out io.Writer, change func(s *config.Settings)) *cluster {
	t.Helper()
	return startClusterWith(t, demo.ClusterOptions{Hosts: hosts, AnswerTokens: answerTokens}, out, change)
}

// startClusterWith starts a cluster with some options, to which it adds the common ones.
func startClusterWith(t *testing.T, opts demo.ClusterOptions, out io.Writer, change func(s *config.Settings)) *cluster {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	if os.Getenv("LEVER_TEST_LOG") != "" {
		out = io.MultiWriter(out, os.Stderr)
	}
	opts.Engines, opts.Rand, opts.Logger = testEngines, rand.New(rand.NewPCG(1, 2)), slog.New(slog.NewTextHandler(out, nil))
	opts.EditSettings = func(_ int, s *config.Settings) {
		s.Drain.EntryTTL = resource.Duration(500 * time.Millisecond)
		change(s)
	}
	c, err := demo.StartCluster(ctx, opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		defer cancel()
		for _, f := range c.Faults {
			f.ClearAll()
		}
		if err := c.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	return &cluster{Cluster: c, t: t, ctx: ctx}
}

// client returns a client of the i-th host, or of all hosts if i < 0.
func (c *cluster) client(i, attempts int) *client.Client {
	seeds := c.EntryAddresses()
	if i >= 0 {
		seeds = []string{c.Hosts[i].EntryAddress()}
	}
	return client.New(client.Options{Seeds: seeds, Key: demo.TeamKey, Attempts: attempts})
}

// sendVia sends one request through one host, regardless of the entry list.
func (c *cluster) sendVia(i int, meta client.Request, body api.ChatRequest) (api.ChatResponse, error) {
	return demo.DirectClient(c.Hosts[i].EntryAddress(), demo.TeamKey).Chat(c.ctx, meta, body)
}

func (c *cluster) apply(set ...resource.Resource) {
	c.t.Helper()
	if err := c.Apply(c.ctx, set); err != nil {
		c.t.Fatal(err)
	}
}

func (c *cluster) resource(kind resource.Kind, name string) resource.Resource {
	c.t.Helper()
	list, err := c.Admin().List(c.ctx, string(kind), name)
	if err != nil || len(list.Resources) != 1 {
		c.t.Fatalf("%s %s: %v, %v", kind, name, list.Resources, err)
	}
	return list.Resources[0]
}

func (c *cluster) withdraw(version string) {
	r := c.resource(resource.KindVersion, version)
	r.Spec.(*resource.Version).State = resource.VersionWithdrawn
	c.apply(r)
}

// eventually polls until ok returns true, and fails the test after the bound.
func (c *cluster) eventually(bound time.Duration, what string, ok func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(bound)
	for !ok() {
		if time.Now().After(deadline) {
			c.t.Fatalf("did not happen within %v: %s", bound, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func prompt(text string) api.ChatRequest {
	return api.ChatRequest{Model: "small", MaxTokens: 4, Messages: []api.Message{{Role: "user", Content: text}}}
}

// runsByVersion returns how often each version ran.
func (c *cluster) runsByVersion() map[string]int {
	out := make(map[string]int)
	for _, e := range c.Endpoints.Engines {
		for _, r := range e.Runs() {
			out[r.Version]++
		}
	}
	return out
}

func outcomeOf(err error) api.Outcome {
	var refused *api.Error
	if errors.As(err, &refused) {
		return refused.Outcome
	}
	return api.OutcomeUnknown
}

// longResult is the result of a long answer.
type longResult struct {
	id   string
	cost float64
	err  error
}

// startLongAnswer requests a long answer from one host and returns after its first
// event.
func (c *cluster) startLongAnswer(i int) <-chan longResult {
	begun := make(chan struct{})
	out := make(chan longResult, 1)
	cl := demo.DirectClient(c.Hosts[i].EntryAddress(), demo.TeamKey)
	go func() {
		r := longResult{id: uuid.Must(uuid.NewV7()).String()}
		body := prompt("long")
		body.MaxTokens = 0
		var once sync.Once
		var resp api.ChatResponse
		resp, r.err = cl.Stream(c.ctx, client.Request{ID: r.id}, body, func(string) error {
			once.Do(func() { close(begun) })
			return nil
		})
		once.Do(func() { close(begun) })
		if r.err == nil {
			r.cost = resp.Receipt.Cost
		}
		out <- r
	}()
	<-begun
	return out
}

// checkBill compares the bill with the callers' receipts, costs by request id.
func (c *cluster) checkBill(served map[string]float64) {
	c.t.Helper()
	want := 0.0
	for _, cost := range served {
		want += cost
	}
	got, requests := 0.0, int64(0)
	c.eventually(10*time.Second, "the bill matches the receipts", func() bool {
		bill, err := c.Admin().Bill(c.ctx, time.Now().Add(-time.Hour), time.Now().Add(time.Hour), nil)
		if err != nil || len(bill.Rows) != 1 {
			return false
		}
		got, requests = bill.Rows[0].Cost, bill.Rows[0].Requests
		return requests >= int64(len(served))
	})
	if requests != int64(len(served)) || got-want > 1e-6 || want-got > 1e-6 {
		c.t.Errorf("billed %d requests at %.6f, callers have %d receipts over %.6f", requests, got, len(served), want)
	}
}

// waitInForce waits until all hosts have the newest revision, and fails the test
// after the bound.
func (c *cluster) waitInForce(bound time.Duration) {
	c.t.Helper()
	list, err := c.Admin().List(c.ctx, "Terms", "")
	if err != nil {
		c.t.Fatal(err)
	}
	c.eventually(bound, "all hosts have the revision", func() bool { return c.allHaveRevision(list.Revision) })
}

func (c *cluster) allHaveRevision(revision int64) bool {
	for _, h := range c.Hosts {
		list, err := admin.NewClient("http://"+h.EntryAddress(), demo.OperatorKey, nil).List(c.ctx, "Terms", "")
		if err != nil || list.Revision < revision {
			return false
		}
	}
	return true
}
