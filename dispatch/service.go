package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

// ServiceRequest is one call of a plain service.
type ServiceRequest struct {
	ID   string
	Team string
	Rank string
	// Key is the caller's idempotency key; non-idempotent operations need it.
	Key       string
	Service   string
	Operation string
	Body      []byte
}

// ServiceAnswer is the reply of a plain service.
type ServiceAnswer struct {
	Status      int
	ContentType string
	Body        []byte
	// Repeat is set when the reply was stored by an earlier run.
	Repeat bool
}

// NewSession starts a session of the team on the model's current version.
func (d *Dispatcher) NewSession(team, model string) (string, session.Pin, error) {
	snap := d.Config.Current()
	if snap.Models[model] == nil {
		return "", session.Pin{}, refusal(http.StatusNotFound, api.CodeUnknownModel, "unknown model %q", model)
	}
	pin := session.New(team, model, "")
	v, ok := snap.PickVersion(team, model, resource.HashKey(pin.ID))
	if !ok {
		return "", session.Pin{}, refusal(http.StatusForbidden, api.CodeForbidden, "no version of model %q is allowed and serving", model)
	}
	pin.Version = v
	token, err := d.Signer.Sign(pin)
	return token, pin, err
}

// Service runs one call of a plain service.
func (d *Dispatcher) Service(ctx context.Context, req ServiceRequest) (ServiceAnswer, error) {
	snap := d.Config.Current()
	if !d.Config.Fresh() {
		return ServiceAnswer{}, refusal(http.StatusServiceUnavailable, api.CodeUnavailable, "this host cannot confirm that its configuration is current")
	}
	svc := snap.Services[req.Service]
	if svc == nil {
		return ServiceAnswer{}, refusal(http.StatusNotFound, api.CodeUnknownService, "unknown service %q", req.Service)
	}
	op, ok := svc.Operation(req.Operation)
	if !ok {
		return ServiceAnswer{}, refusal(http.StatusNotFound, api.CodeUnknownService, "unknown operation %q of service %q", req.Operation, req.Service)
	}
	if !slices.Contains(snap.Teams[req.Team].Services, req.Service) {
		return ServiceAnswer{}, refusal(http.StatusForbidden, api.CodeForbidden, "team %q may not call service %q", req.Team, req.Service)
	}
	_ = op
	names := snap.EndpointsForService(req.Service)
	if len(names) == 0 {
		return ServiceAnswer{}, refusal(http.StatusServiceUnavailable, api.CodeUnavailable, "no endpoint of service %q", req.Service)
	}
	addr := snap.Endpoints[names[rand.IntN(len(names))]].Address
	reply, err := d.Engines.Call(ctx, addr, req.Service, req.Operation, newAttempt(), req.Key, req.Body)
	if err != nil {
		out := refusal(http.StatusBadGateway, api.CodeFailed, "%v", err)
		var failed *engine.Error
		if errors.As(err, &failed) {
			out.Outcome = failed.Outcome
		}
		return ServiceAnswer{}, out
	}
	return ServiceAnswer{Status: reply.Status, ContentType: reply.ContentType, Body: reply.Body}, nil
}
