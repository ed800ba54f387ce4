package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// recorder writes the record of a run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	return &recorder{file: f, start: time.Now()}, err
}

// add writes a line with the time since the start.
func (r *recorder) add(format string, args ...any) { r.addAt(time.Now(), format, args...) }

func (r *recorder) addAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A line that is missing shows in the file.
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{at.Sub(r.start).Seconds()}, args...)...)
}

// host is one process of the program under test.
type host struct {
	name      string
	dir       string
	addresses platformtest.Addresses
	cmd       *exec.Cmd
	exited    chan struct{}
}

// start starts the process with the command of the deploy file. Its log goes to a file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.dir, h.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close() // the process has its own descriptor
	cmd := exec.Command("target/corianderlever", "host")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(h.dir, h.name+".yaml"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait() // the exit status is not judged
		close(exited)
	}()
	return nil
}

// kill ends the process and waits for its end.
func (h *host) kill() {
	if h.cmd == nil {
		return
	}
	_ = h.cmd.Process.Kill() // fails if the process has ended
	<-h.exited
}

// waitReady waits until the host answers a lookup.
func (h *host) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		if lookUp(client, h, fmt.Sprintf("start-%s-%d", h.name, n), platformtest.ValidKey) == fmt.Sprint(http.StatusOK) {
			return nil
		}
		sleep(ctx, 20*time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", h.name, ctx.Err())
}

// cluster is a deployment with its hosts.
type cluster struct {
	dir   string
	d     *platformtest.Deployment
	hosts []*host
}

// startCluster starts hosts in three zones. storeOf returns the address by which a host
// reaches the store.
func startCluster(ctx context.Context, d *platformtest.Deployment, hosts int, storeOf func(i int) string) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	c := &cluster{dir: dir, d: d}
	var seeds []string
	for i := range hosts {
		a, err := platformtest.FreeAddresses()
		if err != nil {
			return c, err
		}
		c.hosts, seeds = append(c.hosts, &host{name: fmt.Sprint("host-", i), dir: dir, addresses: a}), append(seeds, a.Peer)
	}
	for i, h := range c.hosts {
		settings := platformtest.Settings(h.name, fmt.Sprint("domain-", i%3), h.addresses, seeds[:min(3, hosts)], storeOf(i))
		if err := os.WriteFile(filepath.Join(dir, h.name+".yaml"), settings, 0o600); err != nil {
			return c, err
		}
		if err := h.start(); err != nil {
			return c, err
		}
	}
	for _, h := range c.hosts {
		if err := h.waitReady(ctx); err != nil {
			return c, err
		}
	}
	return c, nil
}

// close ends all processes. KEEP leaves their logs.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", c.dir)
		return
	}
	_ = os.RemoveAll(c.dir) // only a temporary folder is left
}
