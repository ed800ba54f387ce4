// Package entry serves the HTTP interface of an entry host to callers.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

// Dispatcher runs the requests that the handler has validated.
type Dispatcher interface {
	Chat(ctx context.Context, req dispatch.ChatRequest, sink dispatch.Sink) (dispatch.Answer, error)
	Service(ctx context.Context, req dispatch.ServiceRequest) (dispatch.ServiceAnswer, error)
	NewSession(team, model string) (string, session.Pin, error)
}

// Config provides the configuration in force.
type Config interface {
	Current() *resource.Snapshot
}

// Options configure a Handler.
type Options struct {
	Dispatcher Dispatcher
	Config     Config
	// Entries returns the response to GET /v1/entries.
	Entries func() api.EntriesResponse
	// Ready reports whether the host accepts new work.
	Ready func() bool
	// Forwarder lets other hosts serve the requests for which this one reaches no endpoint;
	// nil if there are none.
	Forwarder Forwarder
	// MaxBodyBytes bounds request bodies.
	MaxBodyBytes int64
	// BodyTimeout bounds the time a client may take to send its body.
	BodyTimeout time.Duration
	// WriteTimeout bounds the time a client may take to accept one event.
	WriteTimeout time.Duration
	Logger       *slog.Logger
}

// Handler serves requests of callers over HTTP.
type Handler struct {
	opts Options
	mux  *http.ServeMux
}

// New returns a handler.
func New(opts Options) *Handler {
	h := &Handler{opts: opts, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST /v1/chat/completions", h.chat)
	h.mux.HandleFunc("POST /v1/services/{service}/{operation}", h.service)
	h.mux.HandleFunc("POST /v1/sessions", h.newSession)
	h.mux.HandleFunc("GET /v1/entries", h.entries)
	h.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	h.mux.HandleFunc("GET /readyz", h.readyz)
	h.mux.HandleFunc("/", h.unknownPath)
	return h
}

func (h *Handler) unknownPath(w http.ResponseWriter, r *http.Request) {
	h.writeFailure(w, "", rejection(http.StatusNotFound, api.CodeUnknownPath, "unknown method or path: %s %s", r.Method, r.URL.Path))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// net/http reads the rest of a body before it sends an error response, so
		// the deadline must be set before any request is rejected. An error here
		// occurs again in readBody, which reports it.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	}
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) readyz(w http.ResponseWriter, _ *http.Request) {
	if !h.opts.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (h *Handler) entries(w http.ResponseWriter, _ *http.Request) {
	h.writeJSON(w, h.opts.Entries())
}

// setWriteDeadline bounds the time a client may take to read its response.
// net/http reads the rest of the request body first, which may take BodyTimeout.
func (h *Handler) setWriteDeadline(w http.ResponseWriter) {
	// A writer that does not support deadlines has no connection that could hang.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.opts.BodyTimeout + h.opts.WriteTimeout))
}

func (h *Handler) writeJSON(w http.ResponseWriter, v any) {
	h.setWriteDeadline(w)
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// rejection returns the error for a request that was not run.
func rejection(status int, code, format string, args ...any) *api.Error {
	return &api.Error{Status: status, Code: code, Message: errors.Newf(format, args...).Error(), Outcome: api.OutcomeNotRun}
}

// writeFailure sends an error response. If err is not an *api.Error, it does
// not show whether the request ran, so the outcome is reported as unknown.
func (h *Handler) writeFailure(w http.ResponseWriter, id string, err error) {
	h.setWriteDeadline(w)
	var e *api.Error
	if !errors.As(err, &e) {
		e = &api.Error{Status: http.StatusInternalServerError, Code: api.CodeEndpointFailed, Message: err.Error(), Outcome: api.OutcomeUnknown}
	}
	if id != "" {
		e.RequestID = id
		w.Header().Set(api.HeaderRequestID, id)
	}
	api.WriteError(w, e)
}

// authenticate returns the team of the bearer key.
func (h *Handler) authenticate(r *http.Request) (string, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", rejection(http.StatusUnauthorized, api.CodeUnauthorized, "the Authorization header must hold a bearer key")
	}
	team, ok := h.opts.Config.Current().TeamForKey(key)
	if !ok {
		return "", rejection(http.StatusUnauthorized, api.CodeUnauthorized, "unknown bearer key")
	}
	return team, nil
}

// readRequest authenticates the caller and returns the team, the request id
// and the body. Without an idempotency key it generates an id.
func (h *Handler) readRequest(w http.ResponseWriter, r *http.Request) (team, id string, body []byte, err error) {
	id = r.Header.Get(api.HeaderIdempotencyKey)
	if id == "" {
		id = uuid.NewString()
	}
	if !validHeaderValue(id) {
		return "", "", nil, rejection(http.StatusBadRequest, api.CodeBadIdempotencyKey, "the idempotency key must be at most %d visible ASCII characters", maxHeaderValueBytes)
	}
	for _, name := range []string{api.HeaderRank, api.HeaderKind} {
		if !validHeaderValue(r.Header.Get(name)) {
			return "", id, nil, rejection(http.StatusBadRequest, api.CodeMalformed, "%s must be at most %d visible ASCII characters", name, maxHeaderValueBytes)
		}
	}
	team, err = h.authenticate(r)
	if err != nil {
		return "", id, nil, err
	}
	body, err = h.readBody(w, r)
	return team, id, body, err
}

// maxHeaderValueBytes bounds idempotency keys, ranks and request kinds.
const maxHeaderValueBytes = 128

// validHeaderValue reports whether a value is visible ASCII of at most
// maxHeaderValueBytes. Other bytes would be altered in JSON and logs, and the
// receipt must hold the idempotency key exactly as the caller sent it.
func validHeaderValue(text string) bool {
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return len(text) <= maxHeaderValueBytes
}

func (h *Handler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	rc := http.NewResponseController(w)
	if err := rc.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout)); err != nil {
		return nil, errors.Wrap(err, "entry: set read deadline")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &tooLarge):
		return nil, rejection(http.StatusRequestEntityTooLarge, api.CodeTooLarge, "the body is larger than %d bytes", h.opts.MaxBodyBytes)
	case errors.As(err, &timeout) && timeout.Timeout():
		return nil, rejection(http.StatusRequestTimeout, api.CodeSlowClient, "the body did not arrive within %v", h.opts.BodyTimeout)
	case err != nil:
		return nil, rejection(http.StatusBadRequest, api.CodeMalformed, "the body is incomplete: %v", err)
	}
	// Without this the read deadline would end a connection that waits for its response.
	return body, errors.Wrap(rc.SetReadDeadline(time.Time{}), "entry: clear read deadline")
}

func parseJSON(body []byte, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return rejection(http.StatusBadRequest, api.CodeMalformed, "malformed JSON: %v", err)
	}
	return nil
}

func (h *Handler) newSession(w http.ResponseWriter, r *http.Request) {
	team, id, body, err := h.readRequest(w, r)
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	var req api.SessionRequest
	if err := parseJSON(body, &req); err != nil {
		h.writeFailure(w, id, err)
		return
	}
	token, pin, err := h.opts.Dispatcher.NewSession(team, req.Model)
	if err != nil {
		h.writeFailure(w, id, err)
		return
	}
	h.writeJSON(w, api.SessionResponse{Session: token, Model: pin.Model, Version: pin.Version})
}
