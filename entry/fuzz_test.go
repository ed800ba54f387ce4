package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/corianderlever/corianderlever/api"
)

// deadlineRecorder is a recorder that takes deadlines as a connection does.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against panics on hostile requests, refusals without a true outcome,
// accepted requests without messages, and ids changed on their way.
func FuzzChat(f *testing.F) {
	f.Add([]byte(goodChat), "Bearer "+testKey, "key-1", "urgent", "quote")
	f.Add([]byte(`{"stream":true,"messages":[{"role":"user","content":"\ud800"}]}`), "Bearer "+testKey, "", "", "")
	f.Add([]byte(`{"messages":null}`), "bearer x", "\xff", "\x00", "a b")
	f.Fuzz(func(t *testing.T, body []byte, auth, key, rank, kind string) {
		d := &fakeDispatcher{}
		h := newTestHandler(t, d)
		r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
		r.Header = http.Header{
			"Authorization": {auth}, api.HeaderIdempotencyKey: {key}, api.HeaderRank: {rank}, api.HeaderKind: {kind},
		}
		w := deadlineRecorder{httptest.NewRecorder()}
		h.ServeHTTP(w, r)
		if d.runs.Load() == 0 {
			var out api.ErrorBody
			if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil || out.Error == nil || out.Error.Outcome != api.OutcomeNotRun {
				t.Errorf("refused with status %d and %q", w.Code, w.Body)
			}
			return
		}
		if auth != "Bearer "+testKey || len(body) > testMaxBody || len(d.last.Body.Messages) == 0 || d.last.Body.MaxTokens < 0 {
			t.Errorf("accepted %q with %q", body, auth)
		}
		if key != "" && (d.last.ID != key || w.Header().Get(api.HeaderRequestID) != key) {
			t.Errorf("key %q became %q and %q", key, d.last.ID, w.Header().Get(api.HeaderRequestID))
		}
		text, err := json.Marshal(d.last.Body)
		var again api.ChatRequest
		if err != nil || parse(text, &again) != nil || len(again.Messages) != len(d.last.Body.Messages) {
			t.Errorf("second parse of %s differs, %v", text, err)
		}
	})
}

// Guards against panics on hostile calls of services, and against bodies that
// are not JSON reaching a service.
func FuzzService(f *testing.F) {
	f.Add([]byte(`{"rim":4}`), "booking", "book", "key-1")
	f.Add([]byte(`{`), "..", "%2e", "")
	f.Fuzz(func(t *testing.T, body []byte, service, operation, key string) {
		d := &fakeDispatcher{}
		r := httptest.NewRequest(http.MethodPost, "/v1/services/x/y", bytes.NewReader(body))
		r.URL.Path = "/v1/services/" + service + "/" + operation
		r.Header = http.Header{"Authorization": {"Bearer " + testKey}, api.HeaderIdempotencyKey: {key}}
		w := deadlineRecorder{httptest.NewRecorder()}
		newTestHandler(t, d).ServeHTTP(w, r)
		if d.runs.Load() > 0 && (!json.Valid(body) || !validLabel(key)) {
			t.Errorf("accepted body %q, key %q", body, key)
		}
	})
}
