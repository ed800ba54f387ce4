package proctest

import (
	"context"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/config"
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

	binary, file, log string
	cmd               *exec.Cmd
	exited            chan error
}

// Start starts the process and waits until it is ready. The process is killed
// when ctx ends.
func (p *Process) Start(ctx context.Context) error {
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "proctest: open log")
	}
	defer log.Close() // the process has its own descriptor
	p.cmd = exec.CommandContext(ctx, p.binary, "-config", p.file)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return errors.Wrap(err, "proctest: start host")
	}
	p.exited = make(chan error, 1)
	go func(cmd *exec.Cmd, exited chan<- error) { exited <- cmd.Wait() }(p.cmd, p.exited)
	return p.waitReady(ctx)
}

func (p *Process) waitReady(ctx context.Context) error {
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

func (p *Process) signal(s syscall.Signal) error {
	return errors.Wrapf(p.cmd.Process.Signal(s), "proctest: signal %v to %s", s, p.Settings.Host)
}

// Kill sends SIGKILL to the process and waits for its exit.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	p.cmd = nil
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
		p.cmd = nil
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
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.Kill() // fails only if the process has already exited
	}
}

// Build compiles the daemon into dir and returns the path of the binary.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "corianderlever")
	cmd := exec.CommandContext(ctx, "go", "build", "-race=false", "-o", binary,
		"github.com/corianderlever/corianderlever/cmd/corianderlever")
	out, err := cmd.CombinedOutput()
	return binary, errors.Wrapf(err, "proctest: build the daemon: %s", out)
}
