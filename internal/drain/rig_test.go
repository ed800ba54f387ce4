package drain_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/drain"
)

// testTimeout bounds the wait for a condition that holds at once unless a test fails.
const testTimeout = 20 * time.Second

// gate holds the reads and writes of a connection back.
type gate struct {
	reads, writes atomic.Bool
	held          chan struct{}
	release       chan struct{}
	net.Listener
}

func newGate(t *testing.T) *gate {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &gate{Listener: ln, held: make(chan struct{}, 100), release: make(chan struct{})}
}

func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{Conn: c, gate: g}, nil
}

func (g *gate) hold() {
	g.held <- struct{}{}
	<-g.release
}

type gatedConn struct {
	net.Conn
	gate *gate
}

// Read holds bytes back that have arrived.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.gate.reads.Load() {
		c.gate.hold()
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if c.gate.writes.Load() {
		c.gate.hold()
	}
	return c.Conn.Write(b)
}

// start serves a handler at the gate.
func start(t *testing.T, g *gate, clock clockwork.Clock, handler http.HandlerFunc) *drain.Tracker {
	t.Helper()
	tracker := drain.New(drain.Options{Clock: clock})
	server := &http.Server{Handler: handler, ReadHeaderTimeout: testTimeout}
	tracker.Attach(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(tracker.Listener(g)) }()
	t.Cleanup(func() {
		over, cancel := context.WithCancel(context.Background())
		cancel()
		tracker.Stop(over, 0)
		if err := receive(t, ended); err != http.ErrServerClosed {
			t.Errorf("server ended with %v, want http.ErrServerClosed", err)
		}
	})
	return tracker
}

// caller is a connection of a caller.
type caller struct {
	t    *testing.T
	conn net.Conn
	r    *bufio.Reader
}

func dial(t *testing.T, g *gate) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", g.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return &caller{t: t, conn: conn, r: bufio.NewReader(conn)}
}

func (c *caller) send(text string) {
	c.t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		c.t.Fatal(err)
	}
}

func (c *caller) request() {
	c.t.Helper()
	c.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
}

// answer reads an answer and returns its status, its body and whether it closes the
// connection.
func (c *caller) answer() (status int, body string, closes bool) {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatalf("no answer: %v", err)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		c.t.Fatalf("incomplete answer: %v", err)
	}
	return resp.StatusCode, string(text), resp.Close
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("nothing happened in time")
		panic("unreachable")
	}
}

// waitFor polls a condition.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not in time: %s", what)
		}
	}
}

// stop runs Stop in the background; its result is the number of connections cut.
func stop(ctx context.Context, tracker *drain.Tracker, answerTime time.Duration) <-chan int {
	cut := make(chan int, 1)
	go func() { cut <- tracker.Stop(ctx, answerTime) }()
	return cut
}
