package dispatch_test

import (
	"context"
	"slices"
	"testing"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/dispatch"
	"github.com/corianderlever/corianderlever/ledger"
	"github.com/corianderlever/corianderlever/resource"
)

// openHook runs a function when a request opens its billing record. This happens after
// the request is planned and before its first attempt.
type openHook struct {
	dispatch.Ledger
	onOpen func()
}

func (h openHook) Open(ctx context.Context, r ledger.Record) error {
	h.onOpen()
	return h.Ledger.Open(ctx, r)
}

// TestWithdrawalWhileWaitingReplans guards against the rejection of a request whose
// version is withdrawn while it waits although another version of its model serves.
// In internal/proctest this caused "forbidden" answers for up to a minute after a
// withdrawal.
func TestWithdrawalWhileWaitingReplans(t *testing.T) {
	r := newRig(t, 1)
	list := slices.Clone(r.resources)
	for i, res := range list {
		if res.Kind == resource.KindVersion && res.Name == "small-2" {
			spec := *res.Spec.(*resource.Version)
			spec.State = resource.VersionWithdrawn
			list[i].Spec = &spec
		}
	}
	after, err := resource.NewSnapshot(2, list)
	if err != nil {
		t.Fatal(err)
	}
	r.d.Ledger = openHook{Ledger: r.ledger, onOpen: func() { r.config.snap.Store(after) }}
	resp, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x"))
	if err != nil || resp.Receipt.Version != "small-1" {
		t.Errorf("answered by %+v, %v; want small-1", resp.Receipt, err)
	}
	for _, run := range r.endpoints.Engines[0].Runs() {
		if run.Version == "small-2" {
			t.Errorf("the withdrawn version ran %+v", run)
		}
	}
	if got := r.bill().Requests; got != 1 {
		t.Errorf("billed %d requests, want 1", got)
	}
}
