package dispatch_test

import (
	"context"
	"slices"
	"testing"

	"github.com/corianderlever/corianderlever/client"
	"github.com/corianderlever/corianderlever/resource"
)

// completeRollout returns the resources with version small-1 as the only one that serves new
// work of its model, and, if stopped is set, small-2 without endpoints.
func (r *rig) completeRollout(stopped bool) []resource.Resource {
	list := append(slices.Clone(r.resources), resource.Resource{
		Kind: resource.KindRollout, Name: "small", Spec: &resource.Rollout{
			Model: "small", From: "small-2", To: "small-1", Steps: []float64{1}, State: resource.RolloutDone,
		},
	})
	for i, res := range list {
		if spec, ok := res.Spec.(*resource.Endpoint); ok && stopped {
			changed := *spec
			changed.Versions = slices.DeleteFunc(slices.Clone(spec.Versions), func(v string) bool { return v == "small-2" })
			list[i].Spec = &changed
		}
	}
	return list
}

// TestCompletionWhileWaitingReplans guards against the rejection of a request whose version is
// replaced by a roll-out while it waits, and whose endpoints then stop.
func TestCompletionWhileWaitingReplans(t *testing.T) {
	r := newRig(t, 1)
	r.d.Ledger = openHook{Ledger: r.ledger, onOpen: func() { r.apply(r.d.Queue, r.completeRollout(true)) }}
	resp, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x"))
	if err != nil || resp.Receipt.Version != "small-1" {
		t.Errorf("answered by %+v, %v; want small-1", resp.Receipt, err)
	}
	if got := r.bill().Requests; got != 1 {
		t.Errorf("billed %d requests, want 1", got)
	}
}

// TestCompletionLetsRequestsEnd guards against a request that loses its version at the
// completion of a roll-out although the endpoints still serve it.
func TestCompletionLetsRequestsEnd(t *testing.T) {
	r := newRig(t, 1)
	r.d.Ledger = openHook{Ledger: r.ledger, onOpen: func() { r.apply(r.d.Queue, r.completeRollout(false)) }}
	resp, err := r.client.Chat(context.Background(), client.Request{}, chat("small", "x"))
	if err != nil || resp.Receipt.Version != "small-2" {
		t.Errorf("answered by %+v, %v; want small-2", resp.Receipt, err)
	}
}

// TestCompletionKeepsSessions guards against a session that moves to another version because a
// roll-out is completed.
func TestCompletionKeepsSessions(t *testing.T) {
	r := newRig(t, 1)
	session, err := r.client.NewSession(context.Background(), "small")
	if err != nil {
		t.Fatal(err)
	}
	r.d.Ledger = openHook{Ledger: r.ledger, onOpen: func() { r.apply(r.d.Queue, r.completeRollout(true)) }}
	if resp, err := r.client.Chat(context.Background(), client.Request{Session: session.Session}, chat("small", "x")); err == nil {
		t.Errorf("a session at small-2 was answered by %+v", resp.Receipt)
	}
}
