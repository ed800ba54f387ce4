package pathbench_test

import (
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTick is the unit of processor times in /proc; Linux has 100 ticks per second.
const clockTick = 10 * time.Millisecond

// Indexes of the user and system time among the fields that follow the command
// name in /proc/PID/stat.
const (
	statUser   = 11
	statSystem = 12
)

// cpu returns the processor time that all hosts have used.
func (r *deployment) cpu(tb testing.TB) time.Duration {
	tb.Helper()
	total := time.Duration(0)
	for _, p := range r.procs {
		total += processTime(tb, p)
	}
	return total
}

func processTime(tb testing.TB, p *exec.Cmd) time.Duration {
	tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	check(tb, err)
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	ticks := 0
	for _, i := range []int{statUser, statSystem} {
		n, err := strconv.Atoi(fields[i])
		check(tb, err)
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// residentBytes returns the resident memory of a host in bytes.
func residentBytes(tb testing.TB, p *exec.Cmd) float64 {
	tb.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.Process.Pid))
	check(tb, err)
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			check(tb, err)
			return kb * 1024
		}
	}
	tb.Fatal("no VmRSS in the status of the process")
	return 0
}
