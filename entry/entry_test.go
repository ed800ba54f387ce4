package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/resource"
	"github.com/corianderlever/corianderlever/session"
)

const (
	testKey     = "test-team-key"
	testMaxBody = 4 << 10
	// testTimeout is the body and the write timeout; no assertion depends on
	// its length.
	testTimeout = 100 * time.Millisecond
	// stuckTimeout is the time after which a test reports a request as stuck.
	stuckTimeout = 20 * time.Second
)

// fakeDispatcher counts the requests that the handler passes on.
type fakeDispatcher struct {
	requests atomic.Int64
	chat     func(ctx context.Context, sink dispatch.Sink) (dispatch.Answer, error)
	service  func() (dispatch.ServiceAnswer, error)
	// lastChat is the last chat request, for tests that send one at a time.
	lastChat dispatch.ChatRequest
}

func (d *fakeDispatcher) Chat(ctx context.Context, req dispatch.ChatRequest, sink dispatch.Sink) (dispatch.Answer, error) {
	d.requests.Add(1)
	d.lastChat = req
	if d.chat != nil {
		return d.chat(ctx, sink)
	}
	return dispatch.Answer{Text: "ok", Receipt: api.Receipt{RequestID: req.ID}}, sink("ok")
}

func (d *fakeDispatcher) Service(context.Context, dispatch.ServiceRequest) (dispatch.ServiceAnswer, error) {
	d.requests.Add(1)
	if d.service != nil {
		return d.service()
	}
	return dispatch.ServiceAnswer{Status: http.StatusOK, ContentType: "application/json", Body: []byte("{}")}, nil
}

func (d *fakeDispatcher) NewSession(team, model string) (string, session.Pin, error) {
	d.requests.Add(1)
	return "token", session.New(team, model, "v"), nil
}

type fixedConfig struct{ snap *resource.Snapshot }

func (c fixedConfig) Current() *resource.Snapshot { return c.snap }

func newTestHandler(tb testing.TB, d Dispatcher) *Handler {
	tb.Helper()
	sum := sha256.Sum256([]byte(testKey))
	snap, err := resource.NewSnapshot(1, []resource.Resource{{
		Kind: resource.KindTeam, Name: "team", Spec: &resource.Team{KeyHashes: []string{hex.EncodeToString(sum[:])}, Weight: 1},
	}})
	if err != nil {
		tb.Fatal(err)
	}
	return New(Options{
		Dispatcher: d, Config: fixedConfig{snap}, Ready: func() bool { return true },
		Entries:      func() api.EntriesResponse { return api.EntriesResponse{} },
		MaxBodyBytes: testMaxBody, BodyTimeout: testTimeout, WriteTimeout: testTimeout,
		Logger: slog.New(slog.DiscardHandler),
	})
}

