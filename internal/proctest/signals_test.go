package proctest_test

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/internal/proctest"
)

const (
	// hangupInterval is the time between two SIGHUP of a series.
	hangupInterval = 10 * time.Millisecond
	// servingHangups is the number of SIGHUP to a host that serves.
	servingHangups = 5
)

// TestHangupEndsNoHost guards against a host that SIGHUP ends: right after its start, while
// it serves, or during its drain, with requests in flight.
func TestHangupEndsNoHost(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	for name, disturb := range map[string]func(tr *testRun, host *proctest.Process){
		"start": func(tr *testRun, host *proctest.Process) {
			tr.must(host.Terminate(tr.ctx))
			tr.must(host.Launch(tr.ctx))
			tr.must(host.Hangup())
			tr.must(host.WaitReady(tr.ctx))
			tr.mustChat(tr.startChat())
		},
		"serving": func(tr *testRun, host *proctest.Process) {
			answer := tr.startChat()
			for range servingHangups {
				tr.must(host.Hangup())
				time.Sleep(hangupInterval)
			}
			tr.mustChat(answer)
			tr.mustChat(tr.startChat())
		},
		"drain": func(tr *testRun, host *proctest.Process) {
			answer := tr.startChat()
			stop := tr.hangUpUntilExit(host)
			tr.must(host.Terminate(tr.ctx))
			stop()
			tr.mustChat(answer)
		},
	} {
		t.Run(name, func(t *testing.T) {
			tr := newSingleHost(t)
			disturb(tr, tr.Hosts[0])
		})
	}
}

// newSingleHost starts a deployment of one host.
func newSingleHost(t *testing.T) *testRun {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	dir := t.TempDir()
	binary, err := proctest.Build(ctx, dir)
	if err != nil {
		t.Fatal(err)
	}
	c, err := proctest.Start(ctx, binary, dir, 1, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		c.Close()
		if t.Failed() {
			log, err := os.ReadFile(c.Hosts[0].Log)
			t.Logf("log of the host, %v:\n%s", err, log)
		}
	})
	list, err := demo.Resources(c.Endpoints)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := c.Apply(ctx, 0, list...); err != nil {
		t.Fatal(err)
	}
	tr := &testRun{Cluster: c, t: t, ctx: ctx, startTime: time.Now(), dir: dir}
	tr.waitUntil(recoveryBound, "the host serves", func() bool { return tr.sendChat(tr.Seeds()[0]) == nil })
	return tr
}

// startChat sends a chat and returns once an engine runs it. The result arrives on the
// returned channel.
func (tr *testRun) startChat() <-chan error {
	tr.t.Helper()
	before := tr.runs()
	answer := make(chan error, 1)
	go func() {
		caller := client.New(client.Options{Seeds: tr.Seeds(), Key: demo.TeamKey, Attempts: 1})
		body := api.ChatRequest{Model: "small", Messages: []api.Message{{Role: "user", Content: "in flight"}}}
		_, err := caller.Chat(tr.ctx, client.Request{Rank: "urgent"}, body)
		answer <- err
	}()
	tr.waitUntil(recoveryBound, "an engine runs the chat", func() bool { return tr.runs() > before })
	return answer
}

func (tr *testRun) mustChat(answer <-chan error) {
	tr.t.Helper()
	if err := <-answer; err != nil {
		tr.t.Errorf("a chat in flight got no answer: %v", err)
	}
}

// hangUpUntilExit sends SIGHUP to a host until it has exited or stop is called.
func (tr *testRun) hangUpUntilExit(host *proctest.Process) (stop func()) {
	ctx, cancel := context.WithCancel(tr.ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			if err := host.Hangup(); err != nil && !errors.Is(err, os.ErrProcessDone) {
				tr.t.Errorf("no SIGHUP: %v", err)
			}
			time.Sleep(hangupInterval)
		}
	}()
	return func() { cancel(); <-done }
}
