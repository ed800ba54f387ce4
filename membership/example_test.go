package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/peer"
)

func Example() {
	key := []byte("a shared cluster key of 32 bytes")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := peer.NewServer(peer.ServerOptions{Key: key})
	if err != nil {
		fmt.Println(err)
		return
	}
	client, err := peer.NewClient(peer.ClientOptions{Key: key, Self: "host-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	m, err := membership.New(membership.Options{
		Self: membership.Member{
			Host:          "host-1",
			PeerAddress:   ln.Addr().String(),
			EntryAddress:  "127.0.0.1:8080",
			FailureDomain: "a",
		},
		Caller:    client,
		Registrar: server,
		Rand:      rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	done := make(chan error, 2)
	go func() { done <- server.Serve(ctx, ln) }()
	go func() { done <- m.Run(ctx) }()
	list := m.Entries(time.Now())
	fmt.Println(list.Entries[0].Address, list.TTLMS, m.HasMajority())
	cancel()
	fmt.Println(<-done, <-done)
	// Output:
	// 127.0.0.1:8080 2000 true
	// <nil> <nil>
}

// BenchmarkMerge measures the merge of an observation that changes nothing, the
// most frequent step of a heartbeat, in a fleet of 870 hosts.
func BenchmarkMerge(b *testing.B) {
	now := time.Unix(1, 0)
	record := func(i int) membership.Member {
		return membership.Member{Host: fmt.Sprint(i), PeerAddress: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), Incarnation: 1, Started: 1}
	}
	table := membership.NewTable(now, record(0))
	for i := range 870 {
		table.Merge(now, record(i))
	}
	unchanged := record(400)
	b.ReportAllocs()
	for b.Loop() {
		table.Merge(now, unchanged)
	}
}
