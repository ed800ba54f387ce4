package drain_test

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

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
