package admin

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource"
)

// ErrUnavailable reports that a change cannot be accepted now. It had no effect.
var ErrUnavailable = errors.New("admin: configuration store unavailable")

// ConflictError reports that another operator changed the configuration first.
type ConflictError struct {
	// Revision is the revision in force.
	Revision int64
	// Differences are the changes from the expected revision to the one in force.
	Differences []Difference
}

// Error implements error.
func (e *ConflictError) Error() string {
	return "admin: the configuration has changed since the expected revision"
}

// Backend provides the host's state and operations to the handler.
type Backend interface {
	// Current returns the configuration in force.
	Current() *resource.Snapshot
	// Apply changes the configuration. It returns a *ConflictError, an error
	// that wraps resource.ErrInvalid, or one that wraps ErrUnavailable.
	Apply(ctx context.Context, req ApplyRequest) (int64, error)
	// Changed returns a channel that is closed when a newer revision than the
	// given one is in force.
	Changed(revision int64) <-chan struct{}
	// Status returns the hosts and their revisions.
	Status() StatusResponse
	// History returns accepted changes, newest first.
	History(ctx context.Context) ([]HistoryEntry, error)
	// Bill returns the costs of a period, summed by the named columns. It returns
	// an error that wraps resource.ErrInvalid for invalid arguments.
	Bill(ctx context.Context, from, to time.Time, by []string) (BillResponse, error)
	// Explain returns the decisions of this host about a request, if it has them.
	Explain(ctx context.Context, request string) (Explanation, bool)
}

const (
	// maxBodyBytes bounds an apply request.
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the time a client may take to send a request body.
	bodyTimeout = 30 * time.Second
	// maxBillPeriod bounds the period of a bill, because each day requires a call
	// to the key-value service.
	maxBillPeriod = 400 * 24 * time.Hour
)

// Handler serves requests of operators over HTTP.
type Handler struct {
	backend   Backend
	keyHashes []string
	logger    *slog.Logger
	mux       *http.ServeMux
}

// NewHandler returns a handler that accepts the bearer keys with the given
// hex SHA-256 hashes.
func NewHandler(backend Backend, keyHashes []string, logger *slog.Logger) *Handler {
	h := &Handler{backend: backend, keyHashes: keyHashes, logger: logger, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /admin/v1/resources", h.list)
	h.mux.HandleFunc("POST /admin/v1/apply", h.apply)
	h.mux.HandleFunc("GET /admin/v1/watch", h.watch)
	h.mux.HandleFunc("GET /admin/v1/status", h.status)
	h.mux.HandleFunc("GET /admin/v1/history", h.history)
	h.mux.HandleFunc("GET /admin/v1/bill", h.bill)
	h.mux.HandleFunc("GET /admin/v1/explain/{id}", h.explain)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		reject(w, http.StatusNotFound, api.CodeUnknownPath, "unknown method or path: "+r.Method+" "+r.URL.Path)
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		// Set the deadline before any rejection, because net/http reads the rest of
		// a body before it sends an error response.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	if !h.authorized(r) {
		reject(w, http.StatusUnauthorized, api.CodeUnauthorized, "unknown operator key")
		return
	}
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) authorized(r *http.Request) bool {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	found := 0
	for _, known := range h.keyHashes {
		found |= subtle.ConstantTimeCompare([]byte(known), hash)
	}
	return ok && found == 1
}

// reject sends an error for a request that had no effect.
func reject(w http.ResponseWriter, status int, code, message string) {
	api.WriteError(w, &api.Error{Status: status, Code: code, Message: message, Outcome: api.OutcomeNotRun})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

func (h *Handler) list(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, selectResources(h.backend.Current(), r))
}

func selectResources(snap *resource.Snapshot, r *http.Request) ListResponse {
	kind, name := r.URL.Query().Get("kind"), r.URL.Query().Get("name")
	out := ListResponse{Revision: snap.Revision, Resources: []resource.Resource{}}
	for _, res := range snap.Resources() {
		if (kind == "" || strings.EqualFold(string(res.Kind), kind)) && (name == "" || res.Name == name) {
			out.Resources = append(out.Resources, res)
		}
	}
	return out
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	req, apiErr := readApply(w, r)
	if apiErr != nil {
		api.WriteError(w, apiErr)
		return
	}
	snap := h.backend.Current()
	merged := Merge(snap.Resources(), req.Set, req.Delete)
	diffs := Compare(snap.Resources(), merged)
	if req.DryRun {
		if _, err := resource.NewSnapshot(snap.Revision, merged); err != nil {
			reject(w, http.StatusBadRequest, api.CodeInvalidResource, err.Error())
			return
		}
		writeJSON(w, http.StatusOK, ApplyResponse{Revision: snap.Revision, Differences: diffs})
		return
	}
	revision, err := h.backend.Apply(r.Context(), req)
	if err != nil {
		h.applyFailure(w, err)
		return
	}
	h.logger.InfoContext(r.Context(), "configuration accepted", "revision", revision, "author", req.Author, "changes", len(diffs))
	writeJSON(w, http.StatusOK, ApplyResponse{Revision: revision, Differences: diffs})
}

