package entry

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
)

// Forwarder lets other hosts serve requests.
type Forwarder interface {
	// Forward lets another host answer the request. It returns false if no host has run
	// it, and has then written nothing.
	Forward(w http.ResponseWriter, r *http.Request, id string, body []byte) bool
}

// forward lets another host answer a request that has not run because this one reaches no
// endpoint for it. It returns false if the request has not been answered.
func (h *Handler) forward(w http.ResponseWriter, r *http.Request, id string, body []byte, err error) bool {
	var failed *api.Error
	if h.opts.Forwarder == nil || r.Header.Get(api.HeaderForwardedBy) != "" || !errors.Is(err, dispatch.ErrUnreachable) {
		return false
	}
	if !errors.As(err, &failed) || failed.Outcome != api.OutcomeNotRun {
		return false
	}
	return h.opts.Forwarder.Forward(w, r, id, body)
}
