package proctest

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/ledger"
	"github.com/corianderlever/corianderlever/load"
)

// Caller holds the results that one load generator recorded.
type Caller struct {
	// Attempts is the generator's limit on attempts per request.
	Attempts int
	// Prompt is the prompt of all chats of the generator, without the request
	// number. It is unique to the generator.
	Prompt  string
	Records []load.Record
}

// Oracle cross-checks the records of callers and endpoints and the bill.
type Oracle struct {
	Callers []Caller
	Runs    []fakeengine.Run
	// Kills are the times at which hosts were killed.
	Kills []time.Time
}

// costTolerance allows for rounding in sums of costs.
const costTolerance = 1e-9

// disconnectTime bounds the time until a caller detects that its connection to
// a killed host is broken.
const disconnectTime = time.Second

// runKey identifies a request at an endpoint: by its idempotency key, or at
// engines, which receive no key, by its prompt.
func (c Caller) runKey(r load.Record) string {
	if r.Service != "" {
		return r.ID
	}
	return fmt.Sprintf("user: %s %d\n", c.Prompt, r.Number)
}

// recordID returns the id of the request's billing record.
func (c Caller) recordID(r load.Record) ledger.ID {
	if r.Service != "" {
		return dispatch.ServiceRecordID(r.Team, r.ID, r.Service, r.Operation, fmt.Appendf(nil, `{"number":%d}`, r.Number))
	}
	message := api.Message{Role: "user", Content: fmt.Sprintf("%s %d", c.Prompt, r.Number)}
	return dispatch.ChatRecordID(r.Team, r.ID, []api.Message{message})
}

// runCounts returns the number of started runs by run key.
func (o *Oracle) runCounts() map[string]int {
	out := make(map[string]int)
	for _, r := range o.Runs {
		if r.Service != "" {
			out[r.Key]++
		} else {
			out[r.Body]++
		}
	}
	return out
}

// CheckRuns returns the violations found by comparing the records of callers
// with the runs of endpoints.
func (o *Oracle) CheckRuns() []string {
	var violations []string
	runs := o.runCounts()
	for _, r := range o.Runs {
		if r.Operation == "book" && runs[r.Key] > 1 {
			violations = append(violations, fmt.Sprintf("booking %s ran %d times", r.Key, runs[r.Key]))
		}
	}
	for _, c := range o.Callers {
		for _, r := range c.Records {
			n := runs[c.runKey(r)]
			switch {
			case c.Attempts == 1 && r.Outcome == string(api.OutcomeNotRun) && n > 0:
				violations = append(violations, fmt.Sprintf("ran %d times but was reported as not_run: %+v", n, r))
			case r.Outcome == load.OutcomeAnswered && n == 0:
				violations = append(violations, fmt.Sprintf("answered without a run: %+v", r))
			case o.wrongAnswer(r):
				violations = append(violations, fmt.Sprintf("incomplete answer or answer to another request: %+v", r))
			}
		}
	}
	return violations
}

// wrongAnswer reports whether the answer is incomplete or belongs to another
// request. A stream may end early only if a host was killed just before.
func (o *Oracle) wrongAnswer(r load.Record) bool {
	if strings.Contains(r.Error, client.ErrWrongRequest.Error()) {
		return true
	}
	if !strings.Contains(r.Error, client.ErrIncomplete.Error()) {
		return false
	}
	if !strings.Contains(r.Error, "stream ended") {
		return true
	}
	ended := r.Planned.Add(r.Latency)
	for _, k := range o.Kills {
		if since := ended.Sub(k); since >= 0 && since < disconnectTime {
			return false
		}
	}
	return true
}

// RunsAfter returns the runs of a version that started after the given time.
func (o *Oracle) RunsAfter(version string, after time.Time) []fakeengine.Run {
	var out []fakeengine.Run
	for _, r := range o.Runs {
		if r.Version == version && r.Started.After(after) {
			out = append(out, r)
		}
	}
	return out
}

