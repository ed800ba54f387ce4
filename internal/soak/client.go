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
	Lookup
	Stream
	// Crash is a stream with a prompt part on which engines crash.
	Crash
)

func (k Kind) path() string {
	return [...]string{platformtest.BookPath, platformtest.LookupPath, platformtest.StreamPath, platformtest.StreamPath}[k]
}

// topics is the number of prompt parts that sound streams share.
const topics = 5

// promptParts returns the parts of a stream's prompt, the last one its own.
func (c *Caller) promptParts(call Call) []string {
	middle := fmt.Sprint("topic", c.rng.IntN(topics))
	if call.Kind == Crash {
		middle = platformtest.CrashPart
	}
	return []string{"shared", middle, call.ID}
}

// Call is one request of a caller and its result.
type Call struct {
	ID   string
	Kind Kind
	Key  string
	Host string
	// Timeout bounds the call, and Work is what it asks of the endpoint.
	Timeout time.Duration
	Work    platformtest.Work
	// Upload is the time that a line takes to send the body; zero for no body.
	Upload time.Duration
	Sent   time.Time
	// Written is the time at which the whole request was sent on a line; zero if it was not.
	Written time.Time
	Ended   time.Time
	Status  int // zero without a response
	Body    string
	// Incomplete is set if the response was interrupted or none arrived.
	Incomplete bool
	// Err is the error that ended the call on a line.
	Err string
}

// Answered reports whether the call received a complete response with status 200.
func (c *Call) Answered() bool { return c.Status == http.StatusOK && !c.Incomplete }

// Caller sends requests one after the other. It keeps its connections open
// until the host closes them.
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

// crashEvery is the number of calls of which one has a prompt part that crashes engines.
const crashEvery = 40

// callTimeout bounds one call; callPause is the unit of the pause between calls.
const (
	callTimeout = 5 * time.Second
	callPause   = 20 * time.Millisecond
)

// NewCaller returns a caller that resolves addresses through the directories
// of the given hosts.
func NewCaller(name string, hosts []*Host, seed uint64) *Caller {
	dialer := &net.Dialer{Timeout: time.Second}
	return &Caller{
		name: name, hosts: hosts, rng: rand.New(rand.NewPCG(seed, 7)),
		http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}},
	}
}

// Run sends requests until ctx is done.
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
		kind := Kind(c.rng.IntN(int(Crash)))
		if c.rng.IntN(crashEvery) == 0 {
			kind = Crash
		}
		call := c.send(ctx, Call{ID: fmt.Sprintf("%s-%d", c.name, n), Kind: kind, Key: key, Host: host})
		if ctx.Err() == nil {
			c.add(call)
		}
		if !call.Answered() {
			c.expires = time.Time{} // try another address
		}
		wait(ctx, time.Duration(1+c.rng.IntN(2))*callPause)
	}
}

func (c *Caller) add(call Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// Calls returns a copy of the calls made so far.
func (c *Caller) Calls() []Call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]Call(nil), c.calls...)
}

// address returns one of the resolved addresses, or "" if there are none. It
// resolves again when the previous result has expired.
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
	if call.Kind == Lookup {
		method = http.MethodGet
	}
	req, err := platformtest.NewRequest(ctx, method, call.Host, call.Kind.path(), call.ID, call.Key, callTimeout)
	if err != nil {
		call.Incomplete = true
		return call
	}
	if call.Kind == Stream || call.Kind == Crash {
		platformtest.SetPromptParts(req, c.promptParts(call)...)
	}
	call.Sent = time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		call.Incomplete, call.Ended = true, time.Now()
		return call
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	call.Status, call.Body, call.Incomplete, call.Ended = resp.StatusCode, string(body), err != nil, time.Now()
	return call
}
