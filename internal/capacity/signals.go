package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/allowance"
	"github.com/corianderlever/corianderlever/cascade"
	"github.com/corianderlever/corianderlever/limiter"
	"github.com/corianderlever/corianderlever/membership"
	"github.com/corianderlever/corianderlever/rollout"
)

// Parameters of the state that the signals of one host describe.
const (
	kinds            = 3
	ranks            = 3
	ratingsPerCell   = 20
	suspectsPerCrash = 4
	// requestsPerReport is the number of requests that a host admits between two of
	// its reports: 18,000 per second on 870 hosts are 10 per host in 500 ms.
	requestsPerReport = 10
	// propagationTime approximates limiter.PropagationTime at the design size.
	propagationTime = 5 * time.Second
)

// hostState holds the components of one host whose signals heartbeats carry.
type hostState struct {
	clock     clockwork.Clock
	rng       *rand.Rand
	chooser   *cascade.Chooser
	detector  *rollout.Detector
	queue     *admission.Queue
	crashes   *limiter.CrashGuard
	allowance *allowance.Controller
}

// newHostState returns the state of a host that has served requests of all
// teams, ranks, versions and kinds.
func newHostState(host string, rng *rand.Rand) (*hostState, error) {
	clock := clockwork.NewRealClock()
	d := &hostState{
		clock: clock, rng: rng,
		chooser:  cascade.New(cascade.Config{Host: host, Incarnation: 1}, clock, rand.New(rand.NewPCG(rng.Uint64(), 1))),
		detector: rollout.NewDetector(rollout.Config{Host: host, Incarnation: 1}, clock),
		queue:    admission.New(clock, admission.DefaultLimits, host, 1),
		crashes:  limiter.NewCrashGuard(clock, propagationTime),
	}
	var err error
	d.allowance, err = allowance.NewController(clock.Now(), allowance.Config{Host: host, Incarnation: 1, Members: Hosts,
		Terms: allowance.Terms{PeakPrice: 10, StandingPeak: 1e6, Allowance: 9e5}}, rand.New(rand.NewPCG(rng.Uint64(), 2)))
	if err != nil {
		return nil, errors.Wrap(err, "capacity: create allowance controller")
	}
	return d, d.populate(host)
}

func rankName(i int) string { return fmt.Sprintf("rank-%d", i) }
func teamName(i int) string { return fmt.Sprintf("team-%d", i) }

// fill makes the evidence that a host gathers in a few minutes. Crashes are rare,
// so only one host has suspects; the others relay them.
func (d *hostState) populate(host string) error {
	for v := range versions {
		version := fmt.Sprintf("model-%d-v%d", v/2, v%2)
		if err := d.detector.Declare(version, 0.9, ""); err != nil {
			return errors.Wrap(err, "capacity: declare version")
		}
		for k := range kinds * ratingsPerCell {
			kind := fmt.Sprintf("kind-%d", k%kinds)
			passed := d.rng.Float64() < 0.9
			d.chooser.ObserveRating(cascade.Rating{Version: version, Kind: kind, Passed: passed})
			d.detector.Observe(version, kind, passed)
		}
	}
	var rankList []admission.Rank
	for i := range ranks {
		rankList = append(rankList, admission.Rank{Name: rankName(i), Priority: i, Floor: 0.1})
	}
	var teamList []admission.Team
	for i := range teams {
		teamList = append(teamList, admission.Team{Name: teamName(i), Weight: 1})
	}
	if err := d.queue.ApplyConfig(rankList, teamList); err != nil {
		return errors.Wrap(err, "capacity: configure admission")
	}
	d.queue.SetCapacity(1000)
	for r := range ranks {
		for t := range teams {
			d.request(r, t)
		}
	}
	if host != "host-0000" {
		return nil
	}
	var running []limiter.Hash
	for range suspectsPerCrash {
		running = append(running, limiter.Hash(d.rng.Uint64()))
	}
	d.crashes.RecordCrash("engine of "+host, running)
	return nil
}

// request admits one request and releases it at once.
func (d *hostState) request(rank, team int) {
	g, err := d.queue.Acquire(context.Background(), admission.Request{Rank: rankName(rank), Team: teamName(team), Cost: d.cost()})
	if err == nil {
		g.Release(d.cost())
	}
}

// cost returns a random cost with as many digits as the costs of real answers.
func (d *hostState) cost() float64 { return float64(d.rng.IntN(100_000)) / 1000 }

// attach registers the signals as the daemon does.
func (d *hostState) attach(m *membership.Membership) {
	signal(m, "cascade", d.chooser.Export, d.chooser.Merge)
	signal(m, "versions", d.detector.Export, d.detector.Merge)
	signal(m, "usage", d.usage, d.queue.ObservePeerUsage)
	signal(m, "crashes", d.crashMarks, d.crashes.MergeMarks)
	signal(m, "allowance", func() allowance.Report { return d.allowance.Report(d.clock.Now(), 0) },
		func(r allowance.Report) error { return d.allowance.ObservePeer(d.clock.Now(), r) })
}

// usage admits the requests of one report interval and returns the usage report.
func (d *hostState) usage() admission.Usage {
	for range requestsPerReport {
		d.request(d.rng.IntN(ranks), d.rng.IntN(teams))
	}
	return d.queue.Usage()
}

func (d *hostState) crashMarks() json.RawMessage {
	data, err := d.crashes.Marks()
	if err != nil {
		return nil
	}
	return data
}

// signal registers a signal that is encoded as JSON. A null value is not sent.
func signal[T any](m *membership.Membership, name string, produce func() T, consume func(T) error) {
	m.RegisterSignal(name, func() json.RawMessage {
		data, err := json.Marshal(produce())
		if err != nil || string(data) == "null" {
			return nil
		}
		return data
	}, func(_ membership.Member, data json.RawMessage) {
		var v T
		if json.Unmarshal(data, &v) == nil {
			_ = consume(v) // a rejected signal costs as much as an accepted one
		}
	})
}

// SignalBytes returns the encoded size of each signal of one host in bytes.
func SignalBytes() (map[string]float64, error) {
	d, err := newHostState("host-0000", rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return nil, err
	}
	out := make(map[string]float64)
	for name, v := range map[string]any{
		"cascade": d.chooser.Export(), "versions": d.detector.Export(), "usage": d.usage(),
		"crashes": d.crashMarks(), "allowance": d.allowance.Report(d.clock.Now(), 0),
	} {
		data, err := json.Marshal(v)
		if err != nil {
			return nil, errors.Wrap(err, "capacity: encode signal")
		}
		out[name] = float64(len(data))
	}
	return out, nil
}

func discardLogger() *slog.Logger { return slog.New(slog.NewTextHandler(io.Discard, nil)) }
