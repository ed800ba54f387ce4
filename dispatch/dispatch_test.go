package dispatch_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/engine/fakeengine"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// wantError fails the test unless err is an API error with the code and outcome.
func wantError(t *testing.T, err error, code string, outcome api.Outcome) {
	t.Helper()
	var apiErr *api.Error
	if !errors.As(err, &apiErr) || apiErr.Code != code || apiErr.Outcome != outcome {
		t.Errorf("error %v, want code %s with outcome %s", err, code, outcome)
	}
}

// TestChatEndToEnd guards against a broken path from the client through the entry to
// an engine, and against a billed cost that differs from the receipts.
func TestChatEndToEnd(t *testing.T) {
	r := newRig(t, 2)
	ctx := context.Background()
	complete, err := r.client.Chat(ctx, client.Request{}, chat("small", "draft a letter"))
	if err != nil {
		t.Fatal(err)
	}
	if complete.Receipt.Version != "small-2" || complete.Receipt.Cost <= 0 {
		t.Errorf("receipt %+v, want the newest version and a cost", complete.Receipt)
	}
	var text strings.Builder
	streamed, err := r.client.Stream(ctx, client.Request{}, chat("small", "draft a letter"), func(s string) error {
		text.WriteString(s)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if text.String() != complete.Choices[0].Message.Content {
		t.Errorf("streamed %q, want the complete answer %q", text.String(), complete.Choices[0].Message.Content)
	}
	if got, want := r.bill().Cost, complete.Receipt.Cost+streamed.Receipt.Cost; got-want > 1e-9 || want-got > 1e-9 {
		t.Errorf("billed %v, want the total of the receipts %v", got, want)
	}
}

// TestRetryIsBilledOnce guards against a request that is billed again for each retry
// by its caller.
func TestRetryIsBilledOnce(t *testing.T) {
	r := newRig(t, 2)
	id := uuid.Must(uuid.NewV7()).String()
	for range 3 {
		if _, err := r.client.Chat(context.Background(), client.Request{ID: id}, chat("small", "x")); err != nil {
			t.Fatal(err)
		}
	}
	if got := r.bill(); got.Requests != 1 {
		t.Errorf("billed %d times, want once", got.Requests)
	}
	// The key of another request must not make this one free.
	if _, err := r.client.Chat(context.Background(), client.Request{ID: id}, chat("small", "y")); err != nil {
		t.Fatal(err)
	}
	if got := r.bill(); got.Requests != 2 {
		t.Errorf("two contents under one key were billed as %d requests, want 2", got.Requests)
	}
}

// TestCascadeEscalatesPoorAnswers guards against a cascade that never escalates,
// that always escalates because no rating arrives in time, or that returns the poor
// answer after an escalation.
func TestCascadeEscalatesPoorAnswers(t *testing.T) {
	r := newRig(t, 2)
	var mu sync.Mutex
	poor := 0
	answeredBy := make(map[string]int)
	var group errgroup.Group
	group.SetLimit(8)
	for i := range 40 {
		group.Go(func() error {
			resp, err := r.client.Chat(context.Background(), client.Request{Kind: "letter"}, chat("letters", fmt.Sprint("letter ", i)))
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if strings.HasPrefix(resp.Choices[0].Message.Content, "Poor:") {
				poor++
			}
			answeredBy[resp.Receipt.Version]++
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	// Three quarters of the cheap answers pass and need no escalation. At least 20
	// of 40 pass with a probability of over 0.99.
	if answeredBy["small-2"] < 20 {
		t.Errorf("answered by %v, want most by the cheap version", answeredBy)
	}
	// The declared quality target is 0.9; 40 answers at 0.9 have at most 9 poor
	// ones with a probability of over 0.99.
	if poor > 9 {
		t.Errorf("%d of 40 answers are poor, want at most 9", poor)
	}
	used := make(map[string]bool)
	for _, e := range r.endpoints.Engines {
		for _, run := range e.Runs() {
			used[run.Version] = true
		}
	}
	if !used["large-1"] || !used["small-2"] {
		t.Errorf("versions used %v, want a cheap and an expensive one", used)
	}
}

// TestStreamResumesAfterCrash guards against lost or duplicated tokens when an
// engine crashes in the middle of a stream.
func TestStreamResumesAfterCrash(t *testing.T) {
	r := newRig(t, 2)
	want, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "long letter"))
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	var once sync.Once
	_, err = r.client.Stream(context.Background(), client.Request{}, chat("small", "long letter"), func(s string) error {
		text.WriteString(s)
		if len(text.String()) > 40 {
			once.Do(func() { r.restartBusyEngine() })
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if text.String() != want.Choices[0].Message.Content {
		t.Errorf("resumed %q, want %q", text.String(), want.Choices[0].Message.Content)
	}
}

// restartBusyEngine restarts the engine that has a request in flight.
func (r *rig) restartBusyEngine() {
	busy := r.endpoints.Engines[0]
	for _, e := range r.endpoints.Engines {
		if runs := e.Runs(); len(runs) > 0 && e.Running() > 0 {
			busy = e
		}
	}
	if err := busy.Restart(); err != nil {
		r.t.Error(err)
	}
}

// TestSilentConnectionIsReplaced guards against an attempt that waits forever on a
// silent connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	r := newRig(t, 2)
	var once sync.Once
	start := time.Now()
	_, err := r.client.Stream(context.Background(), client.Request{Rank: "normal"}, chat("small", "x"), func(string) error {
		once.Do(func() {
			for _, e := range r.endpoints.Engines {
				e.StallOpenResponses()
			}
		})
		return nil
	})
	if err != nil {
		t.Fatalf("after %v: %v", time.Since(start), err)
	}
}

// TestCrashingRequestIsRejected guards against a request that crashes one engine
// after another because its caller retries it.
func TestCrashingRequestIsRejected(t *testing.T) {
	r := newRig(t, 3)
	var last error
	for range 4 {
		_, last = r.client.Chat(context.Background(), client.Request{}, chat("small", fakeengine.CrashMarker))
	}
	wantError(t, last, api.CodeCrashesEndpoints, api.OutcomeNotRun)
	crashes := 0
	for _, e := range r.endpoints.Engines {
		crashes += e.Crashes()
	}
	if crashes > 2 {
		t.Errorf("got %d crashes, want at most 2", crashes)
	}
	if _, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "innocent")); err != nil {
		t.Errorf("a request that crashes nothing: %v", err)
	}
}

// TestBookingRunsAtMostOnce guards against a booking that runs twice: on a retry, if
// its claim is unknown, or without a key. Also guards against a caller that receives
// the answer to another booking because both used the same key.
func TestBookingRunsAtMostOnce(t *testing.T) {
	r := newRig(t, 1)
	ctx := context.Background()
	id := uuid.Must(uuid.NewV7()).String()
	body := map[string]any{"rim": 4}
	first, err := r.client.Call(ctx, client.Request{ID: id}, "booking", "book", body)
	if err != nil {
		t.Fatal(err)
	}
	retried, err := r.client.Call(ctx, client.Request{ID: id}, "booking", "book", body)
	if err != nil || !retried.Replayed || string(retried.Body) != string(first.Body) {
		t.Errorf("retry: got %s, repeat=%t, error %v; want the first answer %s", retried.Body, retried.Replayed, err, first.Body)
	}
	_, err = r.client.Call(ctx, client.Request{ID: id}, "booking", "book", map[string]any{"rim": 5})
	wantError(t, err, api.CodeKeyReused, api.OutcomeNotRun)
	_, err = r.client.Call(ctx, client.Request{ID: "not-a-uuid"}, "booking", "book", body)
	wantError(t, err, api.CodeBadIdempotencyKey, api.OutcomeNotRun)
	r.kv.Inject(memkv.Outage, memkv.Always)
	_, err = r.client.Call(ctx, client.Request{}, "booking", "book", body)
	wantError(t, err, api.CodeNotClaimed, api.OutcomeNotRun)
	if _, err := r.client.Call(ctx, client.Request{}, "booking", "lookup", body); err != nil {
		t.Errorf("a lookup during an outage of the store: %v", err)
	}
	r.kv.ClearAll()
	if runs := len(r.endpoints.Booking.Runs()); runs != 2 { // one booking, one lookup
		t.Errorf("the booking service ran %d calls, want 2", runs)
	}
	if got := r.bill().Requests; got != 2 {
		t.Errorf("billed %d requests, want 2", got)
	}
}

// TestStaleHostRejects guards against a host that serves requests with a stale
// configuration.
func TestStaleHostRejects(t *testing.T) {
	r := newRig(t, 1)
	r.config.stale.Store(true)
	_, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x"))
	wantError(t, err, api.CodeUnavailable, api.OutcomeNotRun)
}

// TestExplain guards against requests whose decisions Explain does not return.
func TestExplain(t *testing.T) {
	r := newRig(t, 1)
	resp, err := r.client.Chat(context.Background(), client.Request{}, chat("letters", "x"))
	if err != nil {
		t.Fatal(err)
	}
	e, ok := r.d.Explain(resp.ID)
	if !ok {
		t.Fatal("no explanation of a request that was just served")
	}
	for _, want := range []string{"resolve", "plan", "admission", "endpoint", "end"} {
		if !strings.Contains(fmt.Sprint(e.Steps), want) {
			t.Errorf("no step %q in %v", want, e.Steps)
		}
	}
}
