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

// Caller is what one generator saw.
type Caller struct {
	// Attempts is the generator's bound on the tries of one request.
	Attempts int
	// Prompt is the prompt of all its chats, without the number. It is unique
	// to the generator.
	Prompt  string
	Records []load.Record
}

// Oracle compares the records of callers, of endpoints and of the bill.
type Oracle struct {
	Callers []Caller
	Runs    []fakeengine.Run
	// Kills are the times at which hosts were killed.
	Kills []time.Time
}

// costTolerance allows for sums of rounded costs.
const costTolerance = 1e-9

// breakTime is the time within which a caller notices that its connection to
// a killed host is broken.
const breakTime = time.Second

// runKey identifies a request at an endpoint: by its key, or by its prompt,
// which engines get instead of a key.
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

// runCounts returns how often each request began to run.
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

// CheckRuns returns the violations that callers' and endpoints' records show.
func (o *Oracle) CheckRuns() []string {
	var bad []string
	runs := o.runCounts()
	for _, r := range o.Runs {
		if r.Operation == "book" && runs[r.Key] > 1 {
			bad = append(bad, fmt.Sprintf("booking %s ran %d times", r.Key, runs[r.Key]))
		}
	}
	for _, c := range o.Callers {
		for _, r := range c.Records {
			n := runs[c.runKey(r)]
			switch {
			case c.Attempts == 1 && r.Outcome == string(api.OutcomeNotRun) && n > 0:
				bad = append(bad, fmt.Sprintf("ran %d times and is called not_run: %+v", n, r))
			case r.Outcome == load.OutcomeAnswered && n == 0:
				bad = append(bad, fmt.Sprintf("answered without a run: %+v", r))
			case o.wrongAnswer(r):
				bad = append(bad, fmt.Sprintf("incomplete or foreign answer: %+v", r))
			}
		}
	}
	return bad
}

// wrongAnswer reports an incomplete or foreign answer. A stream may end early
// only when its host was killed.
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
		if since := ended.Sub(k); since >= 0 && since < breakTime {
			return false
		}
	}
	return true
}

// RunsAfter returns the runs of a version that began after a time.
func (o *Oracle) RunsAfter(version string, after time.Time) []fakeengine.Run {
	var out []fakeengine.Run
	for _, r := range o.Runs {
		if r.Version == version && r.Started.After(after) {
			out = append(out, r)
		}
	}
	return out
}

// Bill is what the key-value service holds of the bill.
type Bill struct {
	// Records are all stored forms of the records by id.
	Records map[ledger.ID][]ledger.Record
	// Requests and Cost are the sums that a reader of the bill gets by team.
	Requests map[string]int64
	Cost     map[string]float64
}

// ReadBill reads the bill and, independently of the reader, its batches.
// Nothing may have been folded yet.
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

// CheckBill returns the violations that the bill shows.
func (o *Oracle) CheckBill(b Bill) []string {
	var bad []string
	stored, cost := make(map[string]int64), make(map[string]float64)
	for _, forms := range b.Records {
		best := forms[0]
		for _, f := range forms[1:] {
			if ledger.Supersedes(f, best) {
				best = f
			}
		}
		stored[best.Team]++
		cost[best.Team] += best.Cost
	}
	for team, n := range stored {
		if b.Requests[team] != n || math.Abs(b.Cost[team]-cost[team]) > costTolerance*float64(n) {
			bad = append(bad, fmt.Sprintf("team %s: billed %d requests at %v for %d ids at %v", team, b.Requests[team], b.Cost[team], n, cost[team]))
		}
	}
	known := make(map[ledger.ID]bool)
	runs := o.runCounts()
	for _, c := range o.Callers {
		for _, r := range c.Records {
			id := c.recordID(r)
			known[id] = true
			forms := b.Records[id]
			switch {
			case r.Outcome == load.OutcomeAnswered && !finalAt(forms, r):
				bad = append(bad, fmt.Sprintf("answered and not billed as final: %+v, stored %+v", r, forms))
			case c.Attempts == 1 && r.Outcome == string(api.OutcomeNotRun) && len(forms) > 0:
				bad = append(bad, fmt.Sprintf("not run and billed: %+v, stored %+v", r, forms))
			case runs[c.runKey(r)] == 0 && costs(forms):
				bad = append(bad, fmt.Sprintf("charged without a run: %+v, stored %+v", r, forms))
			}
		}
	}
	for id, forms := range b.Records {
		if !known[id] {
			bad = append(bad, fmt.Sprintf("billed without a request: %+v", forms))
		}
	}
	return bad
}

// finalAt reports a final record; that of a chat must have the receipt's cost.
func finalAt(forms []ledger.Record, r load.Record) bool {
	for _, f := range forms {
		if f.State == ledger.StateFinal && (r.Service != "" || math.Abs(f.Cost-r.Cost) < costTolerance) {
			return true
		}
	}
	return false
}

func costs(forms []ledger.Record) bool {
	for _, f := range forms {
		if f.Cost > 0 {
			return true
		}
	}
	return false
}
