package control

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/feed"
	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/kv"
	"github.com/corianderlever/corianderlever/route"
)

// State is a feed.Sink that applies store entries to the routing table, the
// endpoints and the roll-outs of one host.
type State struct {
	codec    Codec
	fleet    *fleet.Registry
	rollouts *Rollouts
	clock    clockwork.Clock
	log      *slog.Logger
	table    atomic.Pointer[route.Table]
	// listed is closed once a listing or later events have given a first configuration.
	listed     chan struct{}
	listedOnce sync.Once
	// coldEnds holds, by key, the ends of the cold times that were passed on to other hosts.
	// Only Relevant and Reset use it, which a follower never calls at the same time.
	coldEnds map[string]time.Time
	// OnCrashRecord is called with the stored record of the prompt parts that crash
	// endpoints. It must be set before the first entry.
	OnCrashRecord func(kv.Entry)
	// OnNoCrashRecord is called for a listing at a revision without that record. It must
	// be set before the first entry.
	OnNoCrashRecord func(revision int64)
	// Silence returns for how long an entry that arrives now may have been held up because the
	// store was silent, or false if this host does not know. It must be set before the first
	// entry; nil means that the host never knows.
	Silence func() (time.Duration, bool)
}

var _ feed.Sink = (*State)(nil)

// NewState returns a state without a routing table.
func NewState(codec Codec, registry *fleet.Registry, rollouts *Rollouts, clock clockwork.Clock, log *slog.Logger) *State {
	return &State{
		codec: codec, fleet: registry, rollouts: rollouts, clock: clock, log: log,
		listed: make(chan struct{}), coldEnds: make(map[string]time.Time),
	}
}

// Table returns the latest routing table, or false if there is none yet.
func (s *State) Table() (*route.Table, bool) {
	t := s.table.Load()
	return t, t != nil
}

// Listed returns a channel that is closed once a complete state with a configuration has been
// applied.
func (s *State) Listed() <-chan struct{} { return s.listed }

// Reset implements feed.Sink.
func (s *State) Reset(l feed.Listing) {
	var endpoints []fleet.Endpoint
	steps, statuses := make(map[string]bool), make(map[string]bool)
	crashRecord, evacuated := false, make(map[string]int64)
	for _, e := range l.Entries {
		kind, name := s.codec.Classify(e.Key)
		switch kind {
		case KindStep:
			steps[name] = true
		case KindStatus:
			statuses[name] = true
		case KindCrashRecord:
			crashRecord = true
		case KindEvacuation:
			evacuated[name] = e.Revision
			continue
		}
		if kind != KindEndpoint {
			s.apply(kv.Event{Entry: e}, l.AfterOutage)
			continue
		}
		ep, err := s.decodeEndpoint(e)
		if err != nil {
			s.logRejected(e, err)
			continue
		}
		endpoints = append(endpoints, ep)
	}
	if !crashRecord && s.OnNoCrashRecord != nil {
		s.OnNoCrashRecord(l.Revision)
	}
	s.rollouts.forgetUnlisted(l.Revision, steps, statuses)
	s.forgetColdEnds(l.Entries)
	s.replaceEvacuated(evacuated, l.Revision)
	s.fleet.Replace(endpoints, l.AfterOutage, s.clock.Now())
	s.checkListed()
	s.log.Info("state listed", "entries", len(l.Entries), "endpoints", len(endpoints), "disturbed", l.AfterOutage,
		"era", kv.RevisionEra(l.Revision), "revision", kv.RevisionNumber(l.Revision))
}

// Apply implements feed.Sink.
func (s *State) Apply(events []kv.Event, afterOutage bool) {
	for _, ev := range events {
		s.apply(ev, afterOutage)
	}
	s.checkListed()
}

// checkListed reports the first complete state. The endpoints of a listing are applied before.
func (s *State) checkListed() {
	if s.table.Load() != nil {
		s.listedOnce.Do(func() { close(s.listed) })
	}
}

