package main_test

import (
	"os"
	"syscall"
	"testing"
)

// TestClosedLogPipeDoesNotEndHost guards against a host that SIGPIPE ends because the reader
// of its log has gone.
func TestClosedLogPipeDoesNotEndHost(t *testing.T) {
	settings, addresses := hostSettings(t, newDeployment(t).StoreAddress())
	cmd, log := command(t, hostEnv(settings), "host")
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdout = writer
	if err := reader.Close(); err != nil {
		t.Fatal(err)
	}
	p := start(t, cmd, log)
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	p.waitReady(t, addresses.Readiness)
	p.signal(t, syscall.SIGTERM)
	p.waitCleanExit(t)
}
