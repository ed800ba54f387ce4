// Package proctest runs entry hosts as separate processes against fake endpoints
// and a store in the test process, and cross-checks the records of callers and
// endpoints with the bill.
package proctest

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/resource"
)

const (
	// headerTimeout bounds the time to read the headers of a call to the store.
	headerTimeout = 10 * time.Second
	// applyRetry is the time between two attempts to change the configuration.
	applyRetry = 100 * time.Millisecond
	// entryTTL is short because a host drains for at least this time.
	entryTTL = 500 * time.Millisecond
)

// Cluster is a deployment whose entry hosts are processes.
type Cluster struct {
	Endpoints *demo.Endpoints
	// Store is the key-value service; the hosts reach it through Faults.
	Store  *memkv.Store
	Faults *memkv.Faulty
	Hosts  []*Process

	server *http.Server
}

// Start starts the endpoints, the store and the hosts. Settings and logs of the
// hosts are written to dir.
func Start(ctx context.Context, binary, dir string, hosts, engines int) (*Cluster, error) {
	clock := clockwork.NewRealClock()
	c := &Cluster{Store: memkv.New(clock)}
	c.Faults = memkv.NewFaulty(c.Store, clock)
	err := c.start(ctx, binary, dir, hosts, engines)
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context, binary, dir string, hosts, engines int) error {
	var err error
	if c.Endpoints, err = demo.StartEndpoints(engines); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "proctest: listen for the store")
	}
	c.server = &http.Server{Handler: httpkv.NewHandler(c.Faults), ReadHeaderTimeout: headerTimeout}
	go func() { _ = c.server.Serve(ln) }() // Serve always returns an error; Close causes it
	settings, err := c.settings(ln.Addr().String(), hosts)
	if err != nil {
		return err
	}
	for _, s := range settings {
		p := &Process{Settings: s, binary: binary}
		p.file, p.Log = filepath.Join(dir, s.Host+".yaml"), filepath.Join(dir, s.Host+".log")
		data, err := json.Marshal(s) // JSON is valid YAML
		if err != nil {
			return errors.Wrap(err, "proctest: encode settings")
		}
		if err := os.WriteFile(p.file, data, 0o600); err != nil {
			return errors.Wrap(err, "proctest: write settings")
		}
		c.Hosts = append(c.Hosts, p)
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// settings returns the settings of all hosts. Each host has all others as
// membership seeds.
func (c *Cluster) settings(kv string, hosts int) ([]config.Settings, error) {
	base := &demo.Cluster{Endpoints: c.Endpoints, KVAddress: kv}
	out := make([]config.Settings, hosts)
	for i := range out {
		var err error
		if out[i], err = base.HostSettings(i); err != nil {
			return nil, err
		}
		out[i].Drain.EntryTTL = resource.Duration(entryTTL)
	}
	for i := range out {
		for j := range out {
			if i != j {
				out[i].Peers = append(out[i].Peers, out[j].Listen.Peer)
			}
		}
	}
	return out, nil
}

// Seeds returns the entry addresses of all hosts.
func (c *Cluster) Seeds() []string {
	var out []string
	for _, p := range c.Hosts {
		out = append(out, p.Settings.Listen.Entry)
	}
	return out
}

// Admin returns an operator client for the i-th host.
func (c *Cluster) Admin(i int) *admin.Client {
	return admin.NewClient("http://"+c.Hosts[i].Settings.Listen.Entry, demo.OperatorKey, nil)
}

// Apply changes the configuration through the i-th host. It retries until the
// change is accepted, and returns the time of acceptance.
func (c *Cluster) Apply(ctx context.Context, i int, set ...resource.Resource) (time.Time, error) {
	for {
		list, err := c.Admin(i).List(ctx, string(resource.KindTerms), "")
		if err == nil {
			_, err = c.Admin(i).Apply(ctx, admin.ApplyRequest{ExpectRevision: list.Revision, Set: set, Author: "proctest"})
		}
		if err == nil {
			return time.Now(), nil
		}
		select {
		case <-ctx.Done():
			return time.Time{}, errors.CombineErrors(err, ctx.Err())
		case <-time.After(applyRetry):
		}
	}
}

// Revisions returns the configuration revision in force on each host, or -1
// for a host that does not answer.
func (c *Cluster) Revisions(ctx context.Context) []int64 {
	out := make([]int64, len(c.Hosts))
	for i := range c.Hosts {
		list, err := c.Admin(i).List(ctx, string(resource.KindTerms), "")
		out[i] = list.Revision
		if err != nil {
			out[i] = -1
		}
	}
	return out
}

// Close kills the running hosts and stops the endpoints and the store.
func (c *Cluster) Close() {
	for _, p := range c.Hosts {
		p.stop()
	}
	if c.Endpoints != nil {
		c.Endpoints.Close()
	}
	if c.server != nil {
		_ = c.server.Close() // ends the test's own listener
	}
}
