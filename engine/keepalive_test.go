package engine

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/corianderlever/corianderlever/internal/sockstate"
)

// TestLostConnectionsOfEndpointsEnd guards against an answer that waits until its deadline on a
// connection whose packets are lost, while the endpoint turns new connections away.
func TestLostConnectionsOfEndpointsEnd(t *testing.T) {
	const maxSeconds = 10
	server := httptest.NewTLSServer(http.NotFoundHandler())
	defer server.Close()
	dialTLS := &tls.Dialer{Config: server.Client().Transport.(*http.Transport).TLSClientConfig}
	transport := NewClient(&http.Transport{DialTLSContext: dialTLS.DialContext}).http.Transport.(*http.Transport)
	for name, dial := range map[string]dialFunc{"TCP": transport.DialContext, "TLS": transport.DialTLSContext} {
		conn, err := dial(context.Background(), "tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(name, err)
		}
		defer conn.Close()
		if seconds := keepAliveSeconds(t, conn); seconds > maxSeconds {
			t.Errorf("%s: a lost connection ends after %d s, want at most %d s", name, seconds, maxSeconds)
		}
	}
}

// keepAliveSeconds returns the time after the last packet at which the system ends a connection.
func keepAliveSeconds(t *testing.T, conn net.Conn) int {
	t.Helper()
	tcp, ok := sockstate.Conn(conn)
	if !ok {
		t.Fatalf("%T is no TCP connection", conn)
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var options [3]int
	err = raw.Control(func(fd uintptr) {
		for i, name := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			if options[i], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name); err != nil {
				t.Error(err)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return options[0] + options[1]*options[2]
}
