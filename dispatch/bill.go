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

// Ledger keeps the billing records; *ledger.Ledger is one.
type Ledger interface {
	Open(ctx context.Context, r ledger.Record) error
	Progress(ctx context.Context, r ledger.Record)
	Final(ctx context.Context, r ledger.Record)
	Discard(ctx context.Context, id ledger.ID)
}

// bill is the billing of one request.
type bill struct {
	d      *Dispatcher
	record ledger.Record
	cost   float64
}

// ChatRecordID returns the id of the billing record of a chat. The content is
// part of it: the same key with another content is another request, or a team
// could have many requests billed as one.
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

// openBill notes the request before its first attempt.
func (d *Dispatcher) openBill(ctx context.Context, record ledger.ID, id, team, rank string) (*bill, error) {
	now := d.Clock.Now()
	b := &bill{d: d, record: ledger.Record{
		ID: record, Filed: ledger.FileMinute(id, now), Completed: now, Team: team, Rank: rank,
	}}
	if err := d.Ledger.Open(ctx, b.record); err != nil {
		return nil, apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "the request cannot be billed now: %v", err)
	}
	return b, nil
}

// add adds the cost of one step. tokens are those that arrived, also when the
// step failed; promptTokens stands in for a count the engine did not send.
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

// close ends the record. A request that reached no endpoint is not billed.
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
	b.d.Ledger.Final(ctx, b.record)
}
