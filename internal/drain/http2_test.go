package drain_test

import (
	"bytes"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/corianderlever/corianderlever/internal/drain"
)

// TestHTTP2AnswersAreCompleteDuringAStop guards against a stop that closes a connection before
// the end of its last answer has been written, or that waits for one without a request.
func TestHTTP2AnswersAreCompleteDuringAStop(t *testing.T) {
	certs := httptest.NewUnstartedServer(nil)
	certs.EnableHTTP2 = true
	certs.StartTLS()
	defer certs.Close()
	g := newGate(t)
	arrived, release := make(chan struct{}, 1), make(chan struct{})
	tracker := drain.New(drain.Options{})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			arrived <- struct{}{}
			<-release
		}
		fmt.Fprint(w, "whole")
	}), ReadHeaderTimeout: testTimeout}
	tracker.Attach(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(tls.NewListener(tracker.Listener(g), certs.TLS)) }()
	get := func(client *http.Client, path string) error {
		resp, err := client.Get("https://" + g.Addr().String() + path)
		if err != nil {
			return err
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		if err == nil && (resp.ProtoMajor != 2 || string(body) != "whole") {
			err = fmt.Errorf("got %q by %s", body, resp.Proto)
		}
		return err
	}
	newClient := func() *http.Client {
		transport := &http.Transport{ForceAttemptHTTP2: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}} //nolint:gosec // a test certificate
		t.Cleanup(transport.CloseIdleConnections)
		return &http.Client{Transport: transport, Timeout: testTimeout}
	}
	unused, busy := newClient(), newClient()
	if err := get(unused, "/"); err != nil {
		t.Fatal(err)
	}
	answered := make(chan error, 1)
	go func() { answered <- get(busy, "/wait") }()
	receive(t, arrived)
	waitFor(t, "only the request is in flight", func() bool { return tracker.InFlight() == 1 })
	cut := stop(t.Context(), tracker, 0)
	waitFor(t, "the stop begins", tracker.Refusing)
	close(release)
	if err := receive(t, answered); err != nil {
		t.Errorf("the request in flight: %v", err)
	}
	if n := receive(t, cut); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
	if err := receive(t, ended); err != http.ErrServerClosed {
		t.Errorf("server ended with %v", err)
	}
}

// TestHTTP2FramesWithoutARequestAreNotInFlight guards against a stop that waits for connections
// on which only frames of the protocol have arrived.
func TestHTTP2FramesWithoutARequestAreNotInFlight(t *testing.T) {
	certs := httptest.NewUnstartedServer(nil)
	certs.EnableHTTP2 = true
	certs.StartTLS()
	defer certs.Close()
	g := newGate(t)
	tracker := drain.New(drain.Options{})
	server := &http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: testTimeout}
	tracker.Attach(server)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(tls.NewListener(tracker.Listener(g), certs.TLS)) }()
	conn := tls.Client(dial(t, g).conn, &tls.Config{InsecureSkipVerify: true, NextProtos: []string{"h2"}}) //nolint:gosec // a test certificate
	const (
		preface     = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
		settings    = "\x00\x00\x00\x04\x00\x00\x00\x00\x00"
		settingsAck = "\x00\x00\x00\x04\x01\x00\x00\x00\x00"
		ping        = "\x00\x00\x08\x06\x00\x00\x00\x00\x00" + "12345678"
		pong        = "\x00\x00\x08\x06\x01\x00\x00\x00\x00" + "12345678"
	)
	exchange := func(send, want string) {
		if _, err := io.WriteString(conn, send); err != nil {
			t.Fatal(err)
		}
		var got []byte
		for !bytes.HasSuffix(got, []byte(want)) {
			b := make([]byte, 1)
			if _, err := conn.Read(b); err != nil {
				t.Fatalf("after %q: %v", got, err)
			}
			got = append(got, b...)
		}
	}
	exchange(preface+settings, settingsAck)
	exchange(ping, pong)
	if n := tracker.InFlight(); n != 0 {
		t.Errorf("got %d requests in flight, want none", n)
	}
	if n := receive(t, stop(t.Context(), tracker, 0)); n != 0 {
		t.Errorf("got %d connections cut, want none", n)
	}
	if err := receive(t, ended); err != http.ErrServerClosed {
		t.Errorf("server ended with %v", err)
	}
}
