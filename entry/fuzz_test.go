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

// deadlineRecorder is a ResponseRecorder that accepts deadlines.
type deadlineRecorder struct{ *httptest.ResponseRecorder }

func (deadlineRecorder) SetReadDeadline(time.Time) error  { return nil }
func (deadlineRecorder) SetWriteDeadline(time.Time) error { return nil }

// Guards against panics on malformed requests, rejections with a wrong outcome,
// accepted requests without messages, and altered request ids.
func FuzzChat(f *testing.F) {
	f.Add([]byte(validChat), "Bearer "+testKey, "key-1", "urgent", "quote")
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
		if d.requests.Load() == 0 {
			var out api.ErrorBody
			if err := json.Unmarshal(w.Body.Bytes(), &out); err != nil || out.Error == nil || out.Error.Outcome != api.OutcomeNotRun {
				t.Errorf("rejected with status %d and body %q, want an error with outcome not_run", w.Code, w.Body)
			}
			return
		}
		if auth != "Bearer "+testKey || len(body) > testMaxBody || len(d.lastChat.Body.Messages) == 0 || d.lastChat.Body.MaxTokens < 0 {
			t.Errorf("accepted body %q with authorization %q", body, auth)
		}
		if key != "" && (d.lastChat.ID != key || w.Header().Get(api.HeaderRequestID) != key) {
			t.Errorf("key %q: got id %q and header %q", key, d.lastChat.ID, w.Header().Get(api.HeaderRequestID))
		}
		text, err := json.Marshal(d.lastChat.Body)
		var again api.ChatRequest
		if err != nil || parseJSON(text, &again) != nil || len(again.Messages) != len(d.lastChat.Body.Messages) {
			t.Errorf("second parse of %s differs or failed: %v", text, err)
		}
	})
}

// Guards against panics on malformed service calls, and against a body that is
// not JSON or an invalid key reaching a service.
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
		if d.requests.Load() > 0 && (!json.Valid(body) || !validHeaderValue(key)) {
			t.Errorf("accepted body %q with key %q", body, key)
		}
	})
}
