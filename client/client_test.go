package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
)

// host is a fake entry host that records the ids of the requests it received.
type host struct {
	*httptest.Server
	mu  sync.Mutex
	ids []string
}

func newHost(t *testing.T, answer func(w http.ResponseWriter, id string, n int)) *host {
	t.Helper()
	h := &host{}
	h.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(api.HeaderIdempotencyKey)
		h.mu.Lock()
		h.ids = append(h.ids, id)
		n := len(h.ids)
		h.mu.Unlock()
		answer(w, id, n)
	}))
	t.Cleanup(h.Close)
	return h
}

func (h *host) addr() string { return h.Listener.Addr().String() }

func response(id, text string) api.ChatResponse {
	d := api.NewDigest(id)
	d.Add(text)
	return api.ChatResponse{
		ID: id, Choices: []api.Choice{{Message: &api.Message{Content: text}}},
		Receipt: &api.Receipt{RequestID: id, Digest: d.Sum()},
	}
}

func writeJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func chat(c *Client, id string) (api.ChatResponse, error) {
	return c.Chat(context.Background(), Request{ID: id}, api.ChatRequest{Model: "m"})
}

// Guards against a retry of a request that has run, against a retry with another
// id, and against a rejection whose outcome does not reach the caller.
func TestRetriesOnlyWhenSafe(t *testing.T) {
	for _, c := range []struct {
		code     string
		outcome  api.Outcome
		requests int
	}{
		{api.CodeOverloaded, api.OutcomeNotRun, 3},
		{api.CodeEndpointFailed, api.OutcomeUnknown, 3},
		{api.CodeEndpointFailed, api.OutcomeRun, 1},
		{api.CodeUnavailable, api.OutcomeRun, 1},
		{api.CodeForbidden, api.OutcomeNotRun, 1},
		{api.CodeCrashesEndpoints, api.OutcomeNotRun, 1},
		{api.CodeAlreadyRun, api.OutcomeUnknown, 1},
	} {
		h := newHost(t, func(w http.ResponseWriter, _ string, _ int) {
			api.WriteError(w, &api.Error{Status: 503, Code: c.code, Outcome: c.outcome, RetryAfterMS: 1})
		})
		_, err := chat(New(Options{Seeds: []string{h.addr()}, SeedsOnly: true, Attempts: 3}), "id-1")
		var refused *api.Error
		if !errors.As(err, &refused) || refused.Outcome != c.outcome || refused.Code != c.code {
			t.Errorf("%s %s: got error %v", c.code, c.outcome, err)
		}
		if len(h.ids) != c.requests || strings.Join(h.ids, "") != strings.Repeat("id-1", c.requests) {
			t.Errorf("%s %s: got requests %v", c.code, c.outcome, h.ids)
		}
	}
}

// Guards against returning an answer that is truncated, altered, without a
// receipt or to another request, streamed or not.
func TestInvalidAnswersAreRejected(t *testing.T) {
	cases := map[string]struct {
		change func(*api.ChatResponse)
		want   error
	}{
		"digest":     {func(r *api.ChatResponse) { r.Receipt.Digest = "00" }, ErrIncomplete},
		"text":       {func(r *api.ChatResponse) { r.Choices[0].Message.Content += "x" }, ErrIncomplete},
		"no receipt": {func(r *api.ChatResponse) { r.Receipt = nil }, ErrIncomplete},
		"no choice":  {func(r *api.ChatResponse) { r.Choices = nil }, ErrIncomplete},
		"other id":   {func(r *api.ChatResponse) { *r = response("other", "text") }, ErrWrongRequest},
	}
	for name, c := range cases {
		for _, streamed := range []bool{false, true} {
			h := newHost(t, func(w http.ResponseWriter, id string, _ int) {
				r := response(id, "text")
				c.change(&r)
				if !streamed {
					writeJSON(w, r)
					return
				}
				for i := range r.Choices {
					r.Choices[i].Delta, r.Choices[i].Message = r.Choices[i].Message, nil
				}
				receipt := r.Receipt
				r.Receipt = nil
				writeEvent(w, r)
				if receipt != nil {
					writeEvent(w, api.ChatResponse{ID: r.ID, Receipt: receipt})
				}
			})
			cl := New(Options{Seeds: []string{h.addr()}, SeedsOnly: true, Attempts: 1})
			var err error
			if streamed {
				_, err = cl.Stream(context.Background(), Request{ID: "id-1"}, api.ChatRequest{}, func(string) error { return nil })
			} else {
				_, err = chat(cl, "id-1")
			}
			if !errors.Is(err, c.want) {
				t.Errorf("%s, streamed %t: got error %v", name, streamed, err)
			}
		}
	}
}

func writeEvent(w http.ResponseWriter, r api.ChatResponse) {
	data, err := json.Marshal(r)
	if err == nil {
		_, _ = w.Write([]byte("data: " + string(data) + "\n\n"))
	}
}

// Guards against a client that keeps using an address that fails, is unavailable
// or truncates its answers, although the entry list has another address.
func TestSwitchesAwayFromFailedAddress(t *testing.T) {
	failures := map[string]func(w http.ResponseWriter){
		"unavailable": func(w http.ResponseWriter) {
			api.WriteError(w, &api.Error{Status: 503, Code: api.CodeUnavailable, Outcome: api.OutcomeNotRun})
		},
		"cut answer":  func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"id":`)) },
		"aborted":     func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"other error": func(w http.ResponseWriter) { w.WriteHeader(http.StatusBadGateway) },
	}
	for name, fail := range failures {
		var bad, good *host
		list := func(w http.ResponseWriter, id string) bool {
			if id == "" {
				writeJSON(w, api.EntriesResponse{TTLMS: 60000, Entries: []api.EntryAddress{
					{Address: bad.addr(), Weight: 1e9}, {Address: good.addr(), Weight: 1e-9},
				}})
			}
			return id == ""
		}
		bad = newHost(t, func(w http.ResponseWriter, id string, _ int) {
			if !list(w, id) {
				fail(w)
			}
		})
		good = newHost(t, func(w http.ResponseWriter, id string, _ int) {
			if !list(w, id) {
				writeJSON(w, response(id, "text"))
			}
		})
		cl := New(Options{Seeds: []string{bad.addr()}, Attempts: 2})
		if _, err := chat(cl, "id-1"); err != nil {
			t.Errorf("%s: got error %v", name, err)
		}
	}
}

// Guards against losing the body of an error reply of a plain service because
// the client takes it for an error of the entry host.
func TestServiceErrorReplyKeepsBody(t *testing.T) {
	const body = `{"error":{"code":"no_such_rim"}}`
	h := newHost(t, func(w http.ResponseWriter, id string, _ int) {
		w.Header().Set(api.HeaderRequestID, id)
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(body))
	})
	cl := New(Options{Seeds: []string{h.addr()}, SeedsOnly: true})
	reply, err := cl.Call(context.Background(), Request{ID: "id-1"}, "booking", "lookup", struct{}{})
	if err != nil || reply.Status != http.StatusNotFound || string(reply.Body) != body {
		t.Errorf("got reply %d %q, error %v", reply.Status, reply.Body, err)
	}
}
