package entry

import (
	"encoding/json"
	"net/http"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
)

func (h *Handler) service(w http.ResponseWriter, r *http.Request) {
	team, id, body, err := h.begin(w, r)
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	if !json.Valid(body) {
		h.writeFailure(w, id, refuse(http.StatusBadRequest, api.CodeMalformed, "the body is not JSON"))
		return
	}
	answer, err := h.opts.Dispatcher.Service(r.Context(), dispatch.ServiceRequest{
		ID: id, Team: team, Rank: r.Header.Get(api.HeaderRank),
		Key:     r.Header.Get(api.HeaderIdempotencyKey),
		Service: r.PathValue("service"), Operation: r.PathValue("operation"),
		Body: body,
	})
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", answer.ContentType)
	if answer.Replayed {
		w.Header().Set(api.HeaderReplayed, "true")
	}
	h.boundWrite(w)
	w.WriteHeader(answer.Status)
	// A failed write means the client is gone; a repeat gets the stored answer.
	_, _ = w.Write(answer.Body)
}
