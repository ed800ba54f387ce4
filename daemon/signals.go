package daemon

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/internal/background"
	"github.com/corianderlever/corianderlever/internal/crashreports"
	"github.com/corianderlever/corianderlever/internal/permitpeers"
	"github.com/corianderlever/corianderlever/kernel"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/rollout"
)

const serviceSignals = "signals"

// signalService holds the deciding components that exchange their state by signals
// in heartbeats.
type signalService struct {
	base
	coreServices
	chooser      *cascade.Chooser
	detector     *rollout.Detector
	queue        *admission.Queue
	crashes      *limiter.CrashGuard
	parts        *limiter.PartGuard
	permits      *limiter.Permits
	probation    *limiter.Probation
	allowance    *allowance.Controller
	demand       *demandCounter
	crashReports *crashreports.Exchange
	// crashRecord keeps what parts has rejected in the store.
	crashRecord *crashreports.Recorder

	// hasTerms is set while the supplier's price terms are declared.
	hasTerms atomic.Bool

	mu sync.Mutex
	// usage holds the last report of each other host.
	usage map[string]peerUsage
	// slots is the number of requests that all endpoints run at once.
	slots float64
	// fence is the fencing token of the last known allocator, received at fenceAt.
	// ownFence is nonzero while this host is the allocator.
	fence    int64
	fenceAt  time.Time
	ownFence int64
	// reports are queued for the allocator.
	reports []allowance.Report
}

// peerUsage is the number of requests in flight that a host reported at a time.
type peerUsage struct {
	at       time.Time
	inFlight int
}

func (s *signalService) Name() string { return serviceSignals }
func (s *signalService) Requires() []string {
	return []string{servicePlatform, servicePeers, serviceMembership}
}

// expectedHosts is the number of hosts for which fixed bounds are computed: the
// propagation time of crash marks, and the rating rate from which the rate of false
// alarms is derived. Both grow slowly with the number of hosts, so more hosts than
// this are fine.
const expectedHosts = 16

// Provision creates the components and registers their signals.
func (s *signalService) Provision(k *kernel.Kernel) error {
	var err error
	if s.coreServices, err = lookupCoreServices(k); err != nil {
		return err
	}
	self := s.membership.Self()
	clock, set := s.opts.Clock, s.opts.Settings
	s.usage = make(map[string]peerUsage)
	s.demand = newDemandCounter(clock)
	s.chooser = cascade.New(cascade.Config{
		Host: self.Host, Incarnation: self.Started, RatingsPerSecond: set.Platform.RatingsPerSecond,
	}, clock, s.opts.newRand())
	s.detector = rollout.NewDetector(rollout.Config{
		Host: self.Host, Incarnation: self.Started,
		RatingsPerHour: set.Platform.RatingsPerSecond * time.Hour.Seconds() * expectedHosts,
	}, clock)
	s.queue = admission.New(clock, admission.Limits{
		MaxWaitingCost: admission.DefaultLimits.MaxWaitingCost, MaxWaiting: set.Limits.MaxWaiting,
	}, self.Host, self.Started)
	s.crashes = limiter.NewCrashGuard(clock, limiter.PropagationTime(expectedHosts, membership.DefaultInterval))
	s.parts = limiter.NewPartGuard(clock, s.opts.Logger, false)
	s.crashReports = s.newCrashReports()
	s.crashReports.Register(s.peers.server)
	s.parts.Tries = s.crashReports.Tries
	s.crashRecord = s.newCrashRecorder()
	s.permits = limiter.NewPermits(clock, s.opts.Logger, s.permitPeers())
	s.probation = limiter.NewProbation(clock, s.crashes)
	s.allowance, err = allowance.NewController(clock.Now(), allowance.Config{
		Host: self.Host, Incarnation: self.Started, Members: 1,
	}, s.opts.newRand())
	if err != nil {
		return err
	}
	s.registerSignals()
	return nil
}

