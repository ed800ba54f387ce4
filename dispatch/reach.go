package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
)

// ErrUnreachable marks the error of a request that has not run because this host reaches no
// endpoint for it. Another host may be able to serve it.
var ErrUnreachable = errors.New("dispatch: endpoints not reachable from this host")

// EngineService is the name under which LostServices lists the model engines.
const EngineService = "engines"

// reachKey returns the service for which an endpoint counts.
func (st *endpointState) reachKey() string {
	if st.spec.Service != "" {
		return ServiceVersion(st.spec.Service)
	}
	return EngineService
}

// setReach passes the endpoints in use to the reach of their services. The caller holds the
// lock.
func (ep *EndpointPool) setReach() {
	names := make(map[string][]string)
	for name, st := range ep.endpoints {
		names[st.reachKey()] = append(names[st.reachKey()], name)
	}
	for service, r := range ep.reach {
		if names[service] == nil {
			r.SetEndpoints(nil)
		}
	}
	for service, list := range names {
		if ep.reach[service] == nil {
			ep.reach[service] = limiter.NewReach(ep.clock)
		}
		ep.reach[service].SetEndpoints(list)
	}
}

// ObserveContact records whether an endpoint has answered this host. It returns the service
// of the endpoint and whether that counts as lost or reachable from now on.
func (ep *EndpointPool) ObserveContact(name string, answered bool) (service string, changed bool) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	st := ep.endpoints[name]
	if st == nil {
		return "", false
	}
	r := ep.reach[st.reachKey()]
	if answered {
		return st.reachKey(), r.Opened(name)
	}
	return st.reachKey(), r.Failed(name)
}

// observeAttempt records what an attempt tells of the way to its endpoint. Only a request
// that could not be sent tells that it is lost: any other failure may be the endpoint's own.
// A request that was cancelled tells nothing.
func (ep *EndpointPool) observeAttempt(ctx context.Context, name string, err error) {
	switch {
	case Answered(err):
		ep.ObserveContact(name, true)
	case notSent(err) && !errors.Is(ctx.Err(), context.Canceled):
		ep.ObserveContact(name, false)
	}
}

// notSent reports whether an attempt failed because no connection could be opened.
func notSent(err error) bool {
	var failed *engine.Error
	return errors.As(err, &failed) && failed.Outcome == api.OutcomeNotRun && failed.Status == 0
}

// markUnreachable marks the final error of a request that has not run if its cause is that
// this host reaches no endpoint.
func markUnreachable(out *api.Error, cause error) error {
	if out.Outcome == api.OutcomeNotRun && (errors.Is(cause, ErrUnreachable) || notSent(cause)) {
		return errors.Mark(out, ErrUnreachable)
	}
	return out
}

// LostServices returns the services whose endpoints this host does not reach.
func (ep *EndpointPool) LostServices() []string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	lost := []string{}
	for service, r := range ep.reach {
		if r.Lost() {
			lost = append(lost, service)
		}
	}
	return lost
}

// lost reports whether this host does not reach the endpoints of a version.
func (ep *EndpointPool) lost(version string) bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	r := ep.reach[version] // the pseudo-version of a plain service
	if r == nil {
		r = ep.reach[EngineService]
	}
	return r != nil && r.Lost()
}

// otherAddresses returns the addresses of some other endpoints of the same service.
func (ep *EndpointPool) otherAddresses(name string, most int) []string {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	st := ep.endpoints[name]
	if st == nil {
		return nil
	}
	var out []string
	for _, other := range ep.reach[st.reachKey()].Witnesses(name, most, uint64(ep.clock.Now().UnixNano())) {
		if o := ep.endpoints[other]; o != nil {
			out = append(out, o.spec.Address)
		}
	}
	return out
}

// Answered reports whether an endpoint has answered, be it with an error.
func Answered(err error) bool {
	var failed *engine.Error
	return err == nil || errors.As(err, &failed) && failed.Status != 0
}

// unreachableError is the error for a request that no endpoint can be reached for.
func unreachableError() error {
	err := apiError(http.StatusServiceUnavailable, api.CodeUnavailable, "this host reaches no endpoint that could serve the request")
	err.RetryAfterMS = unreachableRetryMS
	return errors.Mark(err, ErrUnreachable)
}

// unreachableRetryMS is the time after which a caller may try again, in milliseconds. By
// then the host has checked its endpoints once more.
const unreachableRetryMS = 1000

// witnesses is the number of other endpoints that are asked before a lost connection counts
// as a crash of its endpoint.
const witnesses = 2

// witnessTimeout bounds the wait for them. It is generous, since a crash that is not recorded
// may be followed by others.
const witnessTimeout = 2 * time.Second

// othersAnswer reports whether other endpoints answer this host, so that one that does not
// has failed itself. It returns true if there is no other to ask.
func (d *Dispatcher) othersAnswer(ctx context.Context, sl *slot) bool {
	others := d.Pool.otherAddresses(sl.endpoint, witnesses)
	if len(others) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), witnessTimeout)
	defer cancel()
	answers := make(chan bool, len(others))
	for _, addr := range others {
		go func() {
			_, err := d.Engines.Probe(ctx, addr, sl.attempt)
			answers <- Answered(err)
		}()
	}
	for range others {
		if <-answers {
			return true
		}
	}
	return false
}
