package daemon_test

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon"
	"github.com/corianderlever/corianderlever/daemon/demo"
	"github.com/corianderlever/corianderlever/internal/loopback"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// TestStopDuringStartEndsCleanly guards against a host that is stopped while it waits for its
// first configuration and then reports a failure, abandons its background loops or keeps its
// port.
func TestStopDuringStartEndsCleanly(t *testing.T) {
	store := memkv.NewFaulty(memkv.New(clockwork.NewRealClock()), clockwork.NewRealClock())
	store.Inject(memkv.Outage, memkv.Always)
	settings := startSettings(t)
	var log logBuffer
	host, err := daemon.New(daemon.Options{
		Settings: settings, KV: store, Logger: slog.New(slog.NewTextHandler(&log, nil)), Rand: rand.New(rand.NewPCG(1, 2)),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- host.Run(ctx) }()
	await(t, "the host has opened its port", func() bool { return !canListen(settings.Listen.Entry) })
	cancel()
	select {
	case err = <-ended:
	case <-time.After(testTimeout):
		t.Fatal("the host does not end")
	}
	if err != nil {
		t.Errorf("the host ends with %v, want no error", err)
	}
	await(t, "the port is free", func() bool { return canListen(settings.Listen.Entry) })
	if lines := log.lines("level=ERROR"); len(lines) > 0 {
		t.Errorf("errors in the log: %s", lines)
	}
}

// startSettings returns the settings of a host without peers.
func startSettings(t *testing.T) config.Settings {
	t.Helper()
	s := config.Default()
	s.Host, s.FailureDomain, s.Region = "entry-1", "domain-a", "demo"
	s.ClusterKey = config.Secret{Value: "demo-cluster-key-of-24-bytes"}
	s.OperatorKeyHashes = []string{demo.KeyHash(demo.OperatorKey)}
	s.Sessions.Keys = []config.SessionKey{{ID: "demo", Secret: config.Secret{Value: "demo-session-key-with-at-least-32-bytes"}}}
	s.Platform.KV = "http://127.0.0.1:1"
	addresses, err := loopback.Addresses(2)
	if err != nil {
		t.Fatal(err)
	}
	s.Listen.Entry, s.Listen.Peer = addresses[0], addresses[1]
	return s
}

func canListen(addr string) bool {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return false
	}
	return ln.Close() == nil
}

// await polls until ok returns true, and fails the test after inForce.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(inForce); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("did not happen within %v: %s", inForce, what)
		}
	}
}
