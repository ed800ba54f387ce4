// Package procfs reads the state of other processes for tests that send them signals.
package procfs

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// pollInterval is the time between two looks at a process.
	pollInterval = time.Millisecond
	// initTime is the time that a program has for its initialization once the runtime
	// catches signals.
	initTime = 10 * time.Millisecond
)

// WaitHandlers waits until the runtime of a Go process catches signals and the program has
// had time to take over their handling; no program can keep a signal from ending it before.
// It also returns when the process has ended or ctx is done.
func WaitHandlers(ctx context.Context, pid int) {
	for !Catches(pid, syscall.SIGHUP) && ctx.Err() == nil {
		time.Sleep(pollInterval)
	}
	time.Sleep(initTime)
}

// Catches reports whether a process has a handler for a signal, or has ended.
func Catches(pid int, s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return true
	}
	_, rest, _ := strings.Cut(string(status), "SigCgt:")
	field, _, _ := strings.Cut(rest, "\n")
	mask, err := strconv.ParseUint(strings.TrimSpace(field), 16, 64)
	return err == nil && mask&(1<<(s-1)) != 0
}
