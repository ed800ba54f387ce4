package upstream

import (
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// userTimeout returns a net.Dialer control function that sets TCP_USER_TIMEOUT,
// or nil if d is not positive.
func userTimeout(d time.Duration) func(network, address string, c syscall.RawConn) error {
	if d <= 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		return setTCPOption(c, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	}
}

// noUnreadData reports whether a connection is open and has no data to read.
// Data that arrives while no request is in flight belongs to no request.
func noUnreadData(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && open
}
