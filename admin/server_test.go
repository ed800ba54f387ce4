package admin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/resource"
)

const operatorKey = "operator-key"

// fakeBackend counts the calls that the handler passes on.
type fakeBackend struct {
	snap  *resource.Snapshot
	calls int
	err   error
}

func (b *fakeBackend) Current() *resource.Snapshot { return b.snap }

func (b *fakeBackend) Apply(context.Context, ApplyRequest) (int64, error) {
	b.calls++
	return b.snap.Revision + 1, b.err
}

func (b *fakeBackend) Changed(int64) <-chan struct{} { return nil }
func (b *fakeBackend) Status() StatusResponse        { b.calls++; return StatusResponse{} }

func (b *fakeBackend) History(context.Context) ([]HistoryEntry, error) {
	b.calls++
	return nil, b.err
}

func (b *fakeBackend) Bill(context.Context, time.Time, time.Time, []string) (BillResponse, error) {
	b.calls++
	return BillResponse{}, b.err
}

func (b *fakeBackend) Explain(context.Context, string) (Explanation, bool) { return nil, false }

func newTestHandler(tb testing.TB, err error) (*Handler, *fakeBackend) {
	tb.Helper()
	snap, snapErr := resource.NewSnapshot(1, nil)
	if snapErr != nil {
		tb.Fatal(snapErr)
	}
	b := &fakeBackend{snap: snap, err: err}
	sum := sha256.Sum256([]byte(operatorKey))
	return NewHandler(b, []string{hex.EncodeToString(sum[:])}, slog.New(slog.DiscardHandler)), b
}

// Guards against rejected calls with a wrong status, code or outcome, and against
// an invalid call that reaches the backend.
func TestRejectedCallsHaveExactErrors(t *testing.T) {
	const apply = "POST /admin/v1/apply"
	cases := map[string]struct {
		call, key, body string
		err             error
		status          int
		code            string
		outcome         api.Outcome
		calls           int
	}{
		"no key":          {apply, "", `{}`, nil, 401, api.CodeUnauthorized, api.OutcomeNotRun, 0},
		"wrong key":       {"GET /admin/v1/status", "wrong", "", nil, 401, api.CodeUnauthorized, api.OutcomeNotRun, 0},
		"wrong key, path": {"GET /admin/v1/x", "wrong", "", nil, 401, api.CodeUnauthorized, api.OutcomeNotRun, 0},
		"unknown path":    {"GET /admin/v1/x", operatorKey, "", nil, 404, api.CodeUnknownPath, api.OutcomeNotRun, 0},
		"malformed":       {apply, operatorKey, `{"set":`, nil, 400, api.CodeMalformed, api.OutcomeNotRun, 0},
		"trailing":        {apply, operatorKey, `{}{}`, nil, 400, api.CodeMalformed, api.OutcomeNotRun, 0},
		"misspelt":        {apply, operatorKey, `{"expect_revison":3}`, nil, 400, api.CodeMalformed, api.OutcomeNotRun, 0},
		"unknown kind":    {apply, operatorKey, `{"set":[{"kind":"X","name":"x"}]}`, nil, 400, api.CodeInvalidResource, api.OutcomeNotRun, 0},
		"oversized":       {apply, operatorKey, strings.Repeat(" ", maxBodyBytes+1), nil, 413, api.CodeTooLarge, api.OutcomeNotRun, 0},
		"bad dry run":     {apply, operatorKey, `{"dry_run":true,"set":[{"kind":"Version","name":"v","spec":{"model":"none"}}]}`, nil, 400, api.CodeInvalidResource, api.OutcomeNotRun, 0},
		"bad time":        {"GET /admin/v1/bill?from=noon", operatorKey, "", nil, 400, api.CodeInvalidResource, api.OutcomeNotRun, 0},
		"endless period":  {"GET /admin/v1/bill?from=0001-01-01T00:00:00Z", operatorKey, "", nil, 400, api.CodeInvalidResource, api.OutcomeNotRun, 0},
		"unknown request": {"GET /admin/v1/explain/x", operatorKey, "", nil, 404, api.CodeUnknownRequest, api.OutcomeNotRun, 0},
		"conflict":        {apply, operatorKey, `{}`, &ConflictError{Revision: 4}, 409, api.CodeConflict, api.OutcomeNotRun, 1},
		"unavailable":     {apply, operatorKey, `{}`, errors.Wrap(ErrUnavailable, "x"), 503, api.CodeUnavailable, api.OutcomeNotRun, 1},
		"invalid":         {apply, operatorKey, `{}`, errors.Wrap(resource.ErrInvalid, "x"), 400, api.CodeInvalidResource, api.OutcomeNotRun, 1},
		"lost":            {apply, operatorKey, `{}`, errors.New("lost"), 500, api.CodeEndpointFailed, api.OutcomeUnknown, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h, b := newTestHandler(t, c.err)
			server := httptest.NewServer(h)
			defer server.Close()
			method, path, _ := strings.Cut(c.call, " ")
			req, err := http.NewRequest(method, server.URL+path, strings.NewReader(c.body))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+c.key)
			resp, err := http.DefaultClient.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			var body api.ErrorBody
			data, _ := io.ReadAll(resp.Body)
			if err := json.Unmarshal(data, &body); err != nil || body.Error == nil {
				t.Fatalf("status %d, body %q: %v", resp.StatusCode, data, err)
			}
			if resp.StatusCode != c.status || body.Error.Code != c.code || body.Error.Outcome != c.outcome ||
				resp.Header.Get(api.HeaderOutcome) != string(c.outcome) {
				t.Errorf("got status %d, %v", resp.StatusCode, body.Error)
			}
			if b.calls != c.calls {
				t.Errorf("got %d calls of the backend, want %d", b.calls, c.calls)
			}
		})
	}
}

// Guards against a conflict that the client does not recognise, which would hide
// the differences from the operator.
func TestClientReturnsConflictError(t *testing.T) {
	h, _ := newTestHandler(t, &ConflictError{Revision: 4, Differences: []Difference{{Name: "small-1"}}})
	server := httptest.NewServer(h)
	defer server.Close()
	_, err := NewClient(server.URL, operatorKey, nil).Apply(context.Background(), ApplyRequest{})
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Revision != 4 || len(conflict.Differences) != 1 {
		t.Errorf("got %v, want a conflict at revision 4 with one difference", err)
	}
}

// Guards against panics in the parser, and against an accepted change that
// differs after encoding and parsing it once more.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"expect_revision":1,"set":[{"kind":"Model","name":"m","spec":{}}],"author":"a"}`))
	f.Add([]byte(`{"delete":[{"kind":"Rank","name":"urgent"}],"dry_run":true}`))
	f.Add([]byte(`{"set":[{"kind":"Rank","name":"r","spec":{"deadline":"1s"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := parseApply(data)
		if err != nil {
			return
		}
		text, err := json.Marshal(first)
		if err != nil {
			t.Fatalf("accepted change cannot be encoded: %v", err)
		}
		second, err := parseApply(text)
		if err != nil {
			t.Fatalf("second parse of %s: %v", text, err)
		}
		if again, err := json.Marshal(second); err != nil || string(again) != string(text) {
			t.Errorf("second parse differs: %s, %s, %v", text, again, err)
		}
	})
}
