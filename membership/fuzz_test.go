package membership

import (
	"context"
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/peer"
)

// unreachablePeers fails all calls and ignores registrations. The fuzz target calls
// the handlers itself.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}
func (unreachablePeers) Handle(string, peer.Handler) {}

// FuzzPing guards against pings that cause a panic, change the host's own record
// or add an invalid member, and against an answer that the peer would reject.
func FuzzPing(f *testing.F) {
	f.Add([]byte(`{"from":{"host":"b","incarnation":1,"peer":"127.0.0.1:2","entry":"127.0.0.1:3","domain":"d"},"sync":true}`))
	f.Add([]byte(`{"from":{"host":"self","incarnation":9,"state":4},"obs":[{"host":"self","incarnation":99,"state":3}]}`))
	f.Add([]byte(`{"from":{"host":"b"},"sig":{"x":null}}`))
	self := Member{Host: "self", PeerAddress: "127.0.0.1:7080", EntryAddress: "127.0.0.1:8080", FailureDomain: "a"}
	if text, err := json.Marshal(message{From: self, Observations: []Member{self}}); err == nil {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		clock := clockwork.NewFakeClockAt(time.Unix(1e9, 0))
		m, err := New(Options{
			Self: self, Caller: unreachablePeers{}, Registrar: unreachablePeers{}, Clock: clock,
			Rand: rand.New(rand.NewPCG(1, 2)), Logger: slog.New(slog.DiscardHandler),
		})
		if err != nil {
			t.Fatal(err)
		}
		answer, err := m.handlePing(context.Background(), "b", data)
		if got := m.Self(); got.Host != self.Host || got.PeerAddress != self.PeerAddress || got.State != Alive {
			t.Errorf("a ping changed the host's own record to %+v", got)
		}
		for _, member := range m.Members() {
			if member.validate() != nil {
				t.Errorf("invalid member %+v in the table", member)
			}
		}
		if err != nil {
			return
		}
		text, err := json.Marshal(answer)
		var decoded message
		if err != nil || json.Unmarshal(text, &decoded) != nil || decoded.From.validate() != nil {
			t.Errorf("the peer would reject the answer %s, error %v", text, err)
		}
	})
}
