package membership

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"
)

const (
	// MaxSignalBytes bounds what one signal may add to a heartbeat.
	MaxSignalBytes = 8 << 10
	// MaxSignalsBytes bounds all signals of one heartbeat.
	MaxSignalsBytes = 32 << 10
	// signalCacheTime lets the pings and answers of one period share one
	// production of each signal.
	signalCacheTime = DefaultInterval / 2
)

// signals are attachments of other parts to heartbeats.
type signals struct {
	log *slog.Logger

	mu       sync.Mutex
	produce  []namedProducer
	consume  map[string]func(Member, json.RawMessage)
	cached   []namedSignal
	cachedAt time.Time
	// credit is what remains of the budget of a large fleet, in bytes; a signal
	// may take it below zero. turn is the next signal to send.
	credit   float64
	credited time.Time
	turn     int
}

type namedSignal struct {
	name string
	data json.RawMessage
}

type namedProducer struct {
	name string
	f    func() json.RawMessage
}

// RegisterSignal attaches data to every ping and answer. produce may be nil
// or return nil for nothing to send; consume may be nil. Both must be quick:
// they run on the heartbeat path. Data over MaxSignalBytes is not sent. Each
// host's data goes directly to the hosts it exchanges heartbeats with. In a
// fleet of more than smallFleet hosts, signals over smallSignalBytes take turns.
func (m *Membership) RegisterSignal(name string, produce func() json.RawMessage, consume func(from Member, data json.RawMessage)) {
	s := &m.signals
	s.mu.Lock()
	defer s.mu.Unlock()
	if produce != nil {
		s.produce = append(s.produce, namedProducer{name, produce})
	}
	if consume != nil {
		if s.consume == nil {
			s.consume = make(map[string]func(Member, json.RawMessage))
		}
		s.consume[name] = consume
	}
	s.cachedAt = time.Time{}
}

// collect returns the signals to send in a fleet of a number of members.
func (s *signals) collect(now time.Time, members int) map[string]json.RawMessage {
	all := s.current(now)
	if len(all) == 0 {
		return nil
	}
	if members > smallFleet {
		s.mu.Lock()
		all = s.ration(now, all)
		s.mu.Unlock()
	}
	out := make(map[string]json.RawMessage, len(all))
	for _, one := range all {
		out[one.name] = one.data
	}
	return out
}

// current returns all signals. Producers run outside the lock.
func (s *signals) current(now time.Time) []namedSignal {
	s.mu.Lock()
	producers := s.produce
	if len(producers) == 0 || !s.cachedAt.IsZero() && now.Sub(s.cachedAt) < signalCacheTime {
		defer s.mu.Unlock()
		return s.cached
	}
	s.mu.Unlock()
	var out []namedSignal
	total := 0
	for _, p := range producers {
		data := p.f()
		if len(data) == 0 {
			continue
		}
		if len(data) > MaxSignalBytes || total+len(data) > MaxSignalsBytes || !json.Valid(data) {
			s.log.Warn("signal not sent", "name", p.name, "bytes", len(data))
			continue
		}
		total += len(data)
		out = append(out, namedSignal{p.name, data})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cached, s.cachedAt = out, now
	return out
}

// deliver hands received signals to their consumers.
func (s *signals) deliver(from Member, data map[string]json.RawMessage) {
	for name, d := range data {
		s.mu.Lock()
		consume := s.consume[name]
		s.mu.Unlock()
		if consume != nil && len(d) <= MaxSignalBytes {
			consume(from, d)
		}
	}
}
