package ledger

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/kv/memkv"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// message is a call between hosts that a test can deliver a second time.
type message struct {
	sent    time.Time
	deliver func()
}

// fleet is a set of hosts that share one store.
type fleet struct {
	clock *clockwork.FakeClock
	kv    *memkv.Faulty
	hosts map[string]*host
	sent  []message
	// unresponsive is the host that does not answer its next Hold.
	unresponsive string
}

type host struct {
	name    string
	fleet   *fleet
	ledger  *Ledger
	replica *Replica
}

func newFleet(n int) *fleet {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC))
	f := &fleet{clock: clock, kv: memkv.NewFaulty(memkv.New(clock), clock), hosts: make(map[string]*host)}
	for i := range n {
		f.add(fmt.Sprintf("h%d", i))
	}
	return f
}

func (f *fleet) add(name string) *host {
	h := &host{name: name, fleet: f, replica: NewReplica(f.clock)}
	h.ledger = New(f.kv, f.clock, h, Config{Host: name, Logger: quiet})
	f.hosts[name] = h
	return h
}

func (f *fleet) names() []string { return slices.Sorted(maps.Keys(f.hosts)) }

// Pick implements Replicator.
func (h *host) Pick(exclude ...string) string {
	for _, name := range h.fleet.names() {
		if name != h.name && !slices.Contains(exclude, name) {
			return name
		}
	}
	return ""
}

// Hold implements Replicator.
func (h *host) Hold(_ context.Context, peer string, c Copies) error {
	to := h.fleet.hosts[peer]
	if to == nil || h.fleet.unresponsive == peer {
		h.fleet.unresponsive = ""
		return errors.New("injected: no reply")
	}
	deliver := func() { to.replica.Hold(c) }
	h.fleet.sent = append(h.fleet.sent, message{h.fleet.clock.Now(), deliver})
	deliver()
	return nil
}

// Release implements Replicator.
func (h *host) Release(_ context.Context, peer string, r Released) error {
	if to := h.fleet.hosts[peer]; to != nil {
		deliver := func() { to.replica.Release(r) }
		h.fleet.sent = append(h.fleet.sent, message{h.fleet.clock.Now(), deliver})
		deliver()
	}
	return nil
}

// reportFailure makes all other hosts handle the failure of a host.
func (f *fleet) reportFailure(name string) {
	for _, other := range f.names() {
		if other == name {
			continue
		}
		h := f.hosts[other]
		h.ledger.PeerFailed(context.Background(), name)
		h.ledger.TakeOver(context.Background(), h.replica.RemoveOrigin(name))
	}
}

// request is the oracle's state of one request.
type request struct {
	key    string
	opened time.Time
	// costs holds the cost of each answered run.
	costs map[float64]bool
	// open holds the unfinished runs by host.
	open map[string][]Record
	// takenOver is set once peers may have taken over an unfinished run.
	takenOver bool
}

// machine applies the test's actions to the fleet and to the oracle.
type machine struct {
	f        *fleet
	requests []*request
	runs     int
	restarts int
	// sinceFlush is the time since all hosts last flushed their records.
	sinceFlush time.Duration
}

func (m *machine) record(r *request) Record {
	return Record{ID: RecordID(r.key, r.key), FilingMinute: FilingMinute(r.key, r.opened), Team: r.key, Rank: "normal", Version: "v"}
}

func (m *machine) pickHost(t *rapid.T) *host {
	return m.f.hosts[rapid.SampledFrom(m.f.names()).Draw(t, "host")]
}

// start opens a new request or retries one, through any host.
func (m *machine) start(t *rapid.T) {
	var r *request
	if len(m.requests) > 0 && rapid.Bool().Draw(t, "retry") {
		r = rapid.SampledFrom(m.requests).Draw(t, "request")
		if m.f.clock.Since(r.opened) > Window-2*time.Minute {
			t.Skip("retry window has passed")
		}
	} else {
		r = &request{
			key: fmt.Sprintf("key-%d", len(m.requests)), opened: m.f.clock.Now(),
			costs: make(map[float64]bool), open: make(map[string][]Record),
		}
		m.requests = append(m.requests, r)
	}
	h := m.pickHost(t)
	rec := m.record(r)
	rec.FilingMinute = FilingMinute(r.key, m.f.clock.Now())
	if err := h.ledger.Open(context.Background(), rec); err != nil {
		t.Fatal(err)
	}
	r.open[h.name] = append(r.open[h.name], rec)
}

