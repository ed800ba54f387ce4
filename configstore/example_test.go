package configstore_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/configstore"
	"github.com/corianderlever/corianderlever/kv/memkv"
	"github.com/corianderlever/corianderlever/peer"
	"github.com/corianderlever/corianderlever/resource"
)

// singleHost implements the Group, Caller and Registrar of a single host.
type singleHost struct{}

func (singleHost) Self() configstore.Peer    { return configstore.Peer{Host: "host-1", Alive: true} }
func (singleHost) Peers() []configstore.Peer { return nil }
func (singleHost) HasMajority() bool         { return true }
func (singleHost) QuorumMembers() int        { return 1 }
func (singleHost) SetRevision(int64)         {}

func (singleHost) Handle(string, peer.Handler) {}

func (singleHost) Call(context.Context, string, string, any, any) error { return peer.ErrUnreachable }

func newStore() (*configstore.Store, error) {
	return configstore.New(configstore.Options{
		KV:        memkv.New(clockwork.NewRealClock()),
		Group:     singleHost{},
		Caller:    singleHost{},
		Registrar: singleHost{},
		Rand:      rand.New(rand.NewPCG(1, 2)),
	})
}

func Example() {
	store, err := newStore()
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx := context.Background()
	change := configstore.Change{
		Set:    []resource.Resource{{Kind: resource.KindModel, Name: "small", Spec: &resource.Model{}}},
		Author: "operator",
	}
	fmt.Println(store.Apply(ctx, change))
	_, err = store.Apply(ctx, change)
	fmt.Println(errors.Is(err, configstore.ErrConflict), err)
	fmt.Println(len(store.Current().Models))
	// Output:
	// 1 <nil>
	// true configstore: revision conflict: expected 0, have 1, changed [{Model small}]
	// 1
}

// BenchmarkApply measures a change to a configuration of 5,200 endpoints, the
// design size.
func BenchmarkApply(b *testing.B) {
	store, err := newStore()
	if err != nil {
		b.Fatal(err)
	}
	set := []resource.Resource{{Kind: resource.KindService, Name: "desk", Spec: &resource.Service{}}}
	for i := range 5200 {
		set = append(set, resource.Resource{Kind: resource.KindEndpoint, Name: fmt.Sprint("endpoint-", i), Spec: &resource.Endpoint{
			Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), FailureDomain: "a", Service: "desk",
			State: resource.EndpointActive, Concurrency: 8,
		}})
	}
	if _, err := store.Apply(b.Context(), configstore.Change{Set: set}); err != nil {
		b.Fatal(err)
	}
	one := set[1:2]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := store.Apply(b.Context(), configstore.Change{ExpectRevision: configstore.AnyRevision, Set: one}); err != nil {
			b.Fatal(err)
		}
	}
}
