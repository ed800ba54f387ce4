package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
)

// OutcomeAnswered is the outcome of a request that received a complete answer.
const OutcomeAnswered = "answered"

// OutcomeBroken is the outcome of a request whose answer was incomplete or
// whose connection failed.
const OutcomeBroken = "broken"

// Record is the result of one request.
type Record struct {
	ID string `json:"id"`
	// Number is the index of the request in the plan. It is appended to the prompt.
	Number int `json:"number"`
	// Planned is the time at which the request was scheduled to be sent.
	Planned   time.Time     `json:"planned"`
	Team      string        `json:"team"`
	Rank      string        `json:"rank"`
	Service   string        `json:"service,omitempty"`
	Operation string        `json:"operation,omitempty"`
	Version   string        `json:"version,omitempty"`
	Outcome   string        `json:"outcome"`
	Code      string        `json:"code,omitempty"`
	Error     string        `json:"error,omitempty"`
	Cost      float64       `json:"cost,omitempty"`
	Latency   time.Duration `json:"latency_ns"`
	// FirstToken is the time from Planned to the first chunk of a streamed answer.
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
}

// Generator sends the requests of one mix.
type Generator struct {
	mix     Mix
	clients []*client.Client
	// attempts is the maximum number of attempts per request.
	attempts int
}

// NewGenerator returns a generator for mix. attempts is the maximum number of
// attempts per request.
func NewGenerator(mix Mix, attempts int) (*Generator, error) {
	if err := mix.Validate(); err != nil {
		return nil, err
	}
	g := &Generator{mix: mix, attempts: attempts}
	for _, s := range mix.Streams {
		g.clients = append(g.clients, client.New(client.Options{Seeds: mix.Seeds, Key: s.Key, Attempts: attempts}))
	}
	return g, nil
}

// Run sends the requests of the mix and calls onRecord when each request ends.
// Calls to onRecord are serialized.
func (g *Generator) Run(ctx context.Context, onRecord func(Record)) error {
	rng := rand.New(rand.NewPCG(g.mix.Seed, g.mix.Seed))
	start := time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i, a := range g.mix.plan(rng) {
		select {
		case <-time.After(time.Until(start.Add(a.at))):
		case <-ctx.Done():
			wg.Wait()
			return ctx.Err()
		}
		wg.Go(func() {
			record := g.send(ctx, i, a, start.Add(a.at))
			mu.Lock()
			defer mu.Unlock()
			onRecord(record)
		})
	}
	wg.Wait()
	return nil
}

// send sends request n of the plan and returns its record. Latency counts from
// planned.
func (g *Generator) send(ctx context.Context, n int, a arrival, planned time.Time) Record {
	s, c := g.mix.Streams[a.stream], g.clients[a.stream]
	record := Record{Number: n, Planned: planned, Team: s.Team, Rank: s.Rank, Service: s.Service, Operation: s.Operation}
	id, err := uuid.NewV7()
	if err != nil {
		record.fail(err)
		return record
	}
	record.ID = id.String()
	meta := client.Request{ID: record.ID, Rank: s.Rank}
	if s.Service != "" {
		_, err = c.Call(ctx, meta, s.Service, s.Operation, map[string]any{"number": n})
	} else {
		err = g.chat(ctx, c, meta, s, n, planned, &record)
	}
	record.Latency = time.Since(planned)
	record.Outcome = OutcomeAnswered
	if err != nil {
		record.fail(err)
	}
	return record
}

func (g *Generator) chat(ctx context.Context, c *client.Client, meta client.Request, s Stream, n int, planned time.Time, record *Record) error {
	body := api.ChatRequest{
		Model: s.Model, MaxTokens: s.MaxTokens,
		Messages: []api.Message{{Role: "user", Content: fmt.Sprintf("%s %d", s.Prompt, n)}},
	}
	var resp api.ChatResponse
	var err error
	if s.Streamed {
		resp, err = c.Stream(ctx, meta, body, func(string) error {
			if record.FirstToken == 0 {
				record.FirstToken = time.Since(planned)
			}
			return nil
		})
	} else {
		resp, err = c.Chat(ctx, meta, body)
	}
	if resp.Receipt != nil {
		record.Version, record.Cost = resp.Receipt.Version, resp.Receipt.Cost
	}
	return err
}

// fail sets the outcome and the code from err.
func (r *Record) fail(err error) {
	r.Outcome = OutcomeBroken
	r.Error = err.Error()
	var apiErr *api.Error
	if errors.As(err, &apiErr) {
		r.Outcome = string(apiErr.Outcome)
		r.Code = apiErr.Code
	}
}