// Relevant implements feed.Sink. Other hosts need neither unrelated keys nor
// endpoint heartbeats that change only Revision, or ColdFor as time passes.
func (s *State) Relevant(ev kv.Event, old *kv.Entry) bool {
	kind, _ := s.codec.Classify(ev.Entry.Key)
	if kind == KindUnrelated {
		return false
	}
	if kind != KindEndpoint {
		return true
	}
	if ev.Deleted {
		delete(s.coldEnds, ev.Entry.Key)
		return true
	}
	newEndpoint, newErr := s.decodeEndpoint(ev.Entry)
	coldChanged := s.coldEndChanged(ev.Entry.Key, newEndpoint.ColdUntil)
	if old == nil || newErr != nil || coldChanged {
		return true
	}
	oldEndpoint, oldErr := s.codec.DecodeEndpoint(*old)
	if oldErr != nil {
		return true
	}
	newEndpoint.ColdUntil = oldEndpoint.ColdUntil
	oldEndpoint.Revision, oldEndpoint.ColdFor = newEndpoint.Revision, newEndpoint.ColdFor
	return oldEndpoint != newEndpoint
}

// Tick implements feed.Sink.
func (s *State) Tick() {
	before := s.fleet.Evacuated()
	s.fleet.Expire(s.clock.Now())
	s.logEvacuations(before)
}

func (s *State) silence() (duration time.Duration, known bool) {
	if s.Silence == nil {
		return 0, false
	}
	return s.Silence()
}

func (s *State) apply(ev kv.Event, afterOutage bool) {
	kind, name := s.codec.Classify(ev.Entry.Key)
	var err error
	switch kind {
	case KindConfig:
		err = s.applyConfig(ev)
	case KindEndpoint:
		err = s.applyEndpoint(ev, name, afterOutage)
	case KindOrder:
		err = s.applyOrder(ev, name)
	case KindStatus:
		err = s.applyStatus(ev)
	case KindStep:
		err = s.rollouts.applyStep(name, ev)
	case KindCrashRecord:
		s.applyCrashRecord(ev)
	case KindEvacuation:
		s.applyEvacuation(ev, name)
	case KindUnrelated:
	}
	if err != nil {
		s.logRejected(ev.Entry, err)
	}
}

func (s *State) logRejected(e kv.Entry, err error) {
	s.log.Warn("entry rejected", "key", e.Key, "revision", e.Revision, "error", err)
}

// applyConfig applies a configuration entry. A deletion is reported and ignored.
func (s *State) applyConfig(ev kv.Event) error {
	if ev.Deleted {
		return errors.Wrap(ErrMalformedEntry, "the configuration was deleted; the last one stays in force")
	}
	c, err := s.codec.DecodeConfig(ev.Entry)
	if err != nil {
		return err
	}
	return s.SetConfig(c)
}

// SetConfig puts a configuration in force unless its version is not newer than
// that of the current one.
func (s *State) SetConfig(c route.Config) error {
	old := s.table.Load()
	if old != nil && c.Version <= old.Version() {
		return nil
	}
	t, err := route.NewTable(c)
	if err != nil {
		return errors.Mark(err, ErrMalformedEntry)
	}
	s.table.Store(t)
	s.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "services", len(c.Services), "teams", len(c.Teams))
	return nil
}

func (s *State) applyEndpoint(ev kv.Event, id string, afterOutage bool) error {
	if ev.Deleted {
		s.fleet.Remove(id, ev.Entry.Revision, afterOutage, s.clock.Now())
		return nil
	}
	e, err := s.decodeEndpoint(ev.Entry)
	if err != nil {
		s.fleet.Remove(id, ev.Entry.Revision, false, s.clock.Now())
		return err
	}
	s.fleet.Set(e)
	return nil
}

func (s *State) applyOrder(ev kv.Event, service string) error {
	if ev.Deleted {
		s.rollouts.dropOrder(service)
		return nil
	}
	o, err := s.codec.DecodeOrder(ev.Entry)
	if err != nil {
		return err
	}
	silence, known := s.silence()
	s.rollouts.setOrder(o, silence, known)
	return nil
}

// applyCrashRecord passes on the stored record. A deletion is ignored: what a host knows
// expires by itself.
func (s *State) applyCrashRecord(ev kv.Event) {
	if !ev.Deleted && s.OnCrashRecord != nil {
		s.OnCrashRecord(ev.Entry)
	}
}

func (s *State) applyStatus(ev kv.Event) error {
	if ev.Deleted {
		return nil
	}
	status, err := s.codec.DecodeStatus(ev.Entry)
	if err != nil {
		return err
	}
	s.rollouts.setStatus(status)
	return nil
}
