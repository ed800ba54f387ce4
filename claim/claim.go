// Package claim makes non-idempotent requests run at most once. A host claims
// the request's key in the key-value service before dispatch; every other
// attempt with the key is a repeat. Claims of a host are gathered per shard
// and agreed in one compare-and-swap.
package claim

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
)

// Errors of this package.
var (
	// ErrBadKey reports a key that is not a UUIDv7 or lies in the future.
	ErrBadKey = errors.New("claim: key is not a current UUIDv7")
	// ErrTooOld reports a key older than the retention; whether it ran is unknown.
	ErrTooOld = errors.New("claim: key older than the retention")
	// ErrNotClaimed reports that the request must not run: outcome not_run.
	ErrNotClaimed = errors.New("claim: could not be agreed")
	// ErrNotStored reports that a change after the claim is not in the store:
	// an answer is known to this host only, or a claim is given up later.
	ErrNotStored = errors.New("claim: change not stored")
	// ErrNotOwner reports that this host does not hold the claim.
	ErrNotOwner = errors.New("claim: not held by this host")
)

// Limits of the package. All hosts must agree on shards and windows.
const (
	// Retention is the age up to which a key can be claimed and repeated.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the largest body that is stored for repeats.
	MaxAnswerBytes = 4 << 10

	shards = 8
	window = time.Minute
	// gatherTime is the longest time that a claim waits for others.
	gatherTime = 20 * time.Millisecond
	// settleLimit bounds the attempts to agree one batch.
	settleLimit = time.Second
	// Pauses between attempts double from the first to the last value. Even a
	// conflict waits, because a store that answers from the past repeats it.
	firstPause = 5 * time.Millisecond
	lastPause  = 50 * time.Millisecond
	// futureLimit admits callers whose clock runs ahead.
	futureLimit = 5 * time.Minute
	// removalSlack is the age beyond Retention at which a page may go. Half of
	// it covers a host that stalls between reading a page and writing it, the
	// other half covers clock skew between hosts.
	removalSlack = 10 * time.Minute
	// answerCache is the number of own answers kept for peers, at most 4 MiB.
	answerCache = 1024
)

// Answer is the stored answer of a request.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the media type of Body.
	ContentType string `json:"content_type,omitempty"`
	// Body is the whole body.
	Body []byte `json:"body,omitempty"`
	// Request is a hash of the body that was answered; zero if it is not known.
	Request uint64 `json:"request,omitempty"`
}

// Result tells whether the caller of Claim may run the request.
type Result struct {
	// Won is true for the one attempt that may run.
	Won bool
	// Answer is the stored answer of a repeat, nil when it is unknown.
	Answer *Answer
	// Host is the host that holds the claim. A repeat without an answer can
	// ask it (claim.Answer).
	Host string
}

// Claimer claims keys for one host. It is safe for concurrent use.
type Claimer struct {
	store kv.KV
	clock clockwork.Clock
	host  string
	log   *slog.Logger

	flushing [shards]sync.Mutex

	mu      sync.Mutex
	rng     *rand.Rand
	pending [shards][]*op
	undos   map[string][]*op // by page
	won     map[string]*op   // by claim id, until Complete or Abandon
	answers *lru.Cache[string, Answer]
}

// New returns a Claimer that writes host into its claims. The rng makes the
// random ids of the claims and must be seeded differently on each host.
func New(store kv.KV, clock clockwork.Clock, rng *rand.Rand, host string, log *slog.Logger) *Claimer {
	answers, err := lru.New[string, Answer](answerCache)
	if err != nil {
		panic(err) // only for a size below one
	}
	if log == nil {
		log = slog.Default()
	}
	return &Claimer{
		store: store, clock: clock, host: host, log: log, rng: rng, answers: answers,
		undos: make(map[string][]*op), won: make(map[string]*op),
	}
}

// Claim tries to become the one attempt that may run. On ErrNotClaimed the
// request has not run and must not run. If ctx ends first, a claim that was
// agreed nevertheless is undone.
func (c *Claimer) Claim(ctx context.Context, key Key) (Result, error) {
	o, err := c.begin(key)
	if err != nil {
		return Result{}, err
	}
	return c.await(ctx, o)
}

// Complete stores the answer of a won claim for repeats. A body over
// MaxAnswerBytes is not stored. On ErrNotStored only this host knows the answer.
func (c *Claimer) Complete(ctx context.Context, key Key, answer Answer) error {
	held, err := c.takeWon(key)
	if err != nil {
		return err
	}
	if len(answer.Body) > MaxAnswerBytes {
		return nil
	}
	c.answers.Add(held.id, answer)
	o := newOp(opComplete, held.place, held.nonce)
	o.answer, o.expect = &answer, held.expect
	return c.run(ctx, o)
}

// Abandon gives up a won claim whose attempt certainly did not run, so that a
// repeat can win. If the store is unreachable the claim is given up later.
func (c *Claimer) Abandon(ctx context.Context, key Key) error {
	held, err := c.takeWon(key)
	if err != nil {
		return err
	}
	o := newOp(opUndo, held.place, held.nonce)
	o.expect = held.expect
	return c.run(ctx, o)
}

// StoredAnswer returns an answer that this host stored with Complete, by Key.ID.
// It serves the peer call claim.Answer.
func (c *Claimer) StoredAnswer(id string) (Answer, bool) { return c.answers.Get(id) }

func (c *Claimer) takeWon(key Key) (*op, error) {
	p, err := c.locate(key)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	held, ok := c.won[p.id]
	if !ok {
		return nil, ErrNotOwner
	}
	delete(c.won, p.id)
	return held, nil
}

// begin checks the key and queues a claim.
func (c *Claimer) begin(key Key) (*op, error) {
	p, err := c.locate(key)
	if err != nil {
		return nil, err
	}
	if c.age(p) > Retention {
		return nil, ErrTooOld
	}
	if c.age(p) < -futureLimit {
		return nil, ErrBadKey
	}
	o := newOp(opClaim, p, c.nonce())
	c.enqueue(o)
	return o, nil
}

func (c *Claimer) age(p place) time.Duration { return c.clock.Since(p.time) }

// await waits for the outcome. A caller that leaves gives its claim up.
func (c *Claimer) await(ctx context.Context, o *op) (Result, error) {
	select {
	case out := <-o.done:
		return out.result, out.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	o.left = true
	c.mu.Unlock()
	select {
	case out := <-o.done: // settled before the mark
		if out.result.Won {
			c.forget(o)
		}
	default:
	}
	return Result{}, errors.Join(ErrNotClaimed, ctx.Err())
}

// forget turns a won claim whose caller left into an undo.
func (c *Claimer) forget(o *op) {
	c.mu.Lock()
	delete(c.won, o.id)
	c.mu.Unlock()
	c.addUndo(o)
}

func (c *Claimer) run(ctx context.Context, o *op) error {
	c.enqueue(o)
	select {
	case out := <-o.done:
		return out.err
	case <-ctx.Done():
		return errors.Join(ErrNotStored, ctx.Err())
	}
}
