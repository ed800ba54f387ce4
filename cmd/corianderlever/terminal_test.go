package main_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

// interruptKey is the byte by which a terminal sends SIGINT.
const interruptKey = "\x03"

// openTerminal returns both ends of a new pseudo terminal.
func openTerminal(t *testing.T) (master, slave *os.File) {
	t.Helper()
	master, err := os.OpenFile("/dev/ptmx", os.O_RDWR|unix.O_NOCTTY, 0)
	if err != nil {
		t.Skipf("no pseudo terminals: %v", err)
	}
	t.Cleanup(func() { _ = master.Close() })
	if err := unix.IoctlSetPointerInt(int(master.Fd()), unix.TIOCSPTLCK, 0); err != nil {
		t.Fatal(err)
	}
	n, err := unix.IoctlGetInt(int(master.Fd()), unix.TIOCGPTN)
	if err != nil {
		t.Fatal(err)
	}
	slave, err = os.OpenFile(fmt.Sprint("/dev/pts/", n), os.O_RDWR|unix.O_NOCTTY, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = slave.Close() })
	return master, slave
}

// TestSecondInterruptAtTerminalEndsHost guards against a user who can't end a host that
// drains, and against a first interrupt that skips the drain.
func TestSecondInterruptAtTerminalEndsHost(t *testing.T) {
	master, slave := openTerminal(t)
	settings, addresses := hostSettings(t, newDeployment(t).StoreAddress())
	cmd, log := command(t, hostEnv(settings), "host")
	cmd.Stdin = slave
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true, Setctty: true}
	p := start(t, cmd, log)
	p.waitReady(t, addresses.Readiness)
	press := func() {
		if _, err := master.WriteString(interruptKey); err != nil {
			t.Fatal(err)
		}
	}
	press()
	p.wait(t, "draining", func() bool { return p.hasLogged(t, "msg=stopping") })
	press()
	<-p.exited
	const interrupted = 130
	var exit *exec.ExitError
	if !errors.As(p.err, &exit) || exit.ExitCode() != interrupted {
		t.Errorf("got exit %v, want status %d", p.err, interrupted)
	}
	if p.hasLogged(t, "msg=stopped") {
		t.Error("the second interrupt waited for the drain")
	}
}
