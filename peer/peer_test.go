package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

var (
	testKey       = []byte("0123456789abcdef0123456789abcdef")
	otherKey      = []byte("fedcba9876543210fedcba9876543210")
	discardLogger = slog.New(slog.DiscardHandler)
)

// pipeNet is an in-memory listener. wrap, if set, wraps the client's end of each
// connection.
type pipeNet struct {
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once
	wrap   func(net.Conn) net.Conn
}

func newPipeNet() *pipeNet {
	return &pipeNet{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (p *pipeNet) Accept() (net.Conn, error) {
	select {
	case c := <-p.accept:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeNet) Close() error   { p.once.Do(func() { close(p.closed) }); return nil }
func (p *pipeNet) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeNet) dial(ctx context.Context, _ string) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case p.accept <- far:
	case <-p.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if p.wrap != nil {
		return p.wrap(near), nil
	}
	return near, nil
}

// start runs a server until the test ends and returns it with a client.
func start(t interface {
	Context() context.Context
	Fatal(...any)
	Cleanup(func())
}, pn *pipeNet, so ServerOptions, co ClientOptions) (*Server, *Client) {
	so.Logger, co.Logger = discardLogger, discardLogger
	orDefault(&co.Self, "caller")
	so.Key = testKey
	if co.Key == nil {
		co.Key = testKey
	}
	if co.Dial == nil {
		co.Dial = pn.dial
	}
	server, err := NewServer(so)
	if err != nil {
		t.Fatal(err)
	}
	client, err := NewClient(co)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx, pn) }()
	t.Cleanup(func() { _ = client.Close(); cancel(); <-done })
	return server, client
}

// tamperConn records what the client sends and can alter it.
type tamperConn struct {
	net.Conn
	sent   bytes.Buffer
	tamper func(n int, b []byte) []byte
	writes int
}

func (c *tamperConn) Write(b []byte) (int, error) {
	c.sent.Write(b)
	out := bytes.Clone(b)
	if c.tamper != nil {
		out = c.tamper(c.writes, out)
	}
	c.writes++
	_, err := c.Conn.Write(out)
	return len(b), err
}

// Guards against running a call for a party without the key: with a wrong key, a
// replayed session, or frames altered or duplicated on the network path.
func TestUnauthenticatedCallsDoNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int32
		pn := newPipeNet()
		var last *tamperConn
		var tamper func(int, []byte) []byte
		pn.wrap = func(c net.Conn) net.Conn { last = &tamperConn{Conn: c, tamper: tamper}; return last }
		server, good := start(t, pn, ServerOptions{}, ClientOptions{})
		server.Handle("m", func(context.Context, string, json.RawMessage) (any, error) {
			return runs.Add(1), nil
		})
		if err := good.Call(t.Context(), "a", "m", 1, nil); err != nil || runs.Load() != 1 {
			t.Fatalf("call with the right key: error %v, ran %d times; want 1", err, runs.Load())
		}
		recorded := bytes.Clone(last.sent.Bytes())
		try := func(name string, key []byte, want error, m func(int, []byte) []byte) {
			runs.Store(0)
			tamper = m
			c, err := NewClient(ClientOptions{Key: key, Self: "caller", Dial: pn.dial, Logger: discardLogger})
			if err != nil {
				t.Fatal(err)
			}
			err = c.Call(t.Context(), "a", "m", 1, nil)
			if runs.Load() != 0 || err == nil || want != nil && !errors.Is(err, want) {
				t.Errorf("%s: ran %d times, error %v; want 0 times, error %v", name, runs.Load(), err, want)
			}
			_ = c.Close()
		}
		try("wrong key", otherKey, ErrAuthentication, nil)
		try("wrong key is unreachable", otherKey, ErrUnreachable, nil)
		// The second write is the client's proof, the third its first frame.
		flip := func(at int) func(int, []byte) []byte {
			return func(n int, b []byte) []byte {
				if n == at {
					b[len(b)-1] ^= 1
				}
				return b
			}
		}
		try("changed hello", testKey, nil, flip(0))
		try("changed proof", testKey, nil, flip(1))
		try("changed frame", testKey, ErrNoReply, flip(2))
		tamper = nil
		runs.Store(0)
		raw, err := pn.dial(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, raw) }()
		_, _ = raw.Write(recorded)
		synctest.Wait()
		if runs.Load() != 0 {
			t.Error("a replayed session ran the call")
		}
		_ = raw.Close()
		tamper = func(n int, b []byte) []byte {
			if n == 2 {
				return append(b, b...)
			}
			return b
		}
		c, _ := NewClient(ClientOptions{Key: testKey, Dial: pn.dial, Logger: discardLogger})
		_ = c.Call(t.Context(), "a", "m", 1, nil)
		synctest.Wait()
		if runs.Load() > 1 {
			t.Error("a duplicated frame ran the call twice")
		}
		_ = c.Close()
	})
}

