package membership

import (
	"bytes"
	"context"
	"log/slog"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/peer"
)

// TestChangesAreLoggedAtTheStop guards against changes that wait to be logged together and
// are lost when the host stops.
func TestChangesAreLoggedAtTheStop(t *testing.T) {
	c := newCluster(1)
	h := &host{c: c, addr: addrOf(0), handlers: make(map[string]peer.Handler)}
	var log bytes.Buffer
	m, err := New(Options{
		Self: Member{Host: "a", PeerAddress: h.addr}, Caller: h, Registrar: h, Clock: clockwork.NewFakeClock(),
		Rand: rand.New(rand.NewPCG(1, 2)), Logger: slog.New(slog.NewTextHandler(&log, nil)),
	})
	if err != nil {
		t.Fatal(err)
	}
	m.Leave()
	if got := log.String(); got != "" {
		t.Fatalf("logged before the time: %s", got)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := m.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := log.String(); !strings.Contains(got, `msg="member changed"`) || !strings.Contains(got, "host=a") || !strings.Contains(got, "state=leaving") {
		t.Errorf("logged %q, want the change of the host to leaving", got)
	}
}
