package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/corianderlever/corianderlever/internal/logwait"
	"github.com/corianderlever/corianderlever/internal/loopback"
	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// Host is one process of the program under test.
type Host struct {
	Name      string
	Addresses platformtest.Addresses
	// Store is the proxy through which the host reaches the store.
	Store *Proxy
	// Settings is the settings file.
	Settings *SettingsFile

	// link is the file with the state of the host's links to the endpoints, paths that with its
	// silent paths to other hosts. source is the IP address of its connections to endpoints.
	binary, log, link, paths, source string
	// onExit is called when the process ends and nobody has ended it.
	onExit func(err error)

	// control is held by whoever stops, kills, pauses or starts the process.
	control sync.Mutex

	// down and links record the disturbances of its process and of its links.
	down, links spans

	mu    sync.Mutex
	proc  *process
	stops []Stop
}

// Stop is one graceful shutdown of a host.
type Stop struct {
	Host string
	// Address is the host's address for callers.
	Address string
	// Term is the time of the first SIGTERM, Exit that of the process's end.
	Term, Exit time.Time
}

// process is one incarnation of a host.
type process struct {
	cmd *exec.Cmd
	// ending is set once the process is told to end.
	ending atomic.Bool
	// ready is closed once the process handles signals, done when it has ended.
	ready, done chan struct{}
	// err is the exit error, set when done is closed.
	err error
}

// NewHost writes the settings of the i-th host and starts its store proxy, but
// not its process.
func NewHost(dir, binary string, i int, seeds func(i int) []string, a platformtest.Addresses, store string) (*Host, error) {
	proxy, err := NewProxy(store)
	if err != nil {
		return nil, err
	}
	source, err := loopback.Addresses(1)
	if err != nil {
		return nil, err
	}
	h := &Host{Name: fmt.Sprint("host-", i), Addresses: a, Store: proxy, binary: binary, onExit: func(error) {}}
	h.log = filepath.Join(dir, h.Name+".log")
	h.link, h.paths = filepath.Join(dir, h.Name+".link"), filepath.Join(dir, h.Name+".paths")
	h.source, _, _ = strings.Cut(source[0], ":")
	content := platformtest.Settings(h.Name, fmt.Sprint("domain-", i%3), a, seeds(i), proxy.Address())
	h.Settings = &SettingsFile{path: filepath.Join(dir, h.Name+".yaml"), content: content}
	return h, h.Settings.Restore()
}

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	output, err := logwait.New(out)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.Settings.path, platformtest.LinkVariable+"="+h.link,
		platformtest.PathsVariable+"="+h.paths, platformtest.SourceVariable+"="+h.source)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		_ = out.Close() // nothing was written
		return err
	}
	h.down.end()
	p := &process{cmd: cmd, ready: make(chan struct{}), done: make(chan struct{})}
	go h.awaitEnd(p)
	go func() {
		defer out.Close()
		p.watchStart(output)
	}()
	h.proc = p
	return nil
}

// awaitEnd waits for the end of a process.
func (h *Host) awaitEnd(p *process) {
	p.err = p.cmd.Wait()
	close(p.done)
	if !p.ending.Load() {
		h.onExit(p.err)
	}
}

// initTimeout bounds the time until the packages of the program are initialized.
const initTimeout = 5 * time.Second

// watchStart closes ready once the process can handle signals.
func (p *process) watchStart(output logwait.Output) {
	defer close(p.ready)
	ctx, cancel := context.WithTimeout(context.Background(), initTimeout)
	defer cancel()
	// A process that has ended without output is found by its end.
	_ = output.Wait(ctx)
}

// started waits until the process handles signals. It returns false if the process has
// ended.
func (p *process) started() bool {
	select {
	case <-p.ready:
	case <-p.done:
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// current returns the last process, or nil before the first one.
func (h *Host) current() *process {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.proc
}

// SetLink changes the state of the host's links to the endpoints.
func (h *Host) SetLink(state platformtest.LinkState) error {
	if state == platformtest.LinkUp || state == platformtest.LinkNoNew {
		defer h.links.end()
	} else {
		h.links.begin()
	}
	return os.WriteFile(h.link, []byte(strconv.Itoa(int(state))), 0o600)
}

// Disturbances returns the disturbances of the host so far.
func (h *Host) Disturbances() Disturbances {
	return Disturbances{Host: h.Name, Down: h.down.all(), Unlinked: h.links.all()}
}

// signal sends a signal to the process. A process that has ended already needs none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL to the process and waits for its exit.
func (p *process) kill() {
	p.ending.Store(true)
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Hangup sends SIGHUP to the process.
func (h *Host) Hangup() {
	if p := h.current(); p.started() {
		p.signal(syscall.SIGHUP)
	}
}

// Kill sends SIGKILL to the process and waits for its exit. The caller holds control.
func (h *Host) Kill() {
	h.down.begin()
	h.current().kill()
}

// Pause suspends the process for d or until ctx is done.
func (h *Host) Pause(ctx context.Context, d time.Duration) {
	h.control.Lock()
	defer h.control.Unlock()
	p := h.current()
	h.down.begin()
	defer h.down.end()
	p.signal(syscall.SIGSTOP)
	wait(ctx, d)
	p.signal(syscall.SIGCONT)
}

// Stop sends SIGTERM and returns the time until the process exited and its exit
// error. It kills a process that does not exit within grace. While the process stops,
// it runs meanwhile, whose context ends with the process; nil for nothing. The caller
// holds control.
func (h *Host) Stop(grace time.Duration, meanwhile func(ctx context.Context, p *process)) (time.Duration, error) {
	p := h.current()
	if !p.started() {
		return 0, nil // reported by onExit
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	h.down.begin()
	stopStart := time.Now()
	h.mu.Lock()
	n := len(h.stops)
	h.stops = append(h.stops, Stop{Host: h.Name, Address: h.Addresses.Frontend, Term: stopStart})
	h.mu.Unlock()
	p.ending.Store(true)
	p.signal(syscall.SIGTERM)
	if meanwhile != nil {
		wg.Go(func() { meanwhile(ctx, p) })
	}
	err := p.awaitExit(grace)
	h.mu.Lock()
	h.stops[n].Exit = time.Now()
	h.mu.Unlock()
	return time.Since(stopStart), err
}

// Stops returns the graceful shutdowns so far.
func (h *Host) Stops() []Stop {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]Stop(nil), h.stops...)
}

// awaitExit waits for the exit of the process, and kills it after grace.
func (p *process) awaitExit(grace time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(grace):
		p.kill()
		return fmt.Errorf("no exit within %v", grace)
	}
}

// Close kills the process and closes its store proxy.
func (h *Host) Close() {
	if p := h.current(); p != nil {
		p.kill()
	}
	h.Store.Close()
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
