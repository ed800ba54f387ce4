package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/corianderlever/corianderlever/platform"
	"github.com/corianderlever/corianderlever/platform/platformtest"
)

const (
	// domains is the number of failure domains, seeds that of the seed hosts.
	domains, seeds = 3, 3
	// startTime bounds the start of all hosts.
	startTime = 15 * time.Second
	pollTime  = 20 * time.Millisecond
)

var errNotReady = errors.New("a host does not become ready")

// gate is the path from one host to the store. It may be cut while the others stay whole.
type gate struct {
	store  http.Handler
	server *http.Server
	calls  atomic.Int64

	isClosed atomic.Bool
}

// newGate opens a gate on a free loopback port.
func newGate(store http.Handler) (*gate, string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	g := &gate{store: store}
	g.server = &http.Server{Handler: g, ReadHeaderTimeout: time.Minute}
	go func() { _ = g.server.Serve(ln) }() // ends with Close
	return g, ln.Addr().String(), nil
}

// close cuts the path: calls get no answer, also those that wait, and no reset.
func (g *gate) close() { g.isClosed.Store(true) }

// open undoes close. Connections on which an answer was held back return nothing further.
func (g *gate) open() { g.isClosed.Store(false) }

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	answer := &buffered{header: make(http.Header), status: http.StatusOK}
	if !g.isClosed.Load() {
		g.store.ServeHTTP(answer, r)
	}
	if g.isClosed.Load() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	for name, values := range answer.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answer.status)
	// An error means that the host has gone.
	_, _ = w.Write(answer.body.Bytes())
}

// buffered keeps an answer of the store.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) WriteHeader(status int)      { b.status = status }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }

// host is one host with its process.
type host struct {
	name      string
	addresses platformtest.Addresses
	gate      *gate
	settings  string
	binary    string
	log       string

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{} // closed when cmd has ended
}

// cluster is a deployment with its hosts.
type cluster struct {
	run   *run
	d     *platformtest.Deployment
	hosts []*host
}

// newCluster starts the stand-ins of a platform and n hosts.
func newCluster(ctx context.Context, r *run, n int) (*cluster, error) {
	return newClusterOf(ctx, r, n, func(*platformtest.Deployment) error { return nil })
}

// newClusterOf is newCluster with a deployment that change has prepared.
func newClusterOf(ctx context.Context, r *run, n int, change func(*platformtest.Deployment) error) (*cluster, error) {
	const plain, engines = 3, 2
	d, err := platformtest.NewDeployment(plain, engines)
	c := &cluster{run: r, d: d}
	if err == nil {
		err = change(d)
	}
	if err != nil {
		return c, err
	}
	go d.SendHeartbeats(d.PlainEndpoints...)
	go d.SendHeartbeats(d.Engines...)
	var all []platformtest.Addresses
	var peers []string
	for range n {
		a, err := platformtest.FreeAddresses()
		if err != nil {
			return c, err
		}
		all = append(all, a)
		if len(peers) < seeds {
			peers = append(peers, a.Peer)
		}
	}
	for i, a := range all {
		h := &host{name: fmt.Sprint("host-", i), addresses: a, binary: r.binary}
		h.settings, h.log = filepath.Join(r.dir, h.name+".yaml"), filepath.Join(r.dir, h.name+".log")
		var store string
		if h.gate, store, err = newGate(d.Store); err != nil {
			return c, err
		}
		content := platformtest.Settings(h.name, fmt.Sprint("domain-", i%domains), a, peers, store)
		if err := os.WriteFile(h.settings, content, 0o600); err != nil {
			return c, err
		}
		c.hosts = append(c.hosts, h)
		if err := h.start(); err != nil {
			return c, err
		}
	}
	for _, h := range c.hosts {
		if err := h.awaitReady(ctx); err != nil {
			return c, err
		}
	}
	r.note("%d hosts are ready", n)
	return c, nil
}

// close ends all processes.
func (c *cluster) close() {
	for _, h := range c.hosts {
		h.kill()
		_ = h.gate.server.Close()
	}
	if c.d != nil {
		c.d.Close()
	}
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	out, err := os.OpenFile(h.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close() // the process has its own
	cmd := exec.Command(h.binary, "host")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), platform.SettingsVariable + "=" + h.settings}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return err
	}
	end := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the status is that of the signal
		close(end)
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.end = cmd, end
	return nil
}

func (h *host) process() (*exec.Cmd, chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd, h.end
}

// kill ends the process at once.
func (h *host) kill() {
	cmd, end := h.process()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails if the process has ended
	<-end
}

// awaitReady waits until the host says that it is ready.
func (h *host) awaitReady(ctx context.Context) error {
	for end := time.Now().Add(startTime); time.Now().Before(end); {
		if h.isReady(ctx) {
			return nil
		}
		if !wait(ctx, pollTime) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("%s: %w", h.name, errNotReady)
}

func (h *host) isReady(ctx context.Context) bool {
	_, _, err := platformtest.Resolve(ctx, http.DefaultClient, h.addresses.Directory, "")
	if err != nil {
		return false
	}
	// A connection is accepted before the host has a configuration, so the answer counts.
	req, err := platformtest.NewRequest(ctx, http.MethodGet, h.addresses.Frontend, platformtest.LookupPath, "ready", platformtest.ValidKey, time.Second)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
