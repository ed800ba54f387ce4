package loopback

import (
	"strings"
	"testing"
)

// TestAddressesOfAHostDiffer guards against a host whose second listener finds the port in
// use by its first one.
func TestAddressesOfAHostDiffer(t *testing.T) {
	const hosts = 30_000
	ip, err := process.ip()
	if err != nil {
		t.Fatal(err)
	}
	same := 0
	for range hosts {
		addresses, err := freeAddresses(ip, 2)
		if err != nil {
			t.Fatal(err)
		}
		if addresses[0] == addresses[1] {
			same++
		}
	}
	if same > 0 {
		t.Errorf("%d of %d hosts have one address twice", same, hosts)
	}
}

// TestProcessesShareNoAddress guards against two processes that give out the same IP
// addresses because their process numbers differ by a multiple of the number of blocks.
func TestProcessesShareNoAddress(t *testing.T) {
	block := func(p *pool) string {
		t.Helper()
		ip, err := p.ip()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = p.claim.Close() })
		return strings.Join(strings.Split(ip, ".")[:2], ".")
	}
	first := &pool{first: 17}
	if got, other := block(first), block(&pool{first: first.first + blocks}); got == other {
		t.Errorf("two processes use the IP addresses %s.0.0/16", got)
	}
	if got, again := block(first), block(first); got != again {
		t.Errorf("one process uses the IP addresses %s.0.0/16 and %s.0.0/16", got, again)
	}
}

// TestHostsHaveIPAddressesOfTheirOwn guards against two hosts of a process at one IP address.
func TestHostsHaveIPAddressesOfTheirOwn(t *testing.T) {
	const hosts = 600
	seen := make(map[string]bool)
	for range hosts {
		addresses, err := Addresses(1)
		if err != nil {
			t.Fatal(err)
		}
		ip, _, _ := strings.Cut(addresses[0], ":")
		if seen[ip] {
			t.Fatalf("%s is given out twice", ip)
		}
		seen[ip] = true
	}
}
