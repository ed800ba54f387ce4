package main_test

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"
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

// fullPipe returns the writing end of a pipe that is full and that nobody reads.
func fullPipe(t *testing.T) *os.File {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = reader.Close(), writer.Close() })
	if err := writer.SetWriteDeadline(time.Now().Add(pollInterval)); err != nil {
		t.Fatal(err)
	}
	for err == nil {
		_, err = writer.Write(make([]byte, os.Getpagesize()))
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal(err)
	}
	return writer
}

// TestUnreadLogDoesNotHoldUpHost guards against a host that serves nothing, or doesn't end
// after its drain, because nobody reads its log.
func TestUnreadLogDoesNotHoldUpHost(t *testing.T) {
	t.Run("platform", func(t *testing.T) {
		settings, addresses := hostSettings(t, newDeployment(t).StoreAddress())
		cmd, log := command(t, hostEnv(settings), "host")
		cmd.Stdout = fullPipe(t)
		p := start(t, cmd, log)
		p.waitReady(t, addresses.Readiness)
		p.signal(t, syscall.SIGTERM)
		p.waitCleanExit(t)
	})
	t.Run("entry host", func(t *testing.T) {
		settings := newEntrySettings(t, newStore(t))
		cmd, log := command(t, nil, "-config", settings.path)
		cmd.Stdout = fullPipe(t)
		p := start(t, cmd, log)
		p.waitOK(t, "http://"+settings.entry+"/readyz")
		p.signal(t, syscall.SIGTERM)
		p.waitCleanExit(t)
	})
}