// signal adds the result of produce to outgoing heartbeats under name, and passes the
// values received from other hosts to consume.
func signal[T any](s *signalService, name string, produce func() (T, bool), consume func(from membership.Member, v T) error) {
	s.membership.RegisterSignal(name, func() json.RawMessage {
		v, ok := produce()
		if !ok {
			return nil
		}
		data, err := json.Marshal(v)
		if err != nil {
			s.opts.Logger.Error("signal not sent", "signal", name, "error", err)
			return nil
		}
		return data
	}, func(from membership.Member, data json.RawMessage) {
		var v T
		err := json.Unmarshal(data, &v)
		if err == nil {
			err = consume(from, v)
		}
		if err != nil {
			s.opts.Logger.Warn("signal refused", "signal", name, "from", from.Host, "error", err)
		}
	})
}

func (s *signalService) registerSignals() {
	signal(s, "cascade", func() (cascade.Summary, bool) { return s.chooser.Export(), true },
		func(_ membership.Member, v cascade.Summary) error { return s.chooser.Merge(v) })
	signal(s, "versions", func() (rollout.Summary, bool) { return s.detector.Export(), true },
		func(_ membership.Member, v rollout.Summary) error { return s.detector.Merge(v) })
	signal(s, "usage", func() (admission.Usage, bool) { return s.queue.Usage(), true }, s.observeUsage)
	signal(s, "demand", s.demand.export, s.demand.observe)
	signal(s, "crashes", s.crashMarks, func(_ membership.Member, v json.RawMessage) error { return s.crashes.MergeMarks(v) })
	signal(s, "parts", s.partMarks, func(_ membership.Member, v json.RawMessage) error { return s.parts.MergeMarks(v) })
	signal(s, "limits", s.limitMarks, func(_ membership.Member, v json.RawMessage) error { return s.permits.MergeMarks(v) })
	s.registerAllocator()
	signal(s, "allowance", func() (allowance.Report, bool) {
		return s.allowance.Report(s.opts.Clock.Now(), s.allocatorFence()), true
	}, func(_ membership.Member, v allowance.Report) error {
		s.addReport(v)
		return s.allowance.ObservePeer(s.opts.Clock.Now(), v)
	})
}

func (s *signalService) crashMarks() (json.RawMessage, bool) {
	marks, err := s.crashes.Marks()
	if err != nil {
		s.opts.Logger.Error("crash marks not sent", "error", err)
	}
	return marks, err == nil && len(marks) > 0
}

func (s *signalService) partMarks() (json.RawMessage, bool) {
	marks, err := s.parts.Marks()
	if err != nil {
		s.opts.Logger.Error("part marks not sent", "error", err)
	}
	return marks, err == nil
}

// observeUsage records the usage reported by another host.
func (s *signalService) observeUsage(from membership.Member, u admission.Usage) error {
	inFlight := 0
	for _, r := range u.Ranks {
		inFlight += r.InFlight
	}
	s.mu.Lock()
	s.usage[from.Host] = peerUsage{at: s.opts.Clock.Now(), inFlight: inFlight}
	s.mu.Unlock()
	return s.queue.ObservePeerUsage(u)
}

// setSlots sets the number of requests that all endpoints run at once.
func (s *signalService) setSlots(slots float64) {
	s.mu.Lock()
	s.slots = slots
	s.mu.Unlock()
	s.updateCapacity()
}

// updateCapacity sets this host's capacity, so that endpoint queues stay short whichever
// host receives the load.
func (s *signalService) updateCapacity() {
	hosts := 0
	for _, m := range s.membership.Members() {
		if m.State.Live() {
			hosts++
		}
	}
	now := s.opts.Clock.Now()
	s.mu.Lock()
	used := 0
	for host, u := range s.usage {
		if now.Sub(u.at) > admission.PeerReportTTL {
			delete(s.usage, host)
			continue
		}
		used += u.inFlight
	}
	slots := s.slots
	s.mu.Unlock()
	capacity := admission.Capacity(slots, hosts, s.queue.Stats().InFlight, used)
	s.queue.SetCapacity(capacity)
	s.allowance.SetMembers(now, max(hosts, 1))
}

