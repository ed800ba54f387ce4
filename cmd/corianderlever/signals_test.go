package main_test

import (
	"fmt"
	"syscall"
	"testing"
)

// TestSignalsUntilTheExitDoNotCutTheDrain guards against in-flight requests that are cut
// because a further signal ends the process during its drain.
func TestSignalsUntilTheExitDoNotCutTheDrain(t *testing.T) {
	for _, signals := range [][]syscall.Signal{
		{syscall.SIGTERM, syscall.SIGHUP},
		{syscall.SIGTERM},
		{syscall.SIGINT},
		{syscall.SIGINT, syscall.SIGTERM},
		{syscall.SIGHUP, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP},
	} {
		t.Run(fmt.Sprint(signals), func(t *testing.T) {
			t.Parallel()
			p := startHost(t, newDeployment(t))
			p.signalUntilExit(t, signals...)
			p.waitCleanExit(t)
			if !p.hasLogged(t, "msg=stopped") {
				t.Error("the process ended before its drain")
			}
		})
	}
}

// TestSignalsWithoutConfigurationDoNotCutTheDrain guards against a host that ends at once
// while it waits for its first configuration.
func TestSignalsWithoutConfigurationDoNotCutTheDrain(t *testing.T) {
	settings, _ := hostSettings(t, "127.0.0.1:1")
	cmd, log := command(t, hostEnv(settings), "host")
	p := start(t, cmd, log)
	p.wait(t, "started", func() bool { return p.hasLogged(t, "msg=started") })
	p.signalUntilExit(t, syscall.SIGHUP, syscall.SIGTERM)
	p.waitCleanExit(t)
}
