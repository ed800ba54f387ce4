package fakeengine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/engine"
)

func (e *Endpoint) generate(w http.ResponseWriter, r *http.Request) {
	e.nameLimit(w)
	var req engine.GenerateRequest
	if !readJSON(w, r, &req) {
		return
	}
	if !e.serves(req.Version) {
		reject(w, http.StatusNotFound, "version not loaded")
		return
	}
	st := e.beginAttempt(req.Attempt)
	if st == nil {
		reject(w, http.StatusConflict, "attempt cancelled")
		return
	}
	defer e.endAttempt(req.Attempt, st)
	if !e.acquireSlot(r.Context(), st) {
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.slots }()
	prompt := promptOf(req.Messages)
	stalled := e.startRun(Run{Attempt: req.Attempt, Version: req.Version, Body: prompt})
	if strings.Contains(prompt, CrashMarker) {
		e.crash()
		return
	}
	e.stream(r.Context(), w, req, prompt, st, stalled)
}

func (e *Endpoint) stream(ctx context.Context, w http.ResponseWriter, req engine.GenerateRequest, prompt string, st *attemptState, stalled <-chan struct{}) {
	cached := e.updateCache(prompt)
	w.Header().Set("Content-Type", "text/event-stream")
	words := e.answer(req, prompt)
	rc := http.NewResponseController(w)
	for i := req.ResumeFrom; i <= len(words); i++ {
		select {
		case <-time.After(e.nextDelay()):
		case <-ctx.Done():
			panic(http.ErrAbortHandler)
		case <-st.cancelled:
			panic(http.ErrAbortHandler)
		}
		if isClosed(stalled) {
			// The engine continues as if its tokens were delivered.
			e.recordStep(req.Attempt)
			if i == len(words) {
				st.abort(ctx)
			}
			continue
		}
		ev := engine.Event{Attempt: req.Attempt, Index: i}
		if i < len(words) {
			ev.Token = words[i]
		} else {
			ev.Final = &engine.Final{PromptTokens: countTokens(prompt), Tokens: len(words), FinishReason: "stop", CachedTokens: cached}
		}
		data, err := json.Marshal(ev)
		if err != nil {
			return
		}
		// The token counts before it can arrive, so that a caller that has it also sees
		// it in the attempt's progress.
		e.recordStep(req.Attempt)
		if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
	}
}

// nextDelay returns the time until the next token.
func (e *Endpoint) nextDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokenDelay
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

func promptOf(messages []api.Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role + ": " + m.Content + "\n")
	}
	return b.String()
}

func countTokens(text string) int { return len(strings.Fields(text)) }

// First words of answers, by which the rating service determines the quality.
const (
	goodAnswer = "Good:"
	poorAnswer = "Poor:"
)

// answer derives the words of the answer from version and prompt alone, so that
// a resumed answer continues with the same text.
func (e *Endpoint) answer(req engine.GenerateRequest, prompt string) []string {
	n := e.opts.AnswerTokens
	if req.MaxTokens > 0 {
		n = min(n, req.MaxTokens)
	}
	sum := xxhash.Sum64String(req.Version + "\x00" + prompt)
	words := []string{goodAnswer}
	if float64(sum%10000)/10000 >= e.qualityOf(req.Version) {
		words[0] = poorAnswer
	}
	for i := 1; i < n; i++ {
		words = append(words, fmt.Sprintf(" w%d-%04x", i, (sum>>(i%48))&0xffff))
	}
	return words
}

func (e *Endpoint) qualityOf(version string) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if q, ok := e.quality[version]; ok {
		return q
	}
	return 1
}

func (e *Endpoint) serves(version string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.versions, version)
}

func (e *Endpoint) startRun(run Run) <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	run.Started = time.Now()
	e.runs = append(e.runs, run)
	if st := e.attempts[run.Attempt]; st != nil {
		st.running, st.stepsAtStart = true, e.steps
	}
	return e.stalled
}

func (e *Endpoint) recordStep(attempt string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steps++
	if st := e.attempts[attempt]; st != nil {
		st.sent++
	}
}

// crash closes all connections, as the crash of an engine process does, and
// listens again immediately.
func (e *Endpoint) crash() {
	e.mu.Lock()
	e.crashes++
	e.mu.Unlock()
	// This handler runs on the server that is closed, so the restart must run in
	// another goroutine. If it fails, the endpoint stays down, which tests can see.
	go func() { _ = e.Restart() }()
	panic(http.ErrAbortHandler)
}
