package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/internal/drain"
)

const (
	objectCompletion = "chat.completion"
	objectChunk      = "chat.completion.chunk"
	roleAssistant    = "assistant"
	streamEnd        = "data: [DONE]\n\n"
)

func (h *Handler) chat(w http.ResponseWriter, r *http.Request) {
	team, id, body, err := h.readRequest(w, r)
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	req := dispatch.ChatRequest{
		ID: id, Team: team,
		Rank:    r.Header.Get(api.HeaderRank),
		Kind:    r.Header.Get(api.HeaderKind),
		Session: r.Header.Get(api.HeaderSession),
	}
	if err := parseJSON(body, &req.Body); err != nil {
		h.writeFailure(w, id, err)
		return
	}
	if len(req.Body.Messages) == 0 || req.Body.MaxTokens < 0 {
		h.writeFailure(w, id, rejection(http.StatusBadRequest, api.CodeMalformed, "messages must not be empty and max_tokens not negative"))
		return
	}
	w.Header().Set(api.HeaderRequestID, id)
	if req.Body.Stream {
		h.stream(w, r, req, body)
		return
	}
	answer, err := h.opts.Dispatcher.Chat(r.Context(), req, func(string) error { return nil })
	if h.forward(w, r, id, body, err) {
		return
	}
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	h.writeJSON(w, api.ChatResponse{
		ID: id, Object: objectCompletion, Model: answer.Receipt.Version,
		Choices: []api.Choice{{Message: &api.Message{Role: roleAssistant, Content: answer.Text}, FinishReason: answer.FinishReason}},
		Usage:   &answer.Usage, Receipt: &answer.Receipt,
	})
}

// stream sends the answer as server-sent events. The status line goes out with
// the first token, so a rejection before it is an ordinary HTTP error.
func (h *Handler) stream(w http.ResponseWriter, r *http.Request, req dispatch.ChatRequest, body []byte) {
	out := &eventWriter{w: w, rc: http.NewResponseController(w), timeout: h.opts.WriteTimeout}
	answer, err := h.opts.Dispatcher.Chat(r.Context(), req, func(text string) error {
		return out.sendJSON(api.ChatResponse{
			ID: req.ID, Object: objectChunk,
			Choices: []api.Choice{{Delta: &api.Message{Role: roleAssistant, Content: text}}},
		})
	})
	if !out.started && h.forward(w, r, req.ID, body, err) {
		return
	}
	if err != nil {
		h.streamFailure(out, r, req.ID, err)
		return
	}
	err = out.sendJSON(api.ChatResponse{
		ID: req.ID, Object: objectChunk, Model: answer.Receipt.Version,
		Choices: []api.Choice{{Delta: &api.Message{}, FinishReason: answer.FinishReason}},
		Usage:   &answer.Usage, Receipt: &answer.Receipt,
	})
	if err == nil {
		err = out.write(streamEnd)
	}
	if err != nil {
		h.logCut(r, req.ID, err)
	}
}

// streamFailure reports an error. After the first token it can only send the
// error as an event. The client detects the incomplete answer by the missing
// receipt.
func (h *Handler) streamFailure(out *eventWriter, r *http.Request, id string, err error) {
	if !out.started {
		h.writeFailure(out.w, id, err)
		return
	}
	var e *api.Error
	if !errors.As(err, &e) {
		e = &api.Error{Code: api.CodeEndpointFailed, Message: err.Error(), Outcome: api.OutcomeUnknown}
	}
	e.RequestID = id
	if err := out.sendJSON(api.ErrorBody{Error: e}); err != nil {
		h.logCut(r, id, err)
	}
}

// logCut records that an answer could not be written to its end.
func (h *Handler) logCut(r *http.Request, id string, err error) {
	if drain.Stopping(r.Context()) {
		h.opts.Logger.Warn("answer cut because this host stops", "request", id, "error", err)
		return
	}
	h.opts.Logger.Info("client left before the end of its answer", "request", id, "error", err)
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
	started bool
}

func (e *eventWriter) sendJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "entry: encode event")
	}
	return e.write("data: " + string(data) + "\n\n")
}

func (e *eventWriter) write(text string) error {
	if !e.started {
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-store")
		e.started = true
	}
	if err := e.rc.SetWriteDeadline(time.Now().Add(e.timeout)); err != nil {
		return errors.Wrap(err, "entry: set write deadline")
	}
	if _, err := e.w.Write([]byte(text)); err != nil {
		return errors.Wrap(err, "entry: write event")
	}
	return errors.Wrap(e.rc.Flush(), "entry: flush event")
}
