package procfs_test

import (
	"os"
	"os/exec"
	"syscall"
	"testing"

	"github.com/corianderlever/corianderlever/internal/procfs"
)

// TestCatches guards against signals that tests send to a process that cannot handle them
// yet.
func TestCatches(t *testing.T) {
	if !procfs.Catches(os.Getpid(), syscall.SIGTERM) {
		t.Error("a Go process is reported not to catch SIGTERM")
	}
	cmd := exec.Command("sleep", "60")
	if err := cmd.Start(); err != nil {
		t.Skipf("no program without handlers: %v", err)
	}
	defer func() {
		_ = cmd.Process.Kill() // it runs for a minute
		_ = cmd.Wait()         // reports the signal
		if !procfs.Catches(cmd.Process.Pid, syscall.SIGHUP) {
			t.Error("a process that has ended is waited for")
		}
	}()
	if procfs.Catches(cmd.Process.Pid, syscall.SIGHUP) {
		t.Error("a process without handlers is reported to catch SIGHUP")
	}
}