const validChat = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`

func post(t *testing.T, url, body string, headers map[string]string) (*http.Response, api.ErrorBody) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), stuckTimeout)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	var out api.ErrorBody
	if resp.StatusCode >= http.StatusBadRequest {
		if err := json.Unmarshal(data, &out); err != nil || out.Error == nil {
			t.Fatalf("status %d with body %q: %v", resp.StatusCode, data, err)
		}
	}
	return resp, out
}

// Guards against rejections with a wrong code, status or outcome, and against a
// rejected request that reaches the dispatcher, which would run and bill it.
func TestInvalidRequestsAreRejectedBeforeDispatch(t *testing.T) {
	chat, booking, sessions := "/v1/chat/completions", "/v1/services/booking/book", "/v1/sessions"
	long := strings.Repeat("k", maxHeaderValueBytes+1)
	cases := map[string]struct {
		path, body string
		headers    map[string]string
		status     int
		code       string
	}{
		"wrong key":          {chat, validChat, map[string]string{"Authorization": "Bearer wrong"}, 401, api.CodeUnauthorized},
		"empty key":          {chat, validChat, map[string]string{"Authorization": "Bearer "}, 401, api.CodeUnauthorized},
		"no key":             {sessions, `{}`, map[string]string{"Authorization": ""}, 401, api.CodeUnauthorized},
		"other scheme":       {booking, `{}`, map[string]string{"Authorization": "Basic " + testKey}, 401, api.CodeUnauthorized},
		"oversized":          {chat, strings.Repeat(" ", testMaxBody) + validChat, nil, 413, api.CodeTooLarge},
		"oversized call":     {booking, strings.Repeat(" ", testMaxBody) + `{}`, nil, 413, api.CodeTooLarge},
		"malformed":          {chat, `{"model":`, nil, 400, api.CodeMalformed},
		"trailing":           {chat, validChat + "{", nil, 400, api.CodeMalformed},
		"malformed call":     {booking, `{`, nil, 400, api.CodeMalformed},
		"empty call":         {booking, ``, nil, 400, api.CodeMalformed},
		"malformed session":  {sessions, `[]`, nil, 400, api.CodeMalformed},
		"no messages":        {chat, `{"model":"m","messages":[]}`, nil, 400, api.CodeMalformed},
		"null":               {chat, `null`, nil, 400, api.CodeMalformed},
		"negative maximum":   {chat, `{"messages":[{"role":"user"}],"max_tokens":-1}`, nil, 400, api.CodeMalformed},
		"long key":           {chat, validChat, map[string]string{api.HeaderIdempotencyKey: long}, 400, api.CodeBadIdempotencyKey},
		"long key of a call": {booking, `{}`, map[string]string{api.HeaderIdempotencyKey: long}, 400, api.CodeBadIdempotencyKey},
		// JSON encoding would change this key, so the receipt would name another request.
		"key not ASCII": {chat, validChat, map[string]string{api.HeaderIdempotencyKey: "k\xff"}, 400, api.CodeBadIdempotencyKey},
		// The detector keeps kinds in memory, so their length must be bounded.
		"long kind":    {chat, validChat, map[string]string{api.HeaderKind: long}, 400, api.CodeMalformed},
		"unknown path": {"/v1/nothing", `{}`, nil, 404, api.CodeUnknownPath},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			d := &fakeDispatcher{}
			server := httptest.NewServer(newTestHandler(t, d))
			defer server.Close()
			resp, body := post(t, server.URL+c.path, c.body, c.headers)
			if resp.StatusCode != c.status || body.Error.Code != c.code || body.Error.Outcome != api.OutcomeNotRun {
				t.Errorf("got status %d, %v", resp.StatusCode, body.Error)
			}
			if resp.Header.Get(api.HeaderOutcome) != string(api.OutcomeNotRun) {
				t.Errorf("outcome header %q, want not_run", resp.Header.Get(api.HeaderOutcome))
			}
			if n := d.requests.Load(); n != 0 {
				t.Errorf("%d rejected requests reached the dispatcher", n)
			}
		})
	}
}

// sendPartialBody sends the header and the start of a body, and returns the
// response.
func sendPartialBody(t *testing.T, addr, key string) *http.Response {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(stuckTimeout)); err != nil {
		t.Fatal(err)
	}
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + key +
		"\r\nContent-Length: " + strconv.Itoa(len(validChat)) + "\r\n\r\n" + validChat[:5]
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no response to a request with an unfinished body: %v", err)
	}
	return resp
}

// Guards against clients that hold connections open with bodies they never
// finish, with and without a valid key.
func TestUnfinishedBodyIsRejected(t *testing.T) {
	d := &fakeDispatcher{}
	server := httptest.NewServer(newTestHandler(t, d))
	defer server.Close()
	for key, want := range map[string]int{testKey: http.StatusRequestTimeout, "wrong": http.StatusUnauthorized} {
		resp := sendPartialBody(t, server.Listener.Addr().String(), key)
		var body api.ErrorBody
		err := json.NewDecoder(resp.Body).Decode(&body)
		if err != nil || resp.StatusCode != want || body.Error.Outcome != api.OutcomeNotRun {
			t.Errorf("key %s: got status %d, body %v, error %v", key, resp.StatusCode, body.Error, err)
		}
	}
	if d.requests.Load() != 0 {
		t.Error("an unfinished body reached the dispatcher")
	}
}

// Guards against a client that stops reading and so blocks its request forever.
// The write must fail and the handler return, for a stream and for a response
// that is sent at once.
func TestWriteToStalledClientTimesOut(t *testing.T) {
	largeBody := strings.Repeat("x", 32<<20) // more than the socket buffers hold
	returned := make(chan error, 2)
	d := &fakeDispatcher{
		chat: func(_ context.Context, sink dispatch.Sink) (dispatch.Answer, error) {
			err := sink(largeBody)
			returned <- err
			return dispatch.Answer{}, err
		},
		service: func() (dispatch.ServiceAnswer, error) {
			return dispatch.ServiceAnswer{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(largeBody)}, nil
		},
	}
	handler := newTestHandler(t, d)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(w, r)
		if strings.Contains(r.URL.Path, "services") {
			returned <- errors.New("service handler returned")
		}
	}))
	defer server.Close()
	stream := `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	for path, body := range map[string]string{"/v1/chat/completions": stream, "/v1/services/booking/lookup": `{}`} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		head := "POST " + path + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey +
			"\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
		if _, err := io.WriteString(conn, head); err != nil {
			t.Fatal(err)
		}
		select {
		case err := <-returned:
			if err == nil {
				t.Errorf("%s: the write to a client that does not read succeeded, want an error", path)
			}
		case <-time.After(stuckTimeout):
			t.Fatalf("%s: a client that does not read blocks its request", path)
		}
	}
}

// Guards against a dispatcher's error that is reported with a wrong outcome. An
// error that is not an *api.Error must be reported as unknown.
func TestErrorOutcomeIsPreserved(t *testing.T) {
	for _, c := range []struct {
		err     error
		status  int
		outcome api.Outcome
	}{
		{errors.New("broken"), 500, api.OutcomeUnknown},
		{&api.Error{Status: 502, Code: api.CodeEndpointFailed, Outcome: api.OutcomeRun}, 502, api.OutcomeRun},
		{errors.Wrap(&api.Error{Status: 503, Code: api.CodeOverloaded, Outcome: api.OutcomeNotRun}, "x"), 503, api.OutcomeNotRun},
	} {
		d := &fakeDispatcher{chat: func(context.Context, dispatch.Sink) (dispatch.Answer, error) { return dispatch.Answer{}, c.err }}
		server := httptest.NewServer(newTestHandler(t, d))
		resp, body := post(t, server.URL+"/v1/chat/completions", validChat, map[string]string{api.HeaderIdempotencyKey: "key-1"})
		if resp.StatusCode != c.status || body.Error.Outcome != c.outcome || body.Error.RequestID != "key-1" {
			t.Errorf("%v: got status %d, %v", c.err, resp.StatusCode, body.Error)
		}
		server.Close()
	}
}
