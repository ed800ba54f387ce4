package dispatch

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
	"github.com/corianderlever/corianderlever/limiter"
)

const (
	// maxAnswerBytes bounds the text of one answer.
	maxAnswerBytes = 4 << 20
	// answerBufferBytes is the length of a text that does not count towards the host's
	// budget.
	answerBufferBytes = 4 << 10
)

// generation is the state of one version's answer across its attempts.
type generation struct {
	*run
	version string
	// buffered is set if no token is sent to the caller before the answer has been
	// rated.
	buffered bool
	// text holds the tokens received so far, and tokens is their number.
	text   *limiter.Accumulator
	tokens int
}

// newGeneration returns the state of an answer of a version. Its text is released at the end
// of the request.
func (r *run) newGeneration(version string, buffered bool) *generation {
	g := &generation{run: r, version: version, buffered: buffered, text: r.d.Buffers.NewAccumulator(maxAnswerBytes, answerBufferBytes)}
	r.texts = append(r.texts, g.text)
	return g
}

// onToken records a token and sends it to the caller unless the answer is buffered.
func (g *generation) onToken(ev engine.Event) error {
	if err := g.text.Append([]byte(ev.Token)); err != nil {
		return textError(err)
	}
	g.tokens++
	if g.tokens == 1 {
		g.observeFirstToken()
	}
	if g.buffered {
		return nil
	}
	return g.send(ev.Token)
}

// textError returns the error for the caller for an answer whose text cannot be kept. Another
// attempt would not help.
func textError(err error) error {
	if errors.Is(err, limiter.ErrBufferFull) {
		return apiError(http.StatusServiceUnavailable, api.CodeOverloaded, "this host has no room for the answer")
	}
	return apiError(http.StatusBadGateway, api.CodeEndpointFailed, "the answer is longer than %d bytes", maxAnswerBytes)
}

func (g *generation) observeFirstToken() {
	team, rank := classLabels(g.d.Config.Current(), g.req.Team, g.target.rankName)
	observe(g.d.metrics.firstToken, team, rank, g.d.Clock.Since(g.arrived))
}

// answer returns the complete answer with the receipt by which the caller can
// verify it.
func (g *generation) answer(final engine.Final) (Answer, error) {
	text := string(g.text.Bytes())
	digest := api.NewDigest(g.req.ID)
	digest.Add(text)
	out := Answer{
		Text: text, FinishReason: final.FinishReason,
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
