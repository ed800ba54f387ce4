package claim_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

func Example() {
	ctx, clock := context.Background(), clockwork.NewRealClock()
	c := claim.New(memkv.New(clock), clock, rand.New(rand.NewPCG(1, 2)), "a", nil)
	key := claim.Key{Team: "t", Service: "booking", Operation: "book", IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
	first, _ := c.Claim(ctx, key)
	_ = c.Complete(ctx, key, claim.Answer{Status: 201, Body: []byte("slot 7")})
	retry, _ := c.Claim(ctx, key)
	fmt.Println(first.Won, retry.Won, string(retry.Answer.Body))
	// Output: true false slot 7
}

func BenchmarkID(b *testing.B) {
	key := claim.Key{Team: "t", Service: "booking", Operation: "book", IdempotencyKey: uuid.Must(uuid.NewV7()).String()}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := key.ID(); err != nil {
			b.Fatal(err)
		}
	}
}
