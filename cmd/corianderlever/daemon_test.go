package main_test

import (
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/internal/loopback"
	"github.com/corianderlever/corianderlever/kv/httpkv"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

// entrySettings is the settings file of an entry host.
type entrySettings struct {
	path, entry, peer, kv string
}

// newEntrySettings writes the settings of an entry host with a key-value service at a URL.
func newEntrySettings(t *testing.T, kv string) entrySettings {
	t.Helper()
	s := entrySettings{path: filepath.Join(t.TempDir(), "settings.yaml"), kv: kv}
	addresses, err := loopback.Addresses(2)
	if err != nil {
		t.Fatal(err)
	}
	s.entry, s.peer = addresses[0], addresses[1]
	s.write(t, "log_level: info")
	return s
}

// write replaces the file; more are further lines.
func (s entrySettings) write(t *testing.T, more string) {
	t.Helper()
	text := fmt.Sprintf(`host: host-1
failure_domain: a
listen: {entry: %q, peer: %q}
platform: {kv: %q}
cluster_key: {value: cluster-key-of-24-bytes!}
sessions: {keys: [{id: k, secret: {value: session-key-with-at-least-32-bytes}}]}
drain: {entry_ttl: 500ms}
%s
`, s.entry, s.peer, s.kv, more)
	if err := os.WriteFile(s.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestHangupReloadsTheSettingsOfAnEntryHost guards against an entry host that SIGHUP ends,
// also while it drains, and against settings that it takes over although they are invalid.
func TestHangupReloadsTheSettingsOfAnEntryHost(t *testing.T) {
	store := httptest.NewServer(httpkv.NewHandler(memkv.New(clockwork.NewRealClock())))
	t.Cleanup(store.Close)
	settings := newEntrySettings(t, store.URL)
	cmd, log := command(t, nil, "-config", settings.path)
	p := start(t, cmd, log)
	p.wait(t, "ready", func() bool { return p.hasLogged(t, "msg=ready") })
	for _, step := range []struct{ more, logged string }{
		{"log_level: debug", `msg="settings reloaded" self=host-1 log_level=debug`},
		{"log_level: warn\nlimits: {max_waiting: 7}", `msg="settings need a restart" self=host-1 fields=[limits]`},
		{"log_level: loud", `msg="settings not reloaded"`},
		{"limits: {max_wai", `msg="settings not reloaded"`},
	} {
		settings.write(t, step.more)
		before := strings.Count(p.output(t), step.logged)
		p.signal(t, syscall.SIGHUP)
		p.wait(t, step.logged, func() bool { return strings.Count(p.output(t), step.logged) > before })
	}
	if err := os.Remove(settings.path); err != nil {
		t.Fatal(err)
	}
	p.signalUntilExit(t, syscall.SIGTERM, syscall.SIGHUP)
	p.waitCleanExit(t)
}

// TestHangupDoesNotEndTheDemonstration guards against a demonstration that SIGHUP ends.
func TestHangupDoesNotEndTheDemonstration(t *testing.T) {
	addresses, err := loopback.Addresses(1)
	if err != nil {
		t.Fatal(err)
	}
	cmd, log := command(t, nil, "demo", "-addr", addresses[0])
	p := start(t, cmd, log)
	p.wait(t, "ready", func() bool { return p.hasLogged(t, "msg=ready entry="+addresses[0]) })
	p.signal(t, syscall.SIGHUP)
	p.wait(t, "told", func() bool { return p.hasLogged(t, "no settings to reload") })
	p.signalUntilExit(t, syscall.SIGINT, syscall.SIGHUP, syscall.SIGTERM)
	p.waitCleanExit(t)
}
