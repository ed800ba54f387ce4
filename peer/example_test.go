package peer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"

	"github.com/corianderlever/corianderlever/peer"
)

var key = []byte("a shared cluster key of 32 bytes")

func listen(ctx context.Context) (addr string, wait func(), err error) {
	server, err := peer.NewServer(peer.ServerOptions{Key: key})
	if err != nil {
		return "", nil, err
	}
	server.Handle("greet", func(_ context.Context, from string, params json.RawMessage) (any, error) {
		return fmt.Sprintf("%s says %s", from, params), nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(ctx, ln) }()
	return ln.Addr().String(), func() { <-done }, nil
}

func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addr, wait, err := listen(ctx)
	if err != nil {
		fmt.Println(err)
		return
	}
	client, err := peer.NewClient(peer.ClientOptions{Key: key, Self: "host-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	var answer string
	fmt.Println(client.Call(ctx, addr, "greet", "hello", &answer), answer)
	_ = client.Close()
	cancel()
	wait()
	// Output: <nil> host-1 says "hello"
}

// BenchmarkCall measures one small call over loopback TCP.
func BenchmarkCall(b *testing.B) {
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	addr, wait, err := listen(ctx)
	if err != nil {
		b.Fatal(err)
	}
	client, err := peer.NewClient(peer.ClientOptions{Key: key, Self: "host-1"})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := client.Call(ctx, addr, "greet", "hello", nil); err != nil {
			b.Fatal(err)
		}
	}
	_ = client.Close()
	cancel()
	wait()
}
