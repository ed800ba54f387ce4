package proctest

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/internal/logwait"
)

const (
	// readyTimeout bounds the start of a host.
	readyTimeout = 15 * time.Second
	// readyPoll is the interval of readiness checks.
	readyPoll = 20 * time.Millisecond
)

// ErrExit reports that a host exited during its start or with a status other
// than 0.
var ErrExit = errors.New("proctest: exit status")

// Process is one entry host that runs as a separate process.
type Process struct {
	// Settings is the content of the settings file.
	Settings config.Settings

	// Log is the file with the log of the process.
	Log string

	binary, file string
	exited       chan error

	mu sync.Mutex
	// cmd is the running process, or nil.
	cmd *exec.Cmd
}

// Start starts the process and waits until it is ready. The process is killed
// when ctx ends.
func (p *Process) Start(ctx context.Context) error {
	if err := p.Launch(ctx); err != nil {
		return err
	}
	return p.WaitReady(ctx)
}

// Launch starts the process and returns once it has logged something. It is initialized then
// but may not be ready.
func (p *Process) Launch(ctx context.Context) error {
	log, err := os.OpenFile(p.Log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "proctest: open log")
	}
	defer log.Close() // the process has its own descriptor
	output, err := logwait.New(log)
	if err != nil {
		return errors.Wrap(err, "proctest: read log")
	}
	cmd := exec.CommandContext(ctx, p.binary, "-config", p.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "proctest: start host")
	}
	p.setCommand(cmd)
	p.exited = make(chan error, 1)
	go func(exited chan<- error) { exited <- cmd.Wait() }(p.exited)
	waitCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return errors.Wrap(output.Wait(waitCtx), "proctest: wait for the start of the log")
}

// WaitReady waits until the process is ready. It returns an error if it exits before.
func (p *Process) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for !p.ready(ctx) {
		select {
		case err := <-p.exited:
			p.exited <- err
			return errors.Wrapf(ErrExit, "%s exited during its start: %v", p.Settings.Host, err)
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "proctest: %s is not ready", p.Settings.Host)
		case <-ticker.C:
		}
	}
	return nil
}

func (p *Process) ready(ctx context.Context) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Settings.Listen.Entry+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (p *Process) setCommand(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = cmd
}

// signal sends a signal. The error is os.ErrProcessDone if the process has ended.
func (p *Process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	err := os.ErrProcessDone
	if p.cmd != nil {
		err = p.cmd.Process.Signal(s)
	}
	return errors.Wrapf(err, "proctest: signal %v to %s", s, p.Settings.Host)
}

// Hangup sends SIGHUP to the process.
func (p *Process) Hangup() error { return p.signal(syscall.SIGHUP) }

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	p.setCommand(nil)
	return nil
}

// Pause suspends the process, as a long pause of its machine does.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate shuts the process down gracefully. It returns an error unless the
// exit status is 0.
func (p *Process) Terminate(ctx context.Context) error {
	if err := p.signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		p.setCommand(nil)
		if err != nil {
			return errors.Wrapf(ErrExit, "%s: %v", p.Settings.Host, err)
		}
		return nil
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "proctest: %s did not exit after SIGTERM", p.Settings.Host)
	}
}

// stop kills the process if it is running.
func (p *Process) stop() {
	_ = p.Kill() // fails only if the process has already exited
}

// Build compiles the daemon into dir and returns the path of the binary.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "corianderlever")
	cmd := exec.CommandContext(ctx, "go", "build", "-race=false", "-o", binary,
		"github.com/corianderlever/corianderlever/cmd/corianderlever")
	out, err := cmd.CombinedOutput()
	return binary, errors.Wrapf(err, "proctest: build the daemon: %s", out)
}