// end finishes or discards a run that is open on a live host.
func (m *machine) end(t *rapid.T) {
	for _, r := range m.requests {
		for _, name := range m.f.names() {
			runs := r.open[name]
			if len(runs) == 0 || !rapid.Bool().Draw(t, "end this") {
				continue
			}
			rec := runs[0]
			r.open[name] = runs[1:]
			h := m.f.hosts[name]
			if rapid.IntRange(0, 3).Draw(t, "discard") == 0 {
				h.ledger.Discard(context.Background(), rec.ID)
				return
			}
			m.runs++
			rec.State, rec.Completed, rec.Cost = StateFinal, m.f.clock.Now(), float64(m.runs)
			h.ledger.Finish(context.Background(), rec)
			r.costs[rec.Cost] = true
			return
		}
	}
}

func (m *machine) flush(t *rapid.T) {
	h := m.pickHost(t)
	if fault := rapid.SampledFrom([]memkv.Fault{memkv.None, memkv.ReplyLost, memkv.RequestLost, memkv.Outage}).Draw(t, "fault"); fault != memkv.None {
		m.f.kv.Inject(fault, 1)
	}
	if err := h.ledger.Flush(context.Background()); err != nil && !errors.Is(err, ErrPending) {
		t.Fatal(err)
	}
	m.f.kv.ClearAll()
}

// kill stops a host without a shutdown and starts a replacement. Another host can
// be killed only after new copies have been placed: the design accepts the loss of
// records if both hosts that hold them fail together.
func (m *machine) kill(t *rapid.T) {
	h := m.pickHost(t)
	delete(m.f.hosts, h.name)
	m.f.reportFailure(h.name)
	m.restarts++
	m.f.add(fmt.Sprintf("%s.%d", h.name[:2], m.restarts))
	for _, name := range m.f.names() {
		m.f.hosts[name].ledger.Replicate(context.Background())
	}
	for _, r := range m.requests {
		r.takenOver = r.takenOver || len(r.open[h.name]) > 0
		delete(r.open, h.name)
	}
}

func (m *machine) suspect(t *rapid.T) {
	name := m.pickHost(t).name
	for _, r := range m.requests {
		r.takenOver = r.takenOver || len(r.open[name]) > 0
	}
	m.f.reportFailure(name)
}

func (m *machine) refuse(t *rapid.T) { m.f.unresponsive = m.pickHost(t).name }

// advance moves the clock. Hosts flush every few seconds unless the store is down,
// and then nothing can be folded either. So all hosts flush at least once per
// Window here.
func (m *machine) advance(t *rapid.T) {
	d := time.Duration(rapid.IntRange(1, 600).Draw(t, "s")) * time.Second
	if m.sinceFlush += d; m.sinceFlush > Window {
		m.flushAll(t)
		m.sinceFlush = 0
	}
	m.f.clock.Advance(d)
}

