package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/resource"
)

// maxAttempts bounds the attempts of one step.
const maxAttempts = 3

// run tries the versions of the target until one answers.
func (d *Dispatcher) run(ctx context.Context, req ChatRequest, t target, sink Sink) (Answer, error) {
	a := &attempt{d: d, req: req, target: t, version: t.versions[0], sink: sink}
	var last error
	for range maxAttempts {
		final, err := a.once(ctx)
		if err == nil {
			return a.answer(final)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	return Answer{}, a.failure(last)
}

// attempt is the state of one answer over its attempts.
type attempt struct {
	d       *Dispatcher
	req     ChatRequest
	target  target
	version string
	sink    Sink

	text   strings.Builder
	tokens int
	ran    bool
}

// once runs one attempt, continuing where the earlier ones ended.
func (a *attempt) once(ctx context.Context) (engine.Final, error) {
	snap := a.d.Config.Current()
	if !a.d.Config.Fresh() || !snap.MayServe(a.req.Team, a.version) {
		return engine.Final{}, errors.New("version is no longer allowed or serving")
	}
	names := snap.EndpointsForVersion(a.version)
	if len(names) == 0 {
		return engine.Final{}, errors.Newf("no endpoint serves version %q", a.version)
	}
	addr := snap.Endpoints[names[rand.IntN(len(names))]].Address
	greq := engine.GenerateRequest{
		Attempt: newAttempt(), Version: a.version, Messages: a.req.Body.Messages,
		MaxTokens: a.req.Body.MaxTokens, ResumeFrom: a.tokens, Prefix: a.text.String(),
		Priority: a.target.rank.Priority, Temperature: a.req.Body.Temperature,
		TopP: a.req.Body.TopP, User: a.req.Body.User,
	}
	final, err := a.d.Engines.Generate(ctx, addr, greq, a.token)
	var failed *engine.Error
	if !errors.As(err, &failed) || failed.Outcome != api.OutcomeNotRun {
		a.ran = true
	}
	return final, err
}

func (a *attempt) token(ev engine.Event) error {
	a.tokens++
	a.text.WriteString(ev.Token)
	return a.sink(ev.Token)
}

func (a *attempt) answer(final engine.Final) (Answer, error) {
	v := a.d.Config.Current().Versions[a.version]
	digest := api.NewDigest(a.req.ID)
	digest.Add(a.text.String())
	out := Answer{
		Text: a.text.String(), FinishReason: final.FinishReason,
		Usage: api.Usage{PromptTokens: final.PromptTokens, CompletionTokens: final.Tokens, TotalTokens: final.PromptTokens + final.Tokens},
		Receipt: api.Receipt{
			RequestID: a.req.ID, Version: a.version, Tokens: final.Tokens, Digest: digest.Sum(),
			Cost: Cost(v, final.PromptTokens, final.Tokens),
		},
	}
	if a.target.pin.ID == "" {
		return out, nil
	}
	token, err := a.d.Signer.Sign(a.target.pin)
	if err != nil {
		return out, err
	}
	out.Receipt.Session = token
	out.Receipt.SessionMoved = a.target.movedFrom != ""
	out.Receipt.MovedFrom = a.target.movedFrom
	return out, nil
}

// tokensPerPrice is the number of tokens that a version's costs refer to.
const tokensPerPrice = 1000

// Cost returns the price units of an answer.
func Cost(v *resource.Version, input, output int) float64 {
	if v == nil {
		return 0
	}
	return (v.InputCost*float64(input) + v.OutputCost*float64(output)) / tokensPerPrice
}

func (a *attempt) failure(err error) error {
	out := refusal(http.StatusServiceUnavailable, api.CodeFailed, "%v", err)
	out.RequestID = a.req.ID
	if a.ran {
		out.Outcome = api.OutcomeUnknown
	}
	return out
}
