package main_test

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/internal/proctest"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// conditionTimeout bounds the wait for a condition.
	conditionTimeout = 30 * time.Second
)

// process is one process of the daemon.
type process struct {
	cmd *exec.Cmd
	log string
	// exited is closed when the process has ended; err is then its exit error.
	exited chan struct{}
	err    error
}

// binary is the path of the daemon under test.
var binary string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "corianderlever")
	if err != nil {
		panic(err)
	}
	defer os.RemoveAll(dir)
	if binary, err = proctest.Build(context.Background(), dir); err != nil {
		panic(err)
	}
	return m.Run()
}

// command returns the command that runs the daemon in a session of its own, which has no
// terminal, with its output in a file. env replaces parts of the environment.
func command(t *testing.T, env []string, args ...string) (*exec.Cmd, string) {
	t.Helper()
	log := filepath.Join(t.TempDir(), "log")
	out, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = out.Close() })
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true}
	return cmd, log
}

// start starts the daemon. It is killed when the test ends.
func start(t *testing.T, cmd *exec.Cmd, log string) *process {
	t.Helper()
	p := &process{cmd: cmd, log: log, exited: make(chan struct{})}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails if the process has ended
		<-p.exited
		if t.Failed() {
			t.Logf("exit: %v\nlog:\n%s", p.err, p.output(t))
		}
	})
	return p
}

// startHost starts a host on the users' platform and waits until it is ready.
func startHost(t *testing.T, d *platformtest.Deployment) *process {
	t.Helper()
	settings, addresses := hostSettings(t, d.StoreAddress())
	cmd, log := command(t, hostEnv(settings), "host")
	p := start(t, cmd, log)
	p.waitReady(t, addresses.Readiness)
	return p
}

// hostEnv names the settings file of a host.
func hostEnv(settings string) []string { return []string{platform.SettingsVariable + "=" + settings} }

// hostSettings writes the settings of a host and returns their file and the host's addresses.
func hostSettings(t *testing.T, store string) (string, platformtest.Addresses) {
	t.Helper()
	a, err := platformtest.FreeAddresses()
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "settings.yaml")
	if err := os.WriteFile(file, platformtest.Settings("host-1", "domain-a", a, nil, store), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, a
}

func newDeployment(t *testing.T) *platformtest.Deployment {
	t.Helper()
	d, err := platformtest.NewDeployment(1, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	go d.SendHeartbeats(d.PlainEndpoints...)
	return d
}

func (p *process) waitReady(t *testing.T, readiness string) {
	t.Helper()
	p.wait(t, "ready", func() bool {
		resp, err := http.Get("http://" + readiness + "/corianderlever/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// wait waits for a condition of a running process.
func (p *process) wait(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !reached() {
		select {
		case <-p.exited:
			t.Fatalf("the process ended before it was %s: %v", what, p.err)
		case <-time.After(pollInterval):
		}
		if time.Now().After(deadline) {
			t.Fatalf("the process is not %s", what)
		}
	}
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatalf("send %v: %v", s, err)
	}
}

// signalUntilExit sends the signals in turn, one every pollInterval, until the process ends.
func (p *process) signalUntilExit(t *testing.T, signals ...syscall.Signal) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for i := 0; time.Now().Before(deadline); i++ {
		_ = p.cmd.Process.Signal(signals[i%len(signals)]) // fails if the process has ended
		select {
		case <-p.exited:
			return
		case <-time.After(pollInterval):
		}
	}
	t.Fatal("the process does not end")
}

// waitCleanExit waits for the end of the process and requires exit status 0.
func (p *process) waitCleanExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		t.Fatal("the process does not end")
	}
	if p.err != nil {
		t.Errorf("the process did not end cleanly: %v", p.err)
	}
}

func (p *process) output(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile(p.log)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

func (p *process) hasLogged(t *testing.T, text string) bool {
	return strings.Contains(p.output(t), text)
}
