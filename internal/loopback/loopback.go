// Package loopback gives out loopback addresses for hosts that run on one machine.
package loopback

import (
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
)

// ErrNoBlock reports that other processes have claimed all blocks of IP addresses.
var ErrNoBlock = errors.New("loopback: all blocks of IP addresses are in use")

const (
	// blocks is the number of blocks 127.N.0.0/16 that processes share out among them.
	blocks = 250
	// perByte is the number of values of each of the last two parts of an IP address.
	perByte = 250
	// claimPort lies below the ports that the system gives out.
	claimPort = 7339
)

// process gives out the addresses of this process.
var process = &pool{first: os.Getpid()}

// Addresses returns n different free addresses (IP:port) at an IP address that no other
// host has, also none of another process. Outgoing connections come from 127.0.0.1, so none
// takes a port that a host listens on while it is down or has not started yet.
func Addresses(n int) ([]string, error) {
	ip, err := process.ip()
	if err != nil {
		return nil, err
	}
	return freeAddresses(ip, n)
}

// pool gives out the IP addresses of one block.
type pool struct {
	// first is the number of the block that is tried first.
	first int

	mu    sync.Mutex
	block int
	// claim is the listener that keeps the block from other processes. It is open as long
	// as the process lives.
	claim net.Listener
	given int
}

func (p *pool) ip() (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claim == nil {
		if err := p.claimBlock(); err != nil {
			return "", err
		}
	}
	p.given++
	return fmt.Sprintf("127.%d.%d.%d", p.block, p.given/perByte%perByte, 1+p.given%perByte), nil
}

// claimBlock claims the first free block. The caller holds mu.
func (p *pool) claimBlock() error {
	for i := range blocks {
		p.block = 1 + (p.first+i)%blocks
		var err error
		p.claim, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", p.block, claimPort))
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.EADDRINUSE) {
			return errors.Wrap(err, "loopback: claim a block")
		}
	}
	return ErrNoBlock
}

// freeAddresses returns n addresses at ip. All are held until the last one is found, because
// the system may give out a port again once it is closed.
func freeAddresses(ip string, n int) ([]string, error) {
	var out []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, errors.Wrap(err, "loopback: find a port")
		}
		defer func() { _ = ln.Close() }() // no connection was made to it
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
