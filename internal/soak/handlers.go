package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// handlersTimeout bounds the time until a process catches signals; handlersPoll is the
	// time between two looks.
	handlersTimeout = 5 * time.Second
	handlersPoll    = time.Millisecond
	// initTime is the time after that for the initialization of the program, which cannot
	// keep a signal from ending it before.
	initTime = 10 * time.Millisecond
)

// watchStart closes ready once the program can have taken over the handling of signals.
func (p *process) watchStart() {
	defer close(p.ready)
	for end := time.Now().Add(handlersTimeout); !p.catches(syscall.SIGHUP) && time.Now().Before(end); {
		time.Sleep(handlersPoll)
	}
	time.Sleep(initTime)
}

// catches reports whether the process has a handler for a signal.
func (p *process) catches(s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return true // the process has ended
	}
	_, rest, _ := strings.Cut(string(status), "SigCgt:")
	field, _, _ := strings.Cut(rest, "\n")
	mask, err := strconv.ParseUint(strings.TrimSpace(field), 16, 64)
	return err == nil && mask&(1<<(s-1)) != 0
}

// started waits until the process handles signals. It returns false if the process has
// ended.
func (p *process) started() bool {
	<-p.ready
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}
