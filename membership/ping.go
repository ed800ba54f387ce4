package membership

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// Peer methods of this package.
const (
	// MethodPing exchanges the hosts' own records, observations and signals.
	MethodPing = "membership.Ping"
	// MethodProbe asks a host to ping a third one.
	MethodProbe = "membership.Probe"
)

const (
	// maxObservations keeps heartbeats small. Simultaneous changes of more hosts
	// take a few more heartbeats.
	maxObservations = 8
	// maxReceivedObservations is the number of observations above which a message
	// is rejected.
	maxReceivedObservations = 8192
	// syncPeriod is the time between anti-entropy exchanges of the whole table in
	// fleets of up to smallFleet hosts. They repair losses of the gossip.
	syncPeriod = time.Minute
)

// message is a ping or the answer to it. Sync asks for an answer with the whole
// table.
type message struct {
	From         Member                     `json:"from"`
	Sync         bool                       `json:"sync,omitempty"`
	Observations []Member                   `json:"obs,omitempty"`
	Signals      map[string]json.RawMessage `json:"sig,omitempty"`
}

type probeRequest struct {
	Address string `json:"address"`
}

// compose builds the message to the host named to, with the whole table if
// fullTable is set.
func (m *Membership) compose(to string, fullTable bool) message {
	now := m.opts.Clock.Now()
	m.mu.Lock()
	members := m.table.size()
	m.mu.Unlock()
	out := message{Signals: m.signals.collect(now, members)}
	m.mu.Lock()
	defer m.mu.Unlock()
	out.From = m.table.viewSelf(now)
	out.Observations = m.table.Observations(now, to, maxObservations)
	if fullTable {
		out.Observations = append(out.Observations, m.table.Members(now)...)
	}
	return out
}

// receive validates and merges a message.
func (m *Membership) receive(msg message) error {
	if err := msg.From.validate(); err != nil {
		return err
	}
	if len(msg.Observations) > maxReceivedObservations {
		return errors.Wrapf(ErrMessage, "got %d observations, over the limit", len(msg.Observations))
	}
	m.change(func(now time.Time) []Member {
		changed := asList(m.table.RecordContact(now, msg.From))
		for _, o := range msg.Observations {
			if o.validate() == nil {
				changed = append(changed, asList(m.table.Merge(now, o))...)
			}
		}
		return changed
	})
	if msg.From.Host != m.opts.Self.Host {
		m.signals.deliver(msg.From, msg.Signals)
	}
	return nil
}

func (m *Membership) handlePing(_ context.Context, _ string, params json.RawMessage) (any, error) {
	var msg message
	if err := json.Unmarshal(params, &msg); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode ping"), ErrMessage)
	}
	if err := m.receive(msg); err != nil {
		return nil, err
	}
	return m.compose(msg.From.Host, msg.Sync), nil
}

func (m *Membership) handleProbe(ctx context.Context, _ string, params json.RawMessage) (any, error) {
	var req probeRequest
	if err := json.Unmarshal(params, &req); err != nil {
		return nil, errors.Mark(errors.Wrap(err, "decode probe"), ErrMessage)
	}
	return m.ping(ctx, "", req.Address)
}

// ping exchanges messages with addr and returns the record of the host that
// answers. host is its expected name, "" if unknown.
func (m *Membership) ping(ctx context.Context, host, addr string) (Member, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, m.opts.Clock, DefaultProbeTimeout)
	defer cancel()
	out := m.compose(host, false)
	out.Sync = m.needsSync()
	var answer message
	if err := m.opts.Caller.Call(ctx, addr, MethodPing, out, &answer); err != nil {
		return Member{}, err
	}
	if err := m.receive(answer); err != nil {
		return Member{}, err
	}
	if out.Sync {
		m.recordSync()
	}
	return answer.From, nil
}

func (m *Membership) needsSync() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastSync.IsZero() || m.opts.Clock.Since(m.lastSync) >= syncPeriodOf(m.table.size())
}

func (m *Membership) recordSync() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastSync = m.opts.Clock.Now()
}
