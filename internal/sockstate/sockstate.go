// Package sockstate reads from the system how far the peer of a TCP connection has received
// what was sent to it.
package sockstate

import (
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"
)

// ErrUndelivered reports a connection that was lost before its peer had acknowledged all data.
var ErrUndelivered = errors.New("sockstate: connection lost with unacknowledged data")

// Pauses between two looks at a connection. Linux reports no event for acknowledged data.
const (
	minPause = time.Millisecond
	maxPause = 100 * time.Millisecond
)

// Conn returns the TCP connection below a connection and the layers on it, such as TLS.
func Conn(c net.Conn) (*net.TCPConn, bool) {
	for {
		layer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = layer.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	return tcp, ok
}

// TCP returns the socket of the TCP connection below a connection.
func TCP(c net.Conn) (syscall.RawConn, bool) {
	tcp, ok := Conn(c)
	if !ok {
		return nil, false
	}
	raw, err := tcp.SyscallConn()
	return raw, err == nil
}

// Info returns the system's view of a connection.
func Info(raw syscall.RawConn) (info *unix.TCPInfo, err error) {
	ctlErr := raw.Control(func(fd uintptr) {
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Wrap(errors.CombineErrors(ctlErr, err), "sockstate: state of a connection")
}

// Unacknowledged returns the number of written bytes that the peer has not acknowledged.
func Unacknowledged(raw syscall.RawConn) (n int, err error) {
	ctlErr := raw.Control(func(fd uintptr) { n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return n, errors.Wrap(errors.CombineErrors(ctlErr, err), "sockstate: unacknowledged data")
}

// AwaitDelivery waits until the peer has acknowledged all written bytes. It returns an error if
// the connection is lost, or closed at this end, before that.
func AwaitDelivery(raw syscall.RawConn, clock clockwork.Clock) error {
	for pause := minPause; ; pause = min(2*pause, maxPause) {
		// The state is read first: once it is closed, the number does not change any more.
		info, err := Info(raw)
		if err != nil {
			return err
		}
		left, err := Unacknowledged(raw)
		switch {
		case err != nil:
			return err
		case left == 0:
			return nil
		case info.State == unix.BPF_TCP_CLOSE:
			return ErrUndelivered
		}
		clock.Sleep(pause)
	}
}