func (m *machine) flushAll(t *rapid.T) {
	for _, name := range m.f.names() {
		if err := m.f.hosts[name].ledger.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// redeliver delivers an earlier message again. Calls time out within seconds, so
// no message arrives later than tombstoneTTL after it was sent.
func (m *machine) redeliver(t *rapid.T) {
	if len(m.f.sent) == 0 {
		return
	}
	msg := m.f.sent[rapid.IntRange(0, len(m.f.sent)-1).Draw(t, "message")]
	if m.f.clock.Since(msg.sent) < tombstoneTTL {
		msg.deliver()
	}
}

func (m *machine) fold(t *rapid.T) {
	calls := 0
	stopAt := rapid.IntRange(0, 6).Draw(t, "fault at call")
	fault := rapid.SampledFrom([]memkv.Fault{memkv.ReplyLost, memkv.RequestLost, memkv.Outage}).Draw(t, "fault")
	m.f.kv.OnCall(func(memkv.Call, string) memkv.Fault {
		calls++
		if calls == stopAt {
			return fault
		}
		return memkv.None
	})
	_ = Fold(context.Background(), m.f.kv, m.f.clock.Now()) // Fold may be interrupted at any call
	m.f.kv.OnCall(nil)
}

// check flushes all hosts and compares the bill with the oracle.
func (m *machine) check(t *rapid.T) {
	m.flushAll(t)
	now := m.f.clock.Now()
	rows, err := Read(context.Background(), m.f.kv, now.Add(-20*time.Hour), now.Add(time.Minute))
	if err != nil {
		t.Fatal(err)
	}
	billed := make(map[string]Row)
	for _, r := range Sum(rows, func(r Row) Row { return Row{Team: r.Team} }) {
		billed[r.Team] = r
	}
	for _, r := range m.requests {
		row := billed[r.key]
		if row.Requests > 1 {
			t.Fatalf("request %s was billed %d times, want at most once", r.key, row.Requests)
		}
		if len(r.costs) > 0 && (row.Requests != 1 || !r.costs[row.Cost]) {
			t.Fatalf("request %s was answered at costs %v but billed %d times at %v, want once at one of them", r.key, r.costs, row.Requests, row.Cost)
		}
		if len(r.costs) == 0 && (row.Cost != 0 || row.Requests > 0 && !r.takenOver) {
			t.Fatalf("request %s was not answered but billed %d times at %v", r.key, row.Requests, row.Cost)
		}
	}
}

// TestEachRequestIsBilledOnce guards against records that are lost or counted
// twice after retries through other hosts, killed hosts, false suspicions, lost
// replies, outages, interrupted folds, and copies that arrive twice or late.
func TestEachRequestIsBilledOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{f: newFleet(3)}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "start2": m.start, "end": m.end, "end2": m.end, "flush": m.flush, "kill": m.kill,
			"suspect": m.suspect, "refuse": m.refuse, "advance": m.advance, "redeliver": m.redeliver, "fold": m.fold,
		})
		m.check(t)
		for range 2 { // the first pass marks the batches as seen, the second folds them
			if err := Fold(context.Background(), m.f.kv, m.f.clock.Now()); err != nil {
				t.Fatal(err)
			}
			m.f.clock.Advance(FoldAge + time.Minute)
		}
		m.check(t)
	})
}

// TestUUIDv7KeyIsFiledByItsTimestamp guards against a bill that counts a request
// twice if its caller retries it with the same UUIDv7 key hours later.
func TestUUIDv7KeyIsFiledByItsTimestamp(t *testing.T) {
	opened := time.Date(2026, 12, 1, 12, 0, 30, 0, time.UTC)
	key := fmt.Sprintf("%012x-7000-8000-000000000000", opened.UnixMilli())
	key = key[:8] + "-" + key[8:]
	want := opened.Truncate(time.Minute)
	if got := FilingMinute(key, opened.Add(5*time.Hour)); !got.Equal(want) {
		t.Errorf("UUIDv7 key filed under %v, want %v", got, want)
	}
	if got := FilingMinute("free text", opened); !got.Equal(want) {
		t.Errorf("free-form key filed under %v, want %v", got, want)
	}
}

// TestBusiestMinute guards against a busiest minute that is computed from single
// rows instead of the sums over teams.
func TestBusiestMinute(t *testing.T) {
	at := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	rows := []Row{
		{Minute: at, Team: "a", Cost: 3, Requests: 1}, {Minute: at, Team: "b", Cost: 3, Requests: 1},
		{Minute: at.Add(time.Minute), Team: "a", Cost: 5, Requests: 1},
	}
	if got := BusiestMinute(rows); !got.Minute.Equal(at) || math.Abs(got.Cost-6) > 1e-9 {
		t.Errorf("busiest minute %+v, want minute 12:00 with cost 6", got)
	}
}

func ExampleSum() {
	rows := []Row{
		{Team: "workshop", Version: "small-1", Requests: 2, Cost: 1},
		{Team: "workshop", Version: "large-1", Requests: 1, Cost: 4},
	}
	for _, r := range Sum(rows, func(r Row) Row { return Row{Team: r.Team} }) {
		fmt.Println(r.Team, r.Requests, r.Cost)
	}
	// Output: workshop 3 5
}