// Bill is the billing data in the key-value service.
type Bill struct {
	// Records holds all stored variants of each record by ID; a variant may
	// supersede another.
	Records map[ledger.ID][]ledger.Record
	// Requests and Cost are the sums by team that ledger.Read returns.
	Requests map[string]int64
	Cost     map[string]float64
}

// ReadBill reads the bill with ledger.Read and decodes its batches independently
// of ledger.Read. No batch may have been folded yet.
func ReadBill(ctx context.Context, store kv.KV, from, to time.Time) (Bill, error) {
	out := Bill{Records: make(map[ledger.ID][]ledger.Record), Requests: make(map[string]int64), Cost: make(map[string]float64)}
	rows, err := ledger.Read(ctx, store, from, to)
	if err != nil {
		return out, err
	}
	for _, r := range rows {
		out.Requests[r.Team] += r.Requests
		out.Cost[r.Team] += r.Cost
	}
	list, _, err := store.List(ctx, "ledger/")
	if err != nil {
		return out, errors.Wrap(err, "proctest: list batches")
	}
	for _, e := range list {
		zr, err := gzip.NewReader(bytes.NewReader(e.Value))
		if err != nil {
			return out, errors.Wrap(err, e.Key)
		}
		var batch []ledger.Record
		if err := json.NewDecoder(zr).Decode(&batch); err != nil {
			return out, errors.Wrap(err, e.Key)
		}
		for _, r := range batch {
			out.Records[r.ID] = append(out.Records[r.ID], r)
		}
	}
	return out, nil
}

// CheckBill returns the violations found by comparing the bill with its batches,
// the records of callers and the runs of endpoints.
func (o *Oracle) CheckBill(b Bill) []string {
	var violations []string
	stored, cost := make(map[string]int64), make(map[string]float64)
	for _, variants := range b.Records {
		best := variants[0]
		for _, f := range variants[1:] {
			if ledger.Supersedes(f, best) {
				best = f
			}
		}
		stored[best.Team]++
		cost[best.Team] += best.Cost
	}
	for team, n := range stored {
		if b.Requests[team] != n || math.Abs(b.Cost[team]-cost[team]) > costTolerance*float64(n) {
			violations = append(violations, fmt.Sprintf("team %s: bill has %d requests with cost %v, batches have %d records with cost %v", team, b.Requests[team], b.Cost[team], n, cost[team]))
		}
	}
	requested := make(map[ledger.ID]bool)
	runs := o.runCounts()
	for _, c := range o.Callers {
		for _, r := range c.Records {
			id := c.recordID(r)
			requested[id] = true
			variants := b.Records[id]
			switch {
			case r.Outcome == load.OutcomeAnswered && !hasFinalRecord(variants, r):
				violations = append(violations, fmt.Sprintf("answered but not billed as final: %+v, stored %+v", r, variants))
			case c.Attempts == 1 && r.Outcome == string(api.OutcomeNotRun) && len(variants) > 0:
				violations = append(violations, fmt.Sprintf("not run but billed: %+v, stored %+v", r, variants))
			case runs[c.runKey(r)] == 0 && hasCost(variants):
				violations = append(violations, fmt.Sprintf("charged without a run: %+v, stored %+v", r, variants))
			}
		}
	}
	for id, variants := range b.Records {
		if !requested[id] {
			violations = append(violations, fmt.Sprintf("billed without a request: %+v", variants))
		}
	}
	return violations
}

// hasFinalRecord reports whether there is a final record. The final record of a
// chat must have the cost of the receipt.
func hasFinalRecord(variants []ledger.Record, r load.Record) bool {
	for _, f := range variants {
		if f.State == ledger.StateFinal && (r.Service != "" || math.Abs(f.Cost-r.Cost) < costTolerance) {
			return true
		}
	}
	return false
}

func hasCost(variants []ledger.Record) bool {
	for _, f := range variants {
		if f.Cost > 0 {
			return true
		}
	}
	return false
}
