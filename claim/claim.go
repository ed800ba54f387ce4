// Package claim makes non-idempotent requests run at most once. A host claims
// the request's key in the key-value service before dispatch; every later request
// with the same key is a retry and does not run. A host batches its claims by shard
// and commits those of one page in one compare-and-swap.
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
	// ErrTooOld reports a key older than Retention; whether its request ran is
	// unknown.
	ErrTooOld = errors.New("claim: key older than the retention time")
	// ErrNotClaimed reports that the claim could not be committed, so the request
	// must not run: outcome not_run.
	ErrNotClaimed = errors.New("claim: key could not be claimed")
	// ErrNotStored reports that a change after the claim is not in the store: only
	// this host has the answer, or the claim is abandoned later.
	ErrNotStored = errors.New("claim: change not stored")
	// ErrNotOwner reports that this host does not hold the claim.
	ErrNotOwner = errors.New("claim: not held by this host")
)

// Limits of the package. All hosts must use the same shardCount and pageWindow.
const (
	// Retention is the age up to which a key can be claimed and retried.
	Retention = 24 * time.Hour
	// MaxAnswerBytes is the largest body that is stored for retries.
	MaxAnswerBytes = 4 << 10

	shardCount = 8
	pageWindow = time.Minute
	// batchDelay is the time that the first op of a batch waits for others.
	batchDelay = 20 * time.Millisecond
	// commitTimeout bounds the attempts to commit the ops of one page.
	commitTimeout = time.Second
	// The backoff between attempts doubles from initialBackoff to maxBackoff. It
	// also applies after a conflict, because with stale reads from the store the
	// next attempt would meet the same conflict.
	initialBackoff = 5 * time.Millisecond
	maxBackoff     = 50 * time.Millisecond
	// maxClockLead is the largest accepted lead of a caller's clock.
	maxClockLead = 5 * time.Minute
	// removalGrace is the time after Retention before a page may be removed. Half
	// of it covers a host that stalls between reading and writing a page, the other
	// half covers clock skew between hosts.
	removalGrace = 10 * time.Minute
	// answerCacheSize is the number of this host's answers that are cached for
	// peers, at most 4 MiB in all.
	answerCacheSize = 1024
)

// Answer is the stored answer of a request.
type Answer struct {
	// Status is the HTTP status.
	Status int `json:"status"`
	// ContentType is the media type of Body.
	ContentType string `json:"content_type,omitempty"`
	// Body is the complete body.
	Body []byte `json:"body,omitempty"`
	// Request is a hash of the request body; zero if it is not known.
	Request uint64 `json:"request,omitempty"`
}

// Result is the result of Claim.
type Result struct {
	// Won reports whether the caller may run the request. It is true for at most
	// one call with a key.
	Won bool
	// Answer is the stored answer to return for a retry; nil if it is unknown.
	Answer *Answer
	// Host is the host that holds the claim. If Answer is nil, that host may have
	// the answer (peer call claim.Answer).
	Host string
}

// Claimer claims keys for one host. It is safe for concurrent use.
type Claimer struct {
	store kv.KV
	clock clockwork.Clock
	host  string
	log   *slog.Logger

	flushing [shardCount]sync.Mutex

	mu      sync.Mutex
	rng     *rand.Rand
	pending [shardCount][]*op
	undos   map[string][]*op // by page key
	won     map[string]*op   // by claim id, until Complete or Abandon
	answers *lru.Cache[string, Answer]
}

// New returns a Claimer that writes host into its claims. rng generates the nonces
// of the claims and must be seeded differently on each host.
func New(store kv.KV, clock clockwork.Clock, rng *rand.Rand, host string, log *slog.Logger) *Claimer {
	answers, err := lru.New[string, Answer](answerCacheSize)
	if err != nil {
		panic(err) // lru.New fails only for a size below one
	}
	if log == nil {
		log = slog.Default()
	}
	return &Claimer{
		store: store, clock: clock, host: host, log: log, rng: rng, answers: answers,
		undos: make(map[string][]*op), won: make(map[string]*op),
	}
}

// Claim claims the key. Only if the result is Won may the request run. On
// ErrNotClaimed the request has not run and must not run. If ctx ends first, a
// claim that is committed nevertheless is undone.
func (c *Claimer) Claim(ctx context.Context, key Key) (Result, error) {
	o, err := c.submit(key)
	if err != nil {
		return Result{}, err
	}
	return c.await(ctx, o)
}

// Complete stores the answer of a won claim for retries. An answer whose body is
// larger than MaxAnswerBytes is not stored. On ErrNotStored only this host has the
// answer.
func (c *Claimer) Complete(ctx context.Context, key Key, answer Answer) error {
	held, err := c.removeWon(key)
	if err != nil {
		return err
	}
	if len(answer.Body) > MaxAnswerBytes {
		return nil
	}
	c.answers.Add(held.id, answer)
	o := newOp(opComplete, held.location, held.nonce)
	o.answer, o.writeRevision = &answer, held.writeRevision
	return c.commit(ctx, o)
}

// Abandon undoes a won claim whose request certainly did not run, so that a retry
// can win. If the store is unreachable, the claim is undone later.
func (c *Claimer) Abandon(ctx context.Context, key Key) error {
	held, err := c.removeWon(key)
	if err != nil {
		return err
	}
	o := newOp(opUndo, held.location, held.nonce)
	o.writeRevision = held.writeRevision
	return c.commit(ctx, o)
}

// StoredAnswer returns an answer that this host stored with Complete, by Key.ID.
// It serves the peer call claim.Answer.
func (c *Claimer) StoredAnswer(id string) (Answer, bool) { return c.answers.Get(id) }

func (c *Claimer) removeWon(key Key) (*op, error) {
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

// submit checks the key and enqueues a claim.
func (c *Claimer) submit(key Key) (*op, error) {
	p, err := c.locate(key)
	if err != nil {
		return nil, err
	}
	if c.age(p) > Retention {
		return nil, ErrTooOld
	}
	if c.age(p) < -maxClockLead {
		return nil, ErrBadKey
	}
	o := newOp(opClaim, p, c.nonce())
	c.enqueue(o)
	return o, nil
}

func (c *Claimer) age(p location) time.Duration { return c.clock.Since(p.time) }

// await waits for the outcome. If ctx ends first, the claim is undone.
func (c *Claimer) await(ctx context.Context, o *op) (Result, error) {
	select {
	case out := <-o.done:
		return out.result, out.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	o.callerLeft = true
	c.mu.Unlock()
	select {
	case out := <-o.done: // resolved before callerLeft was set
		if out.result.Won {
			c.undoWon(o)
		}
	default:
	}
	return Result{}, errors.Join(ErrNotClaimed, ctx.Err())
}

// undoWon replaces a won claim whose caller left by an undo.
func (c *Claimer) undoWon(o *op) {
	c.mu.Lock()
	delete(c.won, o.id)
	c.mu.Unlock()
	c.addUndo(o)
}

func (c *Claimer) commit(ctx context.Context, o *op) error {
	c.enqueue(o)
	select {
	case out := <-o.done:
		return out.err
	case <-ctx.Done():
		return errors.Join(ErrNotStored, ctx.Err())
	}
}
