package dispatch

import (
	"strings"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

// attempts is the state of one version's answer over its attempts.
type generation struct {
	*run
	version string
	// held keeps tokens back until the answer has been rated.
	buffered bool
	text     strings.Builder
	tokens   int
}

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

// answer makes the caller's answer, with the receipt by which it can check it.
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
