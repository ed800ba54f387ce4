package httpkv

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

// maxBodyBytes is large enough for the largest value in base64 and its key.
const maxBodyBytes = 2 * kv.MaxValueBytes

type server struct{ store kv.KV }

// NewHandler returns a handler that serves store.
func NewHandler(store kv.KV) http.Handler {
	s := &server{store: store}
	mux := http.NewServeMux()
	for op, call := range map[string]func(context.Context, request) (response, error){
		opGet: s.get, opList: s.list, opCompareAndSwap: s.compareAndSwap, opDelete: s.delete,
		opGrantLease: s.grantLease, opKeepAlive: s.keepAlive, opRevokeLease: s.revokeLease,
	} {
		mux.HandleFunc("POST "+pathPrefix+op, unary(call))
	}
	mux.HandleFunc("POST "+pathPrefix+opWatch, s.watch)
	return mux
}

func unary(call func(context.Context, request) (response, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, ok := readRequest(w, r)
		if !ok {
			return
		}
		resp, err := call(r.Context(), req)
		if err != nil {
			writeFailure(w, err)
			return
		}
		writeJSON(w, http.StatusOK, resp)
	}
}

// readRequest decodes the body. If it fails, it replies with an error that reports
// that the call had no effect.
func readRequest(w http.ResponseWriter, r *http.Request) (request, bool) {
	var req request
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req)
	if err == nil {
		return req, true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeFailure(w, kv.ErrTooLarge)
	} else {
		writeFailure(w, kv.ErrUnavailable)
	}
	return req, false
}

func writeFailure(w http.ResponseWriter, err error) {
	f := failureFor(err)
	writeJSON(w, f.status, response{Code: f.code, Message: err.Error()})
}

func writeJSON(w http.ResponseWriter, status int, v response) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // a client that gets a truncated reply treats the outcome as unknown
}

func (s *server) get(ctx context.Context, r request) (response, error) {
	e, err := s.store.Get(ctx, r.Key)
	return response{Entry: &e}, err
}

func (s *server) list(ctx context.Context, r request) (response, error) {
	entries, rev, err := s.store.List(ctx, r.Key)
	return response{Entries: entries, Revision: rev}, err
}

func (s *server) compareAndSwap(ctx context.Context, r request) (response, error) {
	rev, err := s.store.CompareAndSwap(ctx, r.Key, r.Expect, r.Value, r.Lease)
	return response{Revision: rev}, err
}

func (s *server) delete(ctx context.Context, r request) (response, error) {
	return response{}, s.store.Delete(ctx, r.Key, r.Expect)
}

func (s *server) grantLease(ctx context.Context, r request) (response, error) {
	id, err := s.store.GrantLease(ctx, time.Duration(r.TTLMs)*time.Millisecond)
	return response{Lease: id}, err
}

func (s *server) keepAlive(ctx context.Context, r request) (response, error) {
	return response{}, s.store.KeepAlive(ctx, r.Lease)
}

func (s *server) revokeLease(ctx context.Context, r request) (response, error) {
	return response{}, s.store.RevokeLease(ctx, r.Lease)
}

// watch streams events until the client disconnects or the watch of the store ends.
func (s *server) watch(w http.ResponseWriter, r *http.Request) {
	req, ok := readRequest(w, r)
	if !ok {
		return
	}
	events, err := s.store.Watch(r.Context(), req.Key, req.From)
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	enc := json.NewEncoder(w)
	for ev := range events {
		if enc.Encode(ev) != nil || flusher.Flush() != nil {
			return
		}
	}
}
