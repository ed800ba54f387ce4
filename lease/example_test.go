package lease_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/lease"
)

func Example() {
	clock := clockwork.NewRealClock()
	c := lease.New(memkv.New(clock), clock, rand.New(rand.NewPCG(1, 2)), lease.Config{Role: "placement", Host: "a"})
	err := c.Guard(context.Background(), func(context.Context, int64) error { return nil })
	fmt.Println(err)
	// Output: lease: role not held
}

func BenchmarkToken(b *testing.B) {
	clock := clockwork.NewRealClock()
	c := lease.New(memkv.New(clock), clock, rand.New(rand.NewPCG(1, 2)), lease.Config{Role: "placement", Host: "a"})
	b.ReportAllocs()
	for b.Loop() {
		c.Token()
	}
}
