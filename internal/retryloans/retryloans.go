// Package retryloans lets hosts lend each other parts of the retry budget that they do not need.
package retryloans

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/membership"
)

// Method asks a host to lend retries.
const Method = "limiter.RetryLoan"

// Lease is the time from the request for a loan in which its retries may be made.
const Lease = time.Second

const (
	// maxLenders bounds the hosts that are asked for one loan.
	maxLenders = 6
	// retriesPerLender is the number of retries that each of them is asked for.
	retriesPerLender = 4
	// askTimeout bounds the wait for their answers.
	askTimeout = 200 * time.Millisecond
)

// Request is the message of Method.
type Request struct {
	Service string `json:"service"`
	Retries int    `json:"retries"`
}

// Reply is the answer to a Request.
type Reply struct {
	// Retries is the number of retries that are lent.
	Retries int `json:"retries"`
}

// Options are the parts of a host that a Borrower needs.
type Options struct {
	// Self is the name of this host.
	Self string
	// Members returns all known members.
	Members func() []membership.Member
	// Call calls a method of the host at an address.
	Call  func(ctx context.Context, address, method string, params, result any) error
	Clock clockwork.Clock
	// Rand chooses the hosts. It is used under a lock.
	Rand   *rand.Rand
	Logger *slog.Logger
}

// Borrower asks other hosts for loans. It is safe for concurrent use.
type Borrower struct {
	opts   Options
	randMu sync.Mutex // protects opts.Rand
}

// New returns a borrower.
func New(opts Options) *Borrower { return &Borrower{opts: opts} }

// Borrow asks some live hosts for retries of a service and returns how many they have lent.
func (b *Borrower) Borrow(ctx context.Context, service string) int {
	ctx, cancel := kv.WithTimeout(ctx, b.opts.Clock, askTimeout)
	defer cancel()
	lenders := b.lenders()
	replies := make(chan int, len(lenders))
	for _, m := range lenders {
		go func() { replies <- b.ask(ctx, m, service) }()
	}
	lent := 0
	for range lenders {
		lent += <-replies
	}
	return lent
}

func (b *Borrower) ask(ctx context.Context, m membership.Member, service string) int {
	var reply Reply
	if err := b.opts.Call(ctx, m.PeerAddress, Method, Request{Service: service, Retries: retriesPerLender}, &reply); err != nil {
		b.opts.Logger.Debug("no retries lent", "by", m.Host, "service", service, "error", err)
		return 0
	}
	return max(0, reply.Retries)
}

// lenders returns the hosts to ask.
func (b *Borrower) lenders() []membership.Member {
	var out []membership.Member
	for _, m := range b.opts.Members() {
		if m.Host != b.opts.Self && m.State.Live() {
			out = append(out, m)
		}
	}
	b.randMu.Lock()
	defer b.randMu.Unlock()
	b.opts.Rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(maxLenders, len(out))]
}

// Handler returns the handler of Method at a host. lend takes retries of a service from the
// host's budget and returns their number.
func Handler(lend func(service string, retries int) int) func(context.Context, string, json.RawMessage) (any, error) {
	return func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var req Request
		if err := json.Unmarshal(params, &req); err != nil {
			return nil, errors.Wrap(err, "retryloans: decode request")
		}
		return Reply{Retries: lend(req.Service, req.Retries)}, nil
	}
}
