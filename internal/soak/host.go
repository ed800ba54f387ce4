package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// Host is one process of the program under test.
type Host struct {
	Name      string
	Addresses platformtest.Addresses
	// Store is the proxy through which the host reaches the store.
	Store *Proxy

	// link is the file with the state of the host's links to the endpoints.
	binary, settings, log, link string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan error
	started time.Time
}

// NewHost writes the settings of the i-th host and starts its store proxy, but
// not its process.
func NewHost(dir, binary string, i int, seeds func(i int) []string, a platformtest.Addresses, store string) (*Host, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	h := &Host{Name: fmt.Sprint("host-", i), Addresses: a, Store: proxy, binary: binary}
	h.settings = filepath.Join(dir, h.Name+".yaml")
	h.log = filepath.Join(dir, h.Name+".log")
	h.link = filepath.Join(dir, h.Name+".link")
	file := platformtest.Settings(h.Name, fmt.Sprint("domain-", i%3), a, seeds(i), proxy.Address())
	return h, os.WriteFile(h.settings, file, 0o600)
}

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settings, platformtest.LinkVariable+"="+h.link)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	h.cmd, h.done, h.started = cmd, done, time.Now()
	return nil
}

// SetLink changes the state of the host's links to the endpoints.
func (h *Host) SetLink(state platformtest.LinkState) error {
	return os.WriteFile(h.link, []byte(strconv.Itoa(int(state))), 0o600)
}

// signal sends a signal to the host's process.
func (h *Host) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Signal(s)
}

// Kill sends SIGKILL to the process and waits for its exit.
func (h *Host) Kill() {
	// A process that has ended already needs no signal.
	_ = h.signal(syscall.SIGKILL)
	<-h.done
}

// Pause suspends the process for d or until ctx is done.
func (h *Host) Pause(ctx context.Context, d time.Duration) {
	_ = h.signal(syscall.SIGSTOP)
	wait(ctx, d)
	_ = h.signal(syscall.SIGCONT)
}

// signalHandlerTime is the time after its start in which SIGTERM may still end
// a process before its signal handler is installed; it has served nothing yet.
const signalHandlerTime = 500 * time.Millisecond

// Stop sends SIGTERM and returns the time until the process exited and its exit
// error. It kills a process that does not exit within grace.
func (h *Host) Stop(grace time.Duration) (time.Duration, error) {
	stopStart := time.Now()
	justStarted := stopStart.Sub(h.started) < signalHandlerTime
	_ = h.signal(syscall.SIGTERM)
	select {
	case err := <-h.done:
		var exit *exec.ExitError
		if justStarted && errors.As(err, &exit) && !exit.Exited() {
			err = nil
		}
		return time.Since(stopStart), err
	case <-time.After(grace):
		h.Kill()
		return time.Since(stopStart), fmt.Errorf("%s did not exit within %v", h.Name, grace)
	}
}

// Close kills the process and closes its store proxy.
func (h *Host) Close() {
	if h.cmd != nil {
		_ = h.signal(syscall.SIGKILL)
	}
	h.Store.Close()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
