package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/platform/platformtest"
)

// Kind is a kind of request.
type Kind int

// The kinds of requests that callers send.
const (
	Book Kind = iota
	Look
	Talk
)

func (k Kind) path() string {
	return [...]string{platformtest.BookPath, platformtest.LookupPath, platformtest.StreamPath}[k]
}

// Call is one request of a caller and what came of it.
type Call struct {
	ID     string
	Kind   Kind
	Key    string
	Host   string
	Sent   time.Time
	Ended  time.Time
	Status int // zero without an answer
	Body   string
	// Cut is set if the answer broke off, or none came.
	Cut bool
}

// Answered reports a whole success.
func (c *Call) Answered() bool { return c.Status == http.StatusOK && !c.Cut }

// Caller sends requests one after the other. It keeps its connections until
// the host ends them.
type Caller struct {
	name  string
	hosts []*Host
	rng   *rand.Rand
	http  *http.Client

	addresses []string
	expires   time.Time

	mu    sync.Mutex
	calls []Call
}

// callTimeout is how long callers wait, callPause the time between two calls.
const (
	callTimeout = 5 * time.Second
	callPause   = 20 * time.Millisecond
)

// NewCaller returns a caller that knows the directories of all hosts.
func NewCaller(name string, hosts []*Host, seed uint64) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{
		name: name, hosts: hosts, rng: rand.New(rand.NewPCG(seed, 7)),
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}},
	}
}

// Run sends requests until ctx ends.
func (c *Caller) Run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		host := c.address(ctx)
		if host == "" {
			wait(ctx, 10*callPause)
			continue
		}
		key := platformtest.ValidKey
		if c.rng.IntN(5) == 0 {
			key = platformtest.RevokedKey
		}
		call := c.send(ctx, Call{ID: fmt.Sprintf("%s-%d", c.name, n), Kind: Kind(c.rng.IntN(3)), Key: key, Host: host})
		if ctx.Err() == nil {
			c.mu.Lock()
			c.calls = append(c.calls, call)
			c.mu.Unlock()
		}
		if !call.Answered() {
			c.expires = time.Time{} // try another address
		}
		wait(ctx, time.Duration(1+c.rng.IntN(2))*callPause)
	}
}

// Calls returns what has been sent so far.
func (c *Caller) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

// address returns one of the addresses that a directory names, asked anew when
// its answer has expired.
func (c *Caller) address(ctx context.Context) string {
	if time.Now().After(c.expires) {
		for range 3 {
			h := c.hosts[c.rng.IntN(len(c.hosts))]
			if c.resolve(ctx, h) {
				break
			}
		}
	}
	if len(c.addresses) == 0 {
		return ""
	}
	return c.addresses[c.rng.IntN(len(c.addresses))]
}

func (c *Caller) resolve(ctx context.Context, h *Host) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	addresses, ttl, err := platformtest.Resolve(ctx, c.http, h.Addresses.Directory, "domain-0")
	if err != nil {
		return false
	}
	c.addresses, c.expires = addresses, time.Now().Add(ttl)
	return true
}

func (c *Caller) send(ctx context.Context, call Call) Call {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	method := http.MethodPost
	if call.Kind == Look {
		method = http.MethodGet
	}
	req, err := platformtest.NewRequest(ctx, method, call.Host, call.Kind.path(), call.ID, call.Key, callTimeout)
	if err != nil {
		call.Cut = true
		return call
	}
	call.Sent = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		call.Cut, call.Ended = true, time.Now()
		return call
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	call.Status, call.Body, call.Cut, call.Ended = resp.StatusCode, string(body), err != nil, time.Now()
	return call
}
