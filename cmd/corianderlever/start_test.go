package main_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
)

// TestSignalsAreReceivedBeforeOtherPackagesInitialize guards against a process that a signal
// ends while the packages that it imports are initialized.
func TestSignalsAreReceivedBeforeOtherPackagesInitialize(t *testing.T) {
	const standard, own = "os/signal", "github.com/corianderlever/corianderlever/internal/signals"
	cmd := exec.Command(binary, "check")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")
	trace, _ := cmd.CombinedOutput() // the command lacks an argument
	var packages []string
	for line := range strings.Lines(string(trace)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "init" {
			packages = append(packages, fields[1])
		}
	}
	i := slices.Index(packages, standard)
	if i < 0 || i+1 >= len(packages) || packages[i+1] != own {
		t.Errorf("package %s is not initialized directly after %s: %q", own, standard, packages)
	}
}

// TestHangupBeforeTheSettingsAreReadIsHarmless guards against a host that SIGHUP ends during
// its start.
func TestHangupBeforeTheSettingsAreReadIsHarmless(t *testing.T) {
	settings, addresses := hostSettings(t, newDeployment(t).StoreAddress())
	content, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	pipe := filepath.Join(t.TempDir(), "settings.yaml")
	if err := syscall.Mkfifo(pipe, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := command(t, hostEnv(pipe), "host")
	p := start(t, cmd, log)
	// The pipe opens once the host reads it.
	file, err := os.OpenFile(pipe, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	p.signal(t, syscall.SIGHUP)
	if _, err := file.Write(content); err != nil {
		t.Fatal(err)
	}
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	p.waitReady(t, addresses.Readiness)
	p.signal(t, syscall.SIGTERM)
	p.waitCleanExit(t)
}
