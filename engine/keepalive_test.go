package engine_test

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"github.com/corianderlever/corianderlever/engine"
)

// TestLostConnectionsOfEndpointsEnd guards against an answer that waits until its deadline on a
// connection whose packets are lost, while the endpoint turns new connections away.
func TestLostConnectionsOfEndpointsEnd(t *testing.T) {
	const maxSeconds = 10
	transport := new(http.Transport)
	engine.NewClient(transport)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	conn, err := transport.DialContext(context.Background(), "tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	err = raw.Control(func(fd uintptr) {
		option := func(name int) int {
			value, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			if err != nil {
				t.Error(err)
			}
			return value
		}
		idle, interval, count := option(unix.TCP_KEEPIDLE), option(unix.TCP_KEEPINTVL), option(unix.TCP_KEEPCNT)
		if seconds := idle + interval*count; seconds > maxSeconds {
			t.Errorf("a lost connection ends after %d s, want at most %d s", seconds, maxSeconds)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}