// readApply reads an apply request. It rejects unknown fields, because a
// misspelt expect_revision would disable the check for conflicts.
func readApply(w http.ResponseWriter, r *http.Request) (ApplyRequest, *api.Error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	out := &api.Error{Status: http.StatusBadRequest, Code: api.CodeMalformed, Outcome: api.OutcomeNotRun}
	var tooLarge *http.MaxBytesError
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &tooLarge):
		out.Status, out.Code = http.StatusRequestEntityTooLarge, api.CodeTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		out.Status, out.Code = http.StatusRequestTimeout, api.CodeSlowClient
	}
	var req ApplyRequest
	if err == nil {
		req, err = parseApply(data)
	}
	if err == nil {
		return req, nil
	}
	if errors.Is(err, resource.ErrInvalid) {
		out.Code = api.CodeInvalidResource
	}
	out.Message = err.Error()
	return req, out
}

func parseApply(data []byte) (ApplyRequest, error) {
	var req ApplyRequest
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&req); err != nil {
		return req, errors.Wrap(err, "admin: decode change")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return req, errors.New("admin: data after the change")
	}
	return req, nil
}

func (h *Handler) applyFailure(w http.ResponseWriter, err error) {
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		w.Header().Set(api.HeaderOutcome, string(api.OutcomeNotRun))
		writeJSON(w, http.StatusConflict, Conflict{
			Error:   &api.Error{Code: api.CodeConflict, Message: conflict.Error(), Outcome: api.OutcomeNotRun},
			Message: conflict.Error(), Revision: conflict.Revision, Differences: conflict.Differences,
		})
	case errors.Is(err, resource.ErrInvalid):
		reject(w, http.StatusBadRequest, api.CodeInvalidResource, err.Error())
	case errors.Is(err, ErrUnavailable):
		reject(w, http.StatusServiceUnavailable, api.CodeUnavailable, err.Error())
	default:
		api.WriteError(w, &api.Error{Status: http.StatusInternalServerError, Code: api.CodeEndpointFailed, Message: err.Error(), Outcome: api.OutcomeUnknown})
	}
}

// watch sends a ListResponse as one line of JSON for the revision in force and
// for each newer one.
func (h *Handler) watch(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	for {
		snap := h.backend.Current()
		if err := enc.Encode(selectResources(snap, r)); err != nil {
			return
		}
		if err := rc.Flush(); err != nil {
			return
		}
		select {
		case <-h.backend.Changed(snap.Revision):
		case <-r.Context().Done():
			return
		}
	}
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Status())
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request) {
	list, err := h.backend.History(r.Context())
	if err != nil {
		reject(w, http.StatusServiceUnavailable, api.CodeUnavailable, err.Error())
		return
	}
	writeJSON(w, http.StatusOK, list)
}

func (h *Handler) bill(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := parseTime(q.Get("from"), time.Now().UTC().AddDate(0, 0, -1))
	if err == nil {
		var to time.Time
		to, err = parseTime(q.Get("to"), time.Now().UTC().Add(time.Minute))
		if err == nil && (to.Before(from) || to.Sub(from) > maxBillPeriod) {
			err = errors.Newf("admin: the period must be positive and at most %v", maxBillPeriod)
		}
		if err == nil {
			h.writeBill(w, r, from, to)
			return
		}
	}
	reject(w, http.StatusBadRequest, api.CodeInvalidResource, err.Error())
}

func (h *Handler) writeBill(w http.ResponseWriter, r *http.Request, from, to time.Time) {
	var by []string
	if text := r.URL.Query().Get("by"); text != "" {
		by = strings.Split(text, ",")
	}
	bill, err := h.backend.Bill(r.Context(), from, to, by)
	switch {
	case errors.Is(err, resource.ErrInvalid):
		reject(w, http.StatusBadRequest, api.CodeInvalidResource, err.Error())
	case err != nil:
		reject(w, http.StatusServiceUnavailable, api.CodeUnavailable, err.Error())
	default:
		writeJSON(w, http.StatusOK, bill)
	}
}

func parseTime(text string, fallback time.Time) (time.Time, error) {
	if text == "" {
		return fallback, nil
	}
	t, err := time.Parse(time.RFC3339, text)
	return t, errors.Wrap(err, "admin: parse time")
}

func (h *Handler) explain(w http.ResponseWriter, r *http.Request) {
	e, ok := h.backend.Explain(r.Context(), r.PathValue("id"))
	if !ok {
		reject(w, http.StatusNotFound, api.CodeUnknownRequest, "no decisions recorded for this request")
		return
	}
	writeJSON(w, http.StatusOK, e)
}
