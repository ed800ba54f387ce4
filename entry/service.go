package entry

import (
	"encoding/json"
	"net/http"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
)

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	team, id, body, err := h.readRequest(w, r)
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	if !json.Valid(body) {
		h.writeFailure(w, id, rejection(http.StatusBadRequest, api.CodeMalformed, "the body is not valid JSON"))
		return
	}
	answer, err := h.opts.Dispatcher.Service(r.Context(), dispatch.ServiceRequest{
		ID: id, Team: team, Rank: r.Header.Get(api.HeaderRank),
		Key:     r.Header.Get(api.HeaderIdempotencyKey),
		Service: r.PathValue("service"), Operation: r.PathValue("operation"),
		Body: body,
	})
	defer answer.Release()
	if h.forward(w, r, id, body, err) {
		return
	}
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", answer.ContentType)
	if answer.Replayed {
		w.Header().Set(api.HeaderReplayed, "true")
	}
	h.setWriteDeadline(w)
	w.WriteHeader(answer.Status)
	// A failed write means that the client has disconnected; a retry gets the
	// stored response.
	_, _ = w.Write(answer.Body)
}
