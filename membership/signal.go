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
	cached   map[string]json.RawMessage
	cachedAt time.Time
}

type namedProducer struct {
	name string
	f    func() json.RawMessage
}

// RegisterSignal attaches data to every ping and answer. produce may be nil
// or return nil for nothing to send; consume may be nil. Both must be quick:
// they run on the heartbeat path. Data over MaxSignalBytes is not sent. Each
// host's data goes directly to the hosts it exchanges heartbeats with.
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

// collect returns the signals to send. Producers run outside the lock.
func (s *signals) collect(now time.Time) map[string]json.RawMessage {
	s.mu.Lock()
	producers := s.produce
	if len(producers) == 0 || !s.cachedAt.IsZero() && now.Sub(s.cachedAt) < signalCacheTime {
		defer s.mu.Unlock()
		return s.cached
	}
	s.mu.Unlock()
	out := make(map[string]json.RawMessage, len(producers))
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
		out[p.name] = data
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
