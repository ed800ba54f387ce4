package membership

import (
	"encoding/json"
	"log/slog"
	"sync"
	"time"
)

const (
	// MaxSignalBytes is the maximum size of one signal in a heartbeat.
	MaxSignalBytes = 8 << 10
	// MaxSignalsBytes is the maximum total size of the signals in a heartbeat.
	MaxSignalsBytes = 32 << 10
	// signalCacheTime is the time for which produced signals are reused, so that
	// the pings and answers of one period share them.
	signalCacheTime = DefaultInterval / 2
)

// signals holds the producers and consumers of data that other packages attach to
// heartbeats.
type signals struct {
	log *slog.Logger

	mu       sync.Mutex
	produce  []namedProducer
	consume  map[string]func(Member, json.RawMessage)
	cached   []namedSignal
	cachedAt time.Time
	// credit is the rest of the byte budget in a large fleet. A signal may take it
	// below zero. nextSignal is the position in the rotation over the signals.
	credit     float64
	creditedAt time.Time
	nextSignal int
}

type namedSignal struct {
	name string
	data json.RawMessage
}

type namedProducer struct {
	name string
	f    func() json.RawMessage
}

// RegisterSignal attaches data to pings and answers. produce may be nil or return
// nil to send nothing; consume may be nil. Both run on the heartbeat path and must
// be fast. Data over MaxSignalBytes is not sent. A host's data reaches only the
// hosts with which it exchanges heartbeats; it is not forwarded. In a fleet of
// more than smallFleet hosts, signals over smallSignalBytes are sent in rotation.
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

// collect returns the signals to send in a fleet with the given number of members.
func (s *signals) collect(now time.Time, members int) map[string]json.RawMessage {
	all := s.current(now)
	if len(all) == 0 {
		return nil
	}
	if members > smallFleet {
		s.mu.Lock()
		all = s.limitToBudget(now, all)
		s.mu.Unlock()
	}
	out := make(map[string]json.RawMessage, len(all))
	for _, sig := range all {
		out[sig.name] = sig.data
	}
	return out
}

// current returns all signals, from the cache if it is recent. Producers run
// without the lock.
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

// deliver passes received signals to their consumers.
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
