package proctest_test

import (
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/internal/proctest"
	"github.com/corianderlever/corianderlever/load"
	"github.com/corianderlever/corianderlever/resource"
)

// mix returns a load of two teams in three ranks.
func (tr *testRun) mix(prompt string, duration time.Duration) load.Mix {
	m := load.Mix{Seeds: tr.Seeds(), Rate: rate, Duration: resource.Duration(duration), MaxRequests: 2000, Seed: seed}
	chat := func(team, key, rank, model string, streamed bool, weight float64) {
		m.Streams = append(m.Streams, load.Stream{
			Team: team, Key: key, Rank: rank, Weight: weight, Model: model, Prompt: prompt, MaxTokens: 8, Streamed: streamed,
		})
	}
	call := func(team, key, operation string, weight float64) {
		m.Streams = append(m.Streams, load.Stream{
			Team: team, Key: key, Rank: "urgent", Weight: weight, Service: "booking", Operation: operation,
		})
	}
	for team, key := range map[string]string{demo.TeamName: demo.TeamKey, demo.OtherTeamName: demo.OtherTeamKey} {
		chat(team, key, "urgent", "small", true, 2)
		chat(team, key, "normal", "small", false, 2)
		chat(team, key, "normal", "letters", true, 1)
		chat(team, key, "batch", "letters", false, 1)
		call(team, key, "book", 2)
		call(team, key, "lookup", 2)
	}
	slices.SortStableFunc(m.Streams, func(a, b load.Stream) int { return len(a.Team) - len(b.Team) })
	return m
}

// startLoad starts sending a mix. The returned function waits until it ends.
func (tr *testRun) startLoad(mix load.Mix, attempts int) func() proctest.Caller {
	g, err := load.NewGenerator(mix, attempts)
	tr.must(err)
	out := proctest.Caller{Attempts: attempts, Prompt: mix.Streams[0].Prompt}
	done := make(chan error, 1)
	go func() { done <- g.Run(tr.ctx, func(r load.Record) { out.Records = append(out.Records, r) }) }()
	return func() proctest.Caller {
		tr.must(<-done)
		tr.save(out)
		counts := make(map[string]int)
		for _, r := range out.Records {
			counts[r.Outcome+" "+r.Code]++
		}
		tr.log("load %q ended: %v", out.Prompt, counts)
		return out
	}
}

// save writes the records of a caller to the directory of the logs.
func (tr *testRun) save(c proctest.Caller) {
	data, err := json.MarshalIndent(c.Records, "", " ")
	tr.must(err)
	tr.must(os.WriteFile(filepath.Join(tr.dir, c.Prompt+".json"), data, 0o600))
}

// startDuplicates sends each of a series of bookings to several hosts at once, as
// a caller does that has lost its state or does not wait for the response.
func (tr *testRun) startDuplicates(rng *rand.Rand) func() proctest.Caller {
	source := rand.New(rand.NewPCG(rng.Uint64(), 3))
	seeds := tr.Seeds()
	var out proctest.Caller
	var mu sync.Mutex
	done := make(chan struct{})
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		for range int(faultTime / duplicateInterval) {
			id := uuid.Must(uuid.NewV7()).String()
			for _, host := range source.Perm(hosts)[:duplicateCopies] {
				wg.Go(func() {
					r := tr.book(seeds[host], id)
					mu.Lock()
					defer mu.Unlock()
					out.Records = append(out.Records, r)
				})
			}
			select {
			case <-time.After(duplicateInterval):
			case <-tr.ctx.Done():
			}
		}
		wg.Wait()
	}()
	return func() proctest.Caller {
		<-done
		out.Prompt = "duplicates"
		tr.save(out)
		return out
	}
}

// book sends a booking to one host.
func (tr *testRun) book(addr, id string) load.Record {
	r := load.Record{
		ID: id, Planned: time.Now(), Team: demo.TeamName, Rank: "urgent", Service: "booking", Operation: "book",
		Outcome: load.OutcomeAnswered,
	}
	meta := client.Request{ID: id, Rank: r.Rank}
	if _, err := demo.DirectClient(addr, demo.TeamKey).Call(tr.ctx, meta, r.Service, r.Operation, map[string]any{"number": r.Number}); err != nil {
		r.Outcome, r.Error = load.OutcomeBroken, err.Error()
	}
	r.Latency = time.Since(r.Planned)
	return r
}
