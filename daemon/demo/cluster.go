package demo

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sync/errgroup"

	"github.com/corianderlever/corianderlever/admin"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon"
	"github.com/corianderlever/corianderlever/internal/loopback"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/upstream"
)

// ClusterOptions configure a deployment on loopback in one process.
type ClusterOptions struct {
	// Hosts is the number of entry hosts, Engines the number of engines.
	Hosts, Engines int
	// AnswerTokens is the length of answers in tokens. Zero selects a short default.
	AnswerTokens int
	// EntryAddress is the entry address of the first host. If empty, a free one is
	// used.
	EntryAddress string
	Logger       *slog.Logger
	// Rand seeds the random sources of the hosts.
	Rand *rand.Rand
	// EditSettings, if set, alters the settings of each host.
	EditSettings func(i int, s *config.Settings)
	// DialEndpoint, if set, returns the way in which each host opens connections to
	// endpoints.
	DialEndpoint func(i int) upstream.DialFunc
}

// Cluster is a running deployment with its simulated endpoints and store.
type Cluster struct {
	Endpoints *Endpoints
	// Store is the key-value service. Faults are the hosts' clients of it, which can
	// inject faults.
	Store  *memkv.Store
	Faults []*memkv.Faulty
	Hosts  []*daemon.Host
	// Settings are the settings of each host.
	Settings []config.Settings

	opts   ClusterOptions
	server *http.Server
	// KVAddress is the HTTP address of the key-value service.
	KVAddress string
}

// startTimeout bounds the start of a deployment.
const startTimeout = 30 * time.Second

// StartCluster starts the endpoints, the store and the hosts, and applies the
// resources of the demonstration.
func StartCluster(ctx context.Context, opts ClusterOptions) (*Cluster, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	c := &Cluster{opts: opts, Store: memkv.New(clockwork.NewRealClock())}
	err := c.start(ctx)
	if err != nil {
		return nil, errors.CombineErrors(err, c.Stop(ctx))
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	tokens := c.opts.AnswerTokens
	if tokens == 0 {
		tokens = answerTokens
	}
	if c.Endpoints, err = startEndpoints(c.opts.Engines, tokens); err != nil {
		return err
	}
	if err := c.serveStore(); err != nil {
		return err
	}
	for i := range c.opts.Hosts {
		if err := c.addHost(ctx, i); err != nil {
			return err
		}
	}
	list, err := Resources(c.Endpoints)
	if err != nil {
		return err
	}
	return c.Apply(ctx, list)
}

func (c *Cluster) serveStore() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "demo: listen for the store")
	}
	c.KVAddress = ln.Addr().String()
	c.server = &http.Server{Handler: httpkv.NewHandler(c.Store), ReadHeaderTimeout: startTimeout}
	go func() { _ = c.server.Serve(ln) }() // Serve always returns an error; Close causes it
	return nil
}

// HostSettings returns the settings of the i-th host of a deployment.
func (c *Cluster) HostSettings(i int) (config.Settings, error) {
	s := config.Default()
	s.Host = fmt.Sprintf("entry-%d", i+1)
	s.FailureDomain = FailureDomain(i)
	s.Region = "demo"
	s.ClusterKey = config.Secret{Value: "demo-cluster-key-of-24-bytes"}
	s.OperatorKeyHashes = []string{KeyHash(OperatorKey)}
	s.Sessions.Keys = []config.SessionKey{{ID: "demo", Secret: config.Secret{Value: "demo-session-key-with-at-least-32-bytes"}}}
	s.Platform.KV = "http://" + c.KVAddress
	if len(c.Endpoints.Engines) > 0 {
		s.Platform.Rating = "http://" + c.Endpoints.Engines[0].Addr()
	}
	addresses, err := loopback.Addresses(2)
	if err != nil {
		return s, err
	}
	s.Listen.Entry, s.Listen.Peer = addresses[0], addresses[1]
	if i == 0 && c.opts.EntryAddress != "" {
		s.Listen.Entry = c.opts.EntryAddress
	}
	for _, other := range c.Settings {
		s.Peers = append(s.Peers, other.Listen.Peer)
	}
	if c.opts.EditSettings != nil {
		c.opts.EditSettings(i, &s)
	}
	return s, s.Validate()
}

func (c *Cluster) addHost(ctx context.Context, i int) error {
	s, err := c.HostSettings(i)
	if err != nil {
		return err
	}
	c.Settings = append(c.Settings, s)
	c.Faults = append(c.Faults, memkv.NewFaulty(c.kv(), clockwork.NewRealClock()))
	c.Hosts = append(c.Hosts, nil)
	return c.StartHost(ctx, i)
}

func (c *Cluster) kv() kv.KV { return httpkv.NewClient("http://"+c.KVAddress, nil) }

// StartHost starts or restarts the i-th host.
func (c *Cluster) StartHost(ctx context.Context, i int) error {
	opts := daemon.Options{
		Settings: c.Settings[i], KV: c.Faults[i], Logger: c.opts.Logger,
		Rand: rand.New(rand.NewPCG(c.opts.Rand.Uint64(), uint64(i))),
	}
	if c.opts.DialEndpoint != nil {
		opts.DialEndpoint = c.opts.DialEndpoint(i)
	}
	h, err := daemon.New(opts)
	if err != nil {
		return err
	}
	if err := h.Start(ctx); err != nil {
		return err
	}
	c.Hosts[i] = h
	return nil
}

// Apply changes the configuration through the first running host. It retries until
// ctx ends, because changes fail while the hosts have not joined each other yet.
func (c *Cluster) Apply(ctx context.Context, set []resource.Resource) error {
	for {
		err := c.applyOnce(ctx, set)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return errors.CombineErrors(err, ctx.Err())
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (c *Cluster) applyOnce(ctx context.Context, set []resource.Resource) error {
	client := c.Admin()
	list, err := client.List(ctx, string(resource.KindTerms), "")
	if err != nil {
		return err
	}
	_, err = client.Apply(ctx, admin.ApplyRequest{ExpectRevision: list.Revision, Set: set, Author: "demo"})
	return err
}

// Admin returns a client of the operators' interface of the first running host.
func (c *Cluster) Admin() *admin.Client {
	for _, h := range c.Hosts {
		if h != nil {
			return admin.NewClient("http://"+h.EntryAddress(), OperatorKey, nil)
		}
	}
	return admin.NewClient("http://127.0.0.1:1", OperatorKey, nil)
}

// EntryAddresses returns the entry addresses of the running hosts.
func (c *Cluster) EntryAddresses() []string {
	var out []string
	for _, h := range c.Hosts {
		if h != nil {
			out = append(out, h.EntryAddress())
		}
	}
	return out
}

// StopHost stops the i-th host gracefully.
func (c *Cluster) StopHost(ctx context.Context, i int) error {
	h := c.Hosts[i]
	if h == nil {
		return nil
	}
	c.Hosts[i] = nil
	return h.Stop(ctx)
}

// Stop stops all hosts concurrently, then the endpoints and the store.
func (c *Cluster) Stop(ctx context.Context) error {
	var hosts errgroup.Group
	for i := range c.Hosts {
		hosts.Go(func() error { return c.StopHost(ctx, i) })
	}
	all := hosts.Wait()
	if c.Endpoints != nil {
		c.Endpoints.Close()
	}
	if c.server != nil {
		all = errors.CombineErrors(all, c.server.Close())
	}
	return all
}

// DirectClient returns a client that sends each request once and only to the given
// host.
func DirectClient(addr, key string) *client.Client {
	return client.New(client.Options{Seeds: []string{addr}, Key: key, Attempts: 1, SeedsOnly: true})
}