// capacityInterval is the time between two updates of the capacity. It equals the
// heartbeat interval.
const capacityInterval = membership.DefaultInterval

// Start starts updating the capacity and exchanging crash reports.
func (s *signalService) Start(context.Context) error {
	s.run.Start(serviceSignals, func(ctx context.Context) error {
		return background.Every(ctx, s.opts.Clock, capacityInterval, s.updateCapacity)
	})
	s.run.Start("crash reports", s.crashReports.Run)
	s.run.Start("crash record", s.crashRecord.Run)
	return nil
}

// Stop closes the queue and stops updating the capacity.
func (s *signalService) Stop(ctx context.Context) error {
	s.queue.Close()
	return s.run.Stop(ctx)
}

// Methods by which one host coordinates the runs of suspect requests.
const (
	methodTryStart = "limiter.TryStart"
	methodFinish   = "limiter.Finish"
)

// probationCall is the message of both methods.
type probationCall struct {
	Hash     limiter.Hash `json:"hash"`
	Endpoint string       `json:"endpoint"`
	Crashed  bool         `json:"crashed,omitempty"`
}

// registerProbation registers the methods by which other hosts ask for and report
// runs of suspect requests.
func (s *signalService) registerProbation() {
	s.peers.server.Handle(methodTryStart, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var c probationCall
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, errors.Wrap(err, "daemon: decode probation call")
		}
		return s.probation.TryStart(c.Hash, c.Endpoint), nil
	})
	s.peers.server.Handle(permitpeers.Method, permitpeers.Handler(s.permits))
	s.peers.server.Handle(methodFinish, func(_ context.Context, _ string, params json.RawMessage) (any, error) {
		var c probationCall
		if err := json.Unmarshal(params, &c); err != nil {
			return nil, errors.Wrap(err, "daemon: decode probation call")
		}
		s.probation.Finish(c.Hash, c.Endpoint, c.Crashed)
		return struct{}{}, nil
	})
}

// coordinator returns the host that grants the runs of suspect requests. It is the
// live member with the lowest name, so that all hosts use the same one.
func (s *signalService) coordinator() membership.Member {
	for _, m := range s.membership.Members() {
		if m.State == membership.Alive {
			return m
		}
	}
	return s.membership.Self()
}

// TryStart implements dispatch.ProbationCoordinator. It returns false if the
// coordinator does not answer, so the suspect request waits.
func (s *signalService) TryStart(ctx context.Context, hash limiter.Hash, endpoint string) bool {
	c := s.coordinator()
	if c.Host == s.opts.Settings.Host {
		return s.probation.TryStart(hash, endpoint)
	}
	granted := false
	call := probationCall{Hash: hash, Endpoint: endpoint}
	if err := s.peers.client.Call(ctx, c.PeerAddress, methodTryStart, call, &granted); err != nil {
		s.opts.Logger.Warn("no answer from the coordinator of suspect requests", "coordinator", c.Host, "error", err)
		return false
	}
	return granted
}

// Finish implements dispatch.ProbationCoordinator. A grant whose end is not reported
// expires.
func (s *signalService) Finish(ctx context.Context, hash limiter.Hash, endpoint string, crashed bool) {
	c := s.coordinator()
	if c.Host == s.opts.Settings.Host {
		s.probation.Finish(hash, endpoint, crashed)
		return
	}
	call := probationCall{Hash: hash, Endpoint: endpoint, Crashed: crashed}
	if err := s.peers.client.Call(ctx, c.PeerAddress, methodFinish, call, nil); err != nil {
		s.opts.Logger.Warn("end of a suspect request's run not reported", "coordinator", c.Host, "error", err)
	}
}
