package dispatch

import (
	"strings"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// generation is the state of one version's answer across its attempts.
type generation struct {
	*run
	version string
	// buffered is set if no token is sent to the caller before the answer has been
	// rated.
	buffered bool
	// text holds the tokens received so far, and tokens is their number.
	text   strings.Builder
	tokens int
}

// onToken records a token and sends it to the caller unless the answer is buffered.
func (g *generation) onToken(ev engine.Event) error {
	g.tokens++
	g.text.WriteString(ev.Token)
	if g.tokens == 1 {
		g.observeFirstToken()
	}
	if g.buffered {
		return nil
	}
	return g.send(ev.Token)
}

func (g *generation) observeFirstToken() {
	team, rank := classLabels(g.d.Config.Current(), g.req.Team, g.target.rankName)
	observe(g.d.metrics.firstToken, team, rank, g.d.Clock.Since(g.arrived))
}

// answer returns the complete answer with the receipt by which the caller can
// verify it.
func (g *generation) answer(final engine.Final) (Answer, error) {
	digest := api.NewDigest(g.req.ID)
	digest.Add(g.text.String())
	out := Answer{
		Text: g.text.String(), FinishReason: final.FinishReason,
		Usage: api.Usage{
			PromptTokens: final.PromptTokens, CompletionTokens: final.Tokens,
			TotalTokens: final.PromptTokens + final.Tokens,
		},
		Receipt: api.Receipt{RequestID: g.req.ID, Version: g.version, Tokens: final.Tokens, Digest: digest.Sum()},
	}
	if g.target.pin.ID == "" {
		return out, nil
	}
	token, err := g.d.Signer.Sign(g.target.pin)
	out.Receipt.Session = token
	out.Receipt.SessionMoved = g.target.movedFrom != ""
	out.Receipt.MovedFrom = g.target.movedFrom
	return out, err
}
