// Package loopback gives out loopback addresses for hosts that run on one machine.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// given counts the IP addresses that this process has given out.
var given atomic.Uint32

// IP returns a loopback address that no other host of this process has. Outgoing
// connections come from 127.0.0.1, so none takes a port that a host listens on while it is
// down or has not started yet.
func IP() string {
	const perByte = 250
	n := given.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%perByte, n/perByte%perByte, 1+n%perByte)
}

// FreeAddress returns an address (IP:port) at ip that is free at the time of the call.
func FreeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", errors.Wrap(err, "loopback: find a port")
	}
	return ln.Addr().String(), errors.Wrap(ln.Close(), "loopback: find a port")
}
