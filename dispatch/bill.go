package dispatch

import (
	"context"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/ledger"
)

// Ledger stores the billing records. *ledger.Ledger implements it.
type Ledger interface {
	Open(ctx context.Context, r ledger.Record) error
	Progress(ctx context.Context, r ledger.Record)
	Finish(ctx context.Context, r ledger.Record)
	Discard(ctx context.Context, id ledger.ID)
}

// bill accumulates the billing record of one request.
type bill struct {
	d      *Dispatcher
	record ledger.Record
	cost   float64
}

// ChatRecordID returns the id of the billing record of a chat request. It depends on
// the content, because otherwise a team could send different requests under one key
// and be billed for only one.
func ChatRecordID(team, id string, messages []api.Message) ledger.ID {
	return recordID(team, id, uint64(contentHash(messages)))
}

// ServiceRecordID returns the id of the billing record of a service call.
func ServiceRecordID(team, id, service, operation string, body []byte) ledger.ID {
	return recordID(team, id, xxhash.Sum64String(service+"\x00"+operation+"\x00"+string(body)))
}

func recordID(team, id string, content uint64) ledger.ID {
	return ledger.RecordID(team, id+"\x00"+strconv.FormatUint(content, 16))
}

// openBill opens the billing record of a request before its first attempt. id is the
// id of the request.
func (d *Dispatcher) openBill(ctx context.Context, billID ledger.ID, id, team, rank string) (*bill, error) {
	now := d.Clock.Now()
	b := &bill{d: d, record: ledger.Record{
		ID: billID, FilingMinute: ledger.FilingMinute(id, now), Completed: now, Team: team, Rank: rank,
	}}
	if err := d.Ledger.Open(ctx, b.record); err != nil {
		return nil, apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "cannot open the billing record: %v", err)
	}
	return b, nil
}

// add adds the cost of one step. tokens is the number of tokens received, even if
// the step failed. promptTokens is used if the engine did not report its count.
func (b *bill) add(version string, final engine.Final, tokens, promptTokens int) {
	v := b.d.Config.Current().Versions[version]
	input := final.PromptTokens
	if input == 0 && tokens > 0 {
		input = promptTokens
	}
	b.cost += Cost(v, input, tokens)
	b.record.Version = version
	if v != nil {
		b.record.Model = v.Model
	}
	b.record.InputTokens += int64(input)
	b.record.OutputTokens += int64(tokens)
}

// close writes the final record. A request that cannot have run is not billed.
func (b *bill) close(ctx context.Context, mayHaveRun, complete bool) {
	if !mayHaveRun {
		b.d.Ledger.Discard(ctx, b.record.ID)
		return
	}
	b.record.Cost, b.record.Completed = b.cost, b.d.Clock.Now()
	b.record.State = ledger.StateInterrupted
	if complete {
		b.record.State = ledger.StateFinal
	}
	b.d.Ledger.Finish(ctx, b.record)
}
