package main_test

import (
	"os"
	"strings"
	"syscall"
	"testing"
)

// halfWritten returns a settings file that was cut before its bounds, which stood last.
func halfWritten(t *testing.T, whole []byte) []byte {
	t.Helper()
	before, bounds, found := strings.Cut(string(whole), "Bounds:")
	_, after, closed := strings.Cut(bounds, "}\n")
	if !found || !closed {
		t.Fatalf("settings have no bounds: %s", whole)
	}
	return []byte(before + after)
}

// TestHalfWrittenSettingsDoNotCutTheDrain guards against a host that crashes, or ends without
// a drain, because its settings file was half written when it read it.
func TestHalfWrittenSettingsDoNotCutTheDrain(t *testing.T) {
	for name, damage := range map[string]func(file string, whole []byte) error{
		"cut":     func(file string, whole []byte) error { return os.WriteFile(file, halfWritten(t, whole), 0o600) },
		"empty":   func(file string, _ []byte) error { return os.Truncate(file, 0) },
		"missing": func(file string, _ []byte) error { return os.Remove(file) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			settings, addresses := hostSettings(t, newDeployment(t).StoreAddress())
			whole, err := os.ReadFile(settings)
			if err != nil {
				t.Fatal(err)
			}
			cmd, log := command(t, hostEnv(settings), "host")
			p := start(t, cmd, log)
			p.waitReady(t, addresses.Readiness)
			if err := damage(settings, whole); err != nil {
				t.Fatal(err)
			}
			p.signal(t, syscall.SIGHUP)
			p.wait(t, "reloaded", func() bool { return p.hasLogged(t, "reloaded") })
			p.signal(t, syscall.SIGTERM)
			p.waitCleanExit(t)
			if !p.hasLogged(t, "settings not reloaded") || !p.hasLogged(t, "msg=stopped self=host-1 error=<nil>") {
				t.Error("the host took over the damaged settings")
			}
		})
	}
}

// TestHostWaitsForItsSettings guards against a host that ends at its start because its
// settings file is missing or half written at that moment.
func TestHostWaitsForItsSettings(t *testing.T) {
	settings, addresses := hostSettings(t, newDeployment(t).StoreAddress())
	whole, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(settings); err != nil {
		t.Fatal(err)
	}
	cmd, log := command(t, hostEnv(settings), "host")
	p := start(t, cmd, log)
	const waiting = "settings not usable yet"
	p.wait(t, "waiting for its settings", func() bool { return p.hasLogged(t, waiting) })
	if err := os.WriteFile(settings, whole[:len(whole)/2], 0o600); err != nil {
		t.Fatal(err)
	}
	p.wait(t, "waiting for the rest", func() bool { return strings.Count(p.output(t), waiting) > 1 })
	if err := os.WriteFile(settings, whole, 0o600); err != nil {
		t.Fatal(err)
	}
	p.waitReady(t, addresses.Readiness)
}

// TestStopBeforeTheStartIsClean guards against a crash that a supervisor counts because
// SIGTERM came while a host waited for its settings.
func TestStopBeforeTheStartIsClean(t *testing.T) {
	cmd, log := command(t, hostEnv("missing.yaml"), "host")
	p := start(t, cmd, log)
	p.wait(t, "waiting for its settings", func() bool { return p.hasLogged(t, "settings not usable yet") })
	p.signal(t, syscall.SIGTERM)
	p.waitCleanExit(t)
}
