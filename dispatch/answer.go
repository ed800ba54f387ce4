package dispatch

import (
	"strings"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// attempts is the state of one version's answer over its attempts.
type attempts struct {
	*run
	version string
	// held keeps tokens back until the answer has been rated.
	held   bool
	text   strings.Builder
	tokens int
}

func (a *attempts) token(ev engine.Event) error {
	a.tokens++
	a.text.WriteString(ev.Token)
	if a.tokens == 1 {
		a.firstToken()
	}
	if a.held {
		return nil
	}
	return a.pass(ev.Token)
}

func (a *attempts) firstToken() {
	team, rank := class(a.d.Config.Current(), a.req.Team, a.target.rankName)
	observe(a.d.metrics.firstToken, team, rank, a.d.Clock.Since(a.arrived))
}

// answer makes the caller's answer, with the receipt by which it can check it.
func (a *attempts) answer(final engine.Final) (Answer, error) {
	digest := api.NewDigest(a.req.ID)
	digest.Add(a.text.String())
	out := Answer{
		Text: a.text.String(), FinishReason: final.FinishReason,
		Usage: api.Usage{
			PromptTokens: final.PromptTokens, CompletionTokens: final.Tokens,
			TotalTokens: final.PromptTokens + final.Tokens,
		},
		Receipt: api.Receipt{RequestID: a.req.ID, Version: a.version, Tokens: final.Tokens, Digest: digest.Sum()},
	}
	if a.target.pin.ID == "" {
		return out, nil
	}
	token, err := a.d.Signer.Sign(a.target.pin)
	out.Receipt.Session = token
	out.Receipt.SessionMoved = a.target.movedFrom != ""
	out.Receipt.MovedFrom = a.target.movedFrom
	return out, err
}
