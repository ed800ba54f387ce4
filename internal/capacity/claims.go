package capacity

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/claim"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// Claims is the cost of claims that one host makes concurrently.
type Claims struct {
	Claims int
	// Writes and Reads count the calls to the key-value service, including the
	// writes of the answers.
	Writes, Reads float64
	// PageBytes is the total size of all claim pages.
	PageBytes float64
}

// claimAnswerBytes is the size of the stored answer of each claim.
const claimAnswerBytes = 200

// MeasureClaims makes n concurrent claims, which are batched, and completes them.
func MeasureClaims(n int) (Claims, error) {
	clock := clockwork.NewRealClock()
	store := memkv.New(clock)
	kv := memkv.NewFaulty(store, clock)
	c := claim.New(kv, clock, rand.New(rand.NewPCG(4, 4)), "host-0001", discardLogger())
	answer := claim.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, claimAnswerBytes)}
	var keys []claim.Key
	for i := range n {
		id, err := uuid.NewV7()
		if err != nil {
			return Claims{}, errors.Wrap(err, "capacity: create idempotency key")
		}
		keys = append(keys, claim.Key{Team: teamName(i % teams), Service: "booking", Operation: "book", IdempotencyKey: id.String()})
	}
	err := runConcurrently(keys, func(k claim.Key) error {
		r, err := c.Claim(context.Background(), k)
		if err == nil && !r.Won {
			err = errors.New("capacity: claim lost without a competing claim")
		}
		return err
	})
	if err == nil {
		err = runConcurrently(keys, func(k claim.Key) error { return c.Complete(context.Background(), k, answer) })
	}
	if err != nil {
		return Claims{}, err
	}
	counts := kv.Counts()
	out := Claims{Claims: n, Writes: float64(counts[memkv.CallCompareAndSwap]), Reads: float64(counts[memkv.CallGet])}
	entries, _, err := store.List(context.Background(), "claim/")
	for _, e := range entries {
		out.PageBytes += float64(len(e.Value))
	}
	return out, errors.Wrap(err, "capacity: list claim pages")
}

// runConcurrently calls f for all keys at the same time and returns the first
// error in the order of keys.
func runConcurrently(keys []claim.Key, f func(claim.Key) error) error {
	errs := make([]error, len(keys))
	var wg sync.WaitGroup
	for i, k := range keys {
		wg.Go(func() { errs[i] = f(k) })
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