// Guards against a server that accepts a client without the key, if that client
// does not check the server's proof and sends an invalid proof.
func TestServerChecksClientProof(t *testing.T) {
	near, far := net.Pipe()
	go func() {
		nonce := make([]byte, nonceBytes)
		_, _ = near.Write(append(append([]byte(handshakeMagic), nonce...), 0))
		_, _ = io.ReadFull(near, make([]byte, nonceBytes+32))
		_, _ = near.Write(make([]byte, 32))
	}()
	if _, _, _, err := serverHandshake(far, testKey); !errors.Is(err, ErrAuthentication) {
		t.Errorf("handshake without a valid proof: %v, want ErrAuthentication", err)
	}
}

// Guards against reporting ErrUnreachable for a call that ran, running a call
// twice, and wrong replies, while connections fail at every step.
func TestErrorsMatchExecutionUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			var mu sync.Mutex
			ran := make(map[int]int)
			fault := "none"
			pn := newPipeNet()
			pn.wrap = func(c net.Conn) net.Conn {
				return &faultyConn{Conn: c, fault: func() string { mu.Lock(); defer mu.Unlock(); return fault }}
			}
			server, client := start(t, pn, ServerOptions{}, ClientOptions{CallTimeout: time.Second})
			server.Handle("m", func(_ context.Context, _ string, p json.RawMessage) (any, error) {
				var id int
				if err := json.Unmarshal(p, &id); err != nil {
					return nil, err
				}
				mu.Lock()
				defer mu.Unlock()
				ran[id]++
				return id, nil
			})
			for id := range rapid.IntRange(1, 12).Draw(t, "calls") {
				mu.Lock()
				fault = rapid.SampledFrom([]string{"none", "none", "refuse", "cut write", "half write", "cut after write", "swallow"}).Draw(t, "fault")
				injected := fault
				mu.Unlock()
				got := -1
				err := client.Call(t.Context(), "a", "m", id, &got)
				synctest.Wait()
				mu.Lock()
				times := ran[id]
				mu.Unlock()
				switch {
				case err == nil && (got != id || times != 1):
					t.Fatalf("call %d: got reply %d after %d runs, want 1 run", id, got, times)
				case errors.Is(err, ErrUnreachable) && times != 0:
					t.Fatalf("call %d ran %d times but is reported as unreachable: %v", id, times, err)
				case times > 1:
					t.Fatalf("call %d ran %d times, want at most 1", id, times)
				case err != nil && !errors.Is(err, ErrUnreachable) && !errors.Is(err, ErrNoReply):
					t.Fatalf("call %d: got error %v, want ErrUnreachable or ErrNoReply", id, err)
				}
				if injected == "none" && err != nil && !errors.Is(err, ErrNoReply) {
					t.Fatalf("call %d without an injected fault: %v", id, err)
				}
			}
		})
	})
}

// faultyConn applies the current fault to each write.
type faultyConn struct {
	net.Conn
	fault func() string
}

func (f *faultyConn) Write(b []byte) (int, error) {
	switch f.fault() {
	case "refuse", "cut write":
		_ = f.Conn.Close()
		return 0, io.ErrClosedPipe
	case "half write":
		n, _ := f.Conn.Write(b[:len(b)/2])
		_ = f.Conn.Close()
		return n, io.ErrClosedPipe
	case "cut after write":
		n, err := f.Conn.Write(b)
		_ = f.Conn.Close()
		return n, err
	case "swallow":
		return len(b), nil
	}
	return f.Conn.Write(b)
}

