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
	// readyPoll is the time between two questions whether a host is ready.
	readyPoll = 20 * time.Millisecond
)

// ErrExit reports a host that ended with another exit status than 0.
var ErrExit = errors.New("proctest: exit status")

// Process is one entry host that runs as a process of its own.
type Process struct {
	// Settings are those in the settings file.
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
			return errors.Wrapf(ErrExit, "%s ended at its start: %v", p.Settings.Host, err)
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.exited
	p.cmd = nil
	return nil
}

// Pause stops the process without ending it, as a long pause of its machine does.
func (p *Process) Pause() error { return p.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (p *Process) Resume() error { return p.signal(syscall.SIGCONT) }

// Terminate asks the process to stop gracefully and demands exit status 0.
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
		return errors.Wrapf(ctx.Err(), "proctest: %s does not stop", p.Settings.Host)
	}
}

// stop kills the process if it runs.
func (p *Process) stop() {
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.Kill() // a process that has ended is fine
	}
}

// Build compiles the daemon into dir and returns the file.
func Build(ctx context.Context, dir string) (string, error) {
	binary := filepath.Join(dir, "corianderlever")
	cmd := exec.CommandContext(ctx, "go", "build", "-race=false", "-o", binary,
		"github.com/corianderlever/corianderlever/cmd/corianderlever")
	out, err := cmd.CombinedOutput()
	return binary, errors.Wrapf(err, "proctest: build the daemon: %s", out)
}
