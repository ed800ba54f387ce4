package daemon

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/certs"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
)

// Names of the services of a host.
const (
	servicePlatform      = "platform"
	serviceCerts         = "certs"
	servicePeers         = "peers"
	serviceMembership    = "membership"
	serviceConfiguration = "configuration"
	serviceLedger        = "ledger"
	serviceClaims        = "claims"
	serviceRoles         = "roles"
	serviceDispatch      = "dispatch"
	serviceEntry         = "entry"
)

// platformService provides the key-value service.
type platformService struct {
	base
	store kv.KV
}

var _ kernel.Provisioner = (*platformService)(nil)

func (s *platformService) Name() string       { return servicePlatform }
func (s *platformService) Requires() []string { return []string{serviceCerts} }

// Provision creates a client of the service unless the options provide one.
func (s *platformService) Provision(k *kernel.Kernel) error {
	s.store = s.opts.KV
	if s.store == nil {
		c, err := kernel.Lookup[*certsService](k, serviceCerts)
		if err != nil {
			return err
		}
		s.store = httpkv.NewClient(s.opts.Settings.Platform.KV, &http.Client{Transport: c.transport()})
	}
	return nil
}

// certsService provides TLS configurations; its reloader is nil without TLS.
type certsService struct {
	base
	reloader *certs.Reloader
}

func (s *certsService) Name() string { return serviceCerts }

// Provision reads the certificate files.
func (s *certsService) Provision(*kernel.Kernel) error {
	t := s.opts.Settings.TLS
	if t == nil {
		return nil
	}
	var err error
	s.reloader, err = certs.New(certs.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, s.opts.Clock, s.opts.Logger)
	return err
}

// transport returns the HTTP transport for endpoints.
func (s *certsService) transport() *http.Transport {
	t := &http.Transport{MaxIdleConnsPerHost: idleConnsPerEndpoint, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: api.MaxHeaderBytes}
	if s.reloader != nil {
		t.DialTLSContext = s.reloader.DialTLS
	}
	return t
}

// dialPeer returns the function that opens connections to other hosts, or nil for
// plain TCP. Each connection is verified against the certificate authorities
// loaded at that time.
func (s *certsService) dialPeer() func(ctx context.Context, addr string) (net.Conn, error) {
	if s.reloader == nil {
		return nil
	}
	return func(ctx context.Context, addr string) (net.Conn, error) {
		cfg := s.reloader.ClientConfig()
		cfg.ServerName = s.opts.Settings.TLS.PeerName
		dialer := tls.Dialer{Config: cfg}
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		return conn, errors.Wrap(err, "daemon: dial peer")
	}
}

// idleConnsPerEndpoint allows for the usual concurrency of an engine.
const idleConnsPerEndpoint = 64

// peerService provides calls between hosts.
type peerService struct {
	base
	server *peer.Server
	client *peer.Client
	ln     net.Listener
}

func (s *peerService) Name() string       { return servicePeers }
func (s *peerService) Requires() []string { return []string{serviceCerts} }

// Provision creates the client and the server. Later services register their
// methods with the server.
func (s *peerService) Provision(k *kernel.Kernel) error {
	c, err := kernel.Lookup[*certsService](k, serviceCerts)
	if err != nil {
		return err
	}
	key, err := s.opts.Settings.ClusterKey.Read()
	if err != nil {
		return err
	}
	var serverTLS *tls.Config
	if c.reloader != nil {
		serverTLS = c.reloader.ServerConfig(false)
	}
	s.server, err = peer.NewServer(peer.ServerOptions{Key: key, TLS: serverTLS, Clock: s.opts.Clock, Logger: s.opts.Logger})
	if err != nil {
		return err
	}
	s.client, err = peer.NewClient(peer.ClientOptions{
		Key: key, Self: s.opts.Settings.Host, Dial: c.dialPeer(), Clock: s.opts.Clock, Logger: s.opts.Logger,
	})
	if err != nil {
		return err
	}
	s.ln, err = net.Listen("tcp", s.opts.Settings.Listen.Peer)
	return errors.Wrap(err, "daemon: listen for peers")
}

// Start starts answering peers. All services have registered their methods by then.
func (s *peerService) Start(context.Context) error {
	s.run.Start(servicePeers, func(ctx context.Context) error { return s.server.Serve(ctx, s.ln) })
	return nil
}

// Stop ends all calls from and to peers.
func (s *peerService) Stop(ctx context.Context) error {
	return errors.CombineErrors(s.run.Stop(ctx), s.client.Close())
}

// membershipService provides the membership of the entry hosts.
type membershipService struct {
	base
	*membership.Membership
}

func (s *membershipService) Name() string       { return serviceMembership }
func (s *membershipService) Requires() []string { return []string{servicePeers} }

// Provision registers the heartbeat methods.
func (s *membershipService) Provision(k *kernel.Kernel) error {
	p, err := kernel.Lookup[*peerService](k, servicePeers)
	if err != nil {
		return err
	}
	set := s.opts.Settings
	s.Membership, err = membership.New(membership.Options{
		Self: membership.Member{
			Host: set.Host, PeerAddress: set.PeerAddress(), EntryAddress: set.EntryAddress(),
			FailureDomain: set.FailureDomain, Region: set.Region,
		},
		Seeds: set.Peers, Lister: newHostLister(set.Platform.HostList), Caller: p.client, Registrar: p.server,
		Clock: s.opts.Clock, Rand: s.opts.newRand(), Logger: s.opts.Logger,
		EntryTTL: set.Drain.EntryTTL.AsDuration(),
	})
	return err
}

// Start starts sending heartbeats.
func (s *membershipService) Start(context.Context) error {
	s.run.Start(serviceMembership, s.Membership.Run)
	return nil
}

// Stop stops heartbeats and announces to a few peers that the host has left.
func (s *membershipService) Stop(ctx context.Context) error { return s.run.Stop(ctx) }

// newRand returns a new source of random numbers. Each component protects its
// source with its own lock.
func (o *Options) newRand() *rand.Rand {
	return rand.New(rand.NewPCG(o.Rand.Uint64(), o.Rand.Uint64()))
}
