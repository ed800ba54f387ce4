package relay

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/corianderlever/corianderlever/admission"
	"github.com/corianderlever/corianderlever/balance"
)

// minBusyFraction is the part of its slots that the mean engine uses when its event gap counts
// as load. Below it, a gap above the target is the engine's own, and rejections do not
// shorten it.
const minBusyFraction = 1.0 / 8

// loadInterval is the time for which a load of a service is used again. It takes about 0.2 ms to
// sum up the engines of a large fleet from heartbeats, which is too much for each request.
const loadInterval = 100 * time.Millisecond

// serviceLoad keeps the last load of a service.
type serviceLoad struct {
	mu   sync.Mutex
	at   time.Time
	load float64
}

// get returns the load, which compute is asked for if the last one is older than loadInterval.
func (s *serviceLoad) get(now time.Time, compute func() float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.at) >= loadInterval {
		s.at, s.load = now, compute()
	}
	return s.load
}

// load returns the load of the service's engines: 1 is the most that its callers bear. All
// requests see the same load, whatever their routes and models are. It is the largest of the
// mean event gap in relation to the shortest target gap of the routes, the mean backlog in
// relation to their longest target latency, because the least urgent wait for all, and the mean
// number of running requests in relation to the slots. The gap counts only if it is long both
// over complete answers and at this moment.
func (j *job) load() float64 {
	targets, engines, load := j.table.Targets(j.pool.service), j.pool.engines, 0.0
	if slots := j.service.Engine.Slots; slots > 0 {
		load = engines.MeanRunning() / float64(slots)
	}
	if targets.Gap > 0 && load >= minBusyFraction {
		gap := min(j.meanEventGap(), j.pool.gaps.mean(j.relay.Clock.Now()))
		load = max(load, gap.Seconds()/targets.Gap.Seconds())
	}
	if targets.Latency > 0 {
		load = max(load, engines.MeanBacklog("", balance.PriorityLevels-1).Seconds()/targets.Latency.Seconds())
	}
	return load
}

// meanEventGap returns the mean event gap over the models of the service that have one.
func (j *job) meanEventGap() time.Duration {
	sum, n := time.Duration(0), time.Duration(0)
	for _, m := range j.service.Engine.Models {
		if gap := j.pool.engines.EventGap(m.Name); gap > 0 {
			sum += gap
			n++
		}
	}
	return sum / max(1, n)
}

// checkRoom rejects a request that the engines have no room for.
func (j *job) checkRoom(sl *slot) *ErrorResponse {
	if j.relay.AdmissionGate {
		return j.checkGate(sl)
	}
	return j.checkExpectedStart(sl)
}

// checkExpectedStart rejects a request at once if the chosen engine is not expected to start
// it before its deadline. The request has not run, so the caller may retry it later.
func (j *job) checkExpectedStart(sl *slot) *ErrorResponse {
	excess := sl.choice.TimeToFirstEvent - j.remaining()
	if sl.inFlight == nil || j.possibleRuns > 0 || excess <= 0 {
		return nil
	}
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: string(admission.GateNoRoomInTime), RetryAfter: max(excess, shortRetryAfter),
		Detail: "expected first event after " + sl.choice.TimeToFirstEvent.Round(time.Millisecond).String(),
	}
}

// checkGate asks the gate of the service for admission. Only the first attempt of a caller's
// request can be rejected because of the load, later ones only for lack of time, and requests
// that may have run or whose answer has begun not at all.
func (j *job) checkGate(sl *slot) *ErrorResponse {
	if sl.inFlight == nil || j.possibleRuns > 0 || j.headerSent || j.headerSentBefore {
		return nil
	}
	j.serviceLoad = j.pool.load.get(j.relay.Clock.Now(), j.load)
	d := j.pool.gate.Admit(admission.GateRequest{
		Team: j.team, Model: j.model, Rank: j.enginePriority, Key: uint64(j.hash), Left: j.remaining(),
		FirstEvent: sl.choice.TimeToFirstEvent, Completion: sl.choice.Completion, LengthStated: j.req.OutputHint > 0,
		Load: j.serviceLoad, AlreadyAdmitted: j.gateAsked || j.from != "",
	})
	j.gateAsked = true
	if d.Overloaded {
		j.addStep("overloaded", "returned="+strconv.FormatBool(d.Returned))
	}
	if d.Admitted() {
		return nil
	}
	j.relay.metrics.rejections.WithLabelValues(j.pool.service, string(d.Reason), j.team, strconv.Itoa(j.enginePriority)).Inc()
	return &ErrorResponse{
		Status: http.StatusServiceUnavailable, Reason: string(d.Reason), RetryAfter: d.RetryAfter,
		Detail: "first event expected after " + sl.choice.TimeToFirstEvent.Round(time.Millisecond).String() +
			", last after " + sl.choice.Completion.Round(time.Millisecond).String(),
	}
}