// Guards against keeping a connection on which replies no longer arrive, and
// against closing a connection with one slow handler while other replies arrive.
func TestSilentConnectionIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var silenced atomic.Bool
		var dials atomic.Int32
		pn := newPipeNet()
		pn.wrap = func(c net.Conn) net.Conn {
			first := dials.Add(1) == 1
			return &faultyConn{Conn: c, fault: func() string {
				if first && silenced.Load() {
					return "swallow"
				}
				return "none"
			}}
		}
		server, client := start(t, pn, ServerOptions{}, ClientOptions{CallTimeout: time.Second, ConnsPerPeer: 1})
		server.Handle("quick", func(context.Context, string, json.RawMessage) (any, error) { return nil, nil })
		server.Handle("slow", func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		call := func(method string) error { return client.Call(t.Context(), "a", method, nil, nil) }
		for range 4 {
			slow := make(chan error)
			go func() { slow <- call("slow") }()
			synctest.Wait()
			if err := call("quick"); err != nil {
				t.Fatal(err)
			}
			if err := <-slow; !errors.Is(err, ErrNoReply) {
				t.Fatalf("slow call: got %v, want ErrNoReply", err)
			}
		}
		if dials.Load() != 1 {
			t.Fatalf("got %d connections, want 1 while other replies arrive", dials.Load())
		}
		silenced.Store(true)
		for range maxSilentCalls {
			if err := call("quick"); !errors.Is(err, ErrNoReply) {
				t.Fatalf("call on a silent connection: got %v, want ErrNoReply", err)
			}
		}
		if err := call("quick"); err != nil {
			t.Fatalf("call after the silent connection was replaced: %v", err)
		}
	})
}

// Guards against unbounded memory use: the limits on calls in flight at either
// end, on message sizes in either direction, and on the time of a handshake.
func TestCallMessageAndHandshakeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pn := newPipeNet()
		server, client := start(t, pn,
			ServerOptions{MaxServing: 2, MaxMessageBytes: 1000, MaxConns: 2},
			ClientOptions{MaxInFlight: 3, MaxMessageBytes: 1000, ConnsPerPeer: 1})
		release := make(chan struct{})
		server.Handle("wait", func(context.Context, string, json.RawMessage) (any, error) { <-release; return nil, nil })
		server.Handle("big", func(context.Context, string, json.RawMessage) (any, error) { return make([]byte, 1000), nil })
		errs := make(chan error, 5)
		for range 5 {
			go func() { errs <- client.Call(t.Context(), "a", "wait", nil, nil) }()
			synctest.Wait()
		}
		for range 3 {
			if err := <-errs; !errors.Is(err, ErrOverloaded) || !errors.Is(err, ErrUnreachable) {
				t.Errorf("call above the limits: got %v, want ErrOverloaded and ErrUnreachable", err)
			}
		}
		close(release)
		for range 2 {
			if err := <-errs; err != nil {
				t.Errorf("call within the limits: %v", err)
			}
		}
		if err := client.Call(t.Context(), "a", "wait", make([]byte, 1000), nil); !errors.Is(err, ErrTooLarge) {
			t.Errorf("large params: got %v, want ErrTooLarge", err)
		}
		var remote *RemoteError
		if err := client.Call(t.Context(), "a", "big", nil, nil); !errors.As(err, &remote) || remote.Code != CodeTooLarge {
			t.Errorf("large reply: got %v, want CodeTooLarge", err)
		}
		idle, err := pn.dial(t.Context(), "a")
		if err != nil {
			t.Fatal(err)
		}
		before := time.Now()
		if _, err := idle.Read(make([]byte, 1)); err == nil || time.Since(before) > DefaultDialTimeout {
			t.Errorf("unfinished handshake ended with error %v after %v", err, time.Since(before))
		}
	})
}
