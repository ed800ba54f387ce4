package drain_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/internal/drain"
)

// TestTLSConnectionsAreFollowed guards against a stop that does not see the requests of
// encrypted connections, or that waits for connections which have sent none.
func TestTLSConnectionsAreFollowed(t *testing.T) {
	certs := httptest.NewUnstartedServer(nil)
	certs.StartTLS()
	defer certs.Close()
	g := newGate(t)
	release := make(chan struct{})
	tracker := drain.New(drain.Options{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-release
		fmt.Fprint(w, "whole")
	}), ReadHeaderTimeout: testTimeout}
	tracker.Attach(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(tls.NewListener(tracker.Listener(g), certs.TLS)) }()
	dialTLS := func() *caller {
		c := dial(t, g)
		conn := tls.Client(c.conn, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a test certificate
		if err := conn.HandshakeContext(context.Background()); err != nil {
			t.Fatal(err)
		}
		c.conn = conn
		return c
	}
	unused, c := dialTLS(), dialTLS()
	defer func() { _ = unused.conn.Close() }()
	c.r = bufio.NewReader(c.conn)
	c.request()
	waitFor(t, "the request arrives", func() bool { return tracker.InFlight() == 1 })
	cut := stop(t.Context(), tracker, 0)
	waitFor(t, "the stop begins", tracker.Refusing)
	close(release)
	if status, body, closes := c.answer(); status != http.StatusOK || body != "whole" || !closes {
		t.Errorf("got %d %q, closes the connection: %t", status, body, closes)
	}
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
	if err := receive(t, ended); err != http.ErrServerClosed {
		t.Errorf("server ended with %v", err)
	}
}

// TestRequestOfAClosedConnectionIsNotServed guards against a request that is passed on without
// an answer, because its connection was closed as unused while the server decoded it.
func TestRequestOfAClosedConnectionIsNotServed(t *testing.T) {
	certs := httptest.NewUnstartedServer(nil)
	certs.StartTLS()
	defer certs.Close()
	g := newGate(t)
	served, release, closed := make(chan string, 2), make(chan struct{}), make(chan struct{}, 2)
	tracker := drain.New(drain.Options{})
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		served <- r.URL.Path
		<-release
	}), ReadHeaderTimeout: testTimeout}
	tracker.Attach(server)
	var hold atomic.Bool
	held, goOn := make(chan struct{}), make(chan struct{})
	follow := server.ConnState
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if state == http.StateActive && hold.Load() {
			held <- struct{}{}
			<-goOn
		}
		follow(c, state)
		if state == http.StateClosed {
			closed <- struct{}{}
		}
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(tls.NewListener(tracker.Listener(g), certs.TLS)) }()
	send := func(path string) net.Conn {
		conn := tls.Client(dial(t, g).conn, &tls.Config{InsecureSkipVerify: true}) //nolint:gosec // a test certificate
		if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		return conn
	}
	send("/in-flight")
	receive(t, served)
	hold.Store(true)
	conn := send("/decoded")
	receive(t, held)
	cut := stop(t.Context(), tracker, 0)
	if n, err := conn.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes of a connection that is closed as unused", n)
	}
	close(goOn)
	select {
	case path := <-served:
		t.Errorf("%s was served without a connection", path)
	case <-closed:
	case <-time.After(testTimeout):
		t.Error("the connection was not given up")
	}
	close(release)
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
	if err := receive(t, ended); err != http.ErrServerClosed {
		t.Errorf("server ended with %v", err)
	}
}
