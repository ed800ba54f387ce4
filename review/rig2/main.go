// Command rig2 plays the scripts of an independent review. It starts hosts as processes of
// their own, with the project's stand-ins for the platform in its own process, and checks one
// rule by what callers and endpoints have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the script could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	statusHeld   = 0
	statusBroken = 1
	statusFailed = 2
	// maxTime bounds a script.
	maxTime = 115 * time.Second
	// usage is the command line: the script, the binary of the hosts and the file of the record.
	usage = "rig2 SCRIPT BINARY RECORD"
)

// errBroken reports that a rule was broken.
var errBroken = errors.New("rule broken")

// scripts are the scripts by name.
var scripts = map[string]func(ctx context.Context, r *run) error{
	"readers": playReaders,
	"rolling": playRolling,
}

// run is one play of a script.
type run struct {
	// trouble is false if the script is played without its disruption.
	trouble bool
	binary  string
	dir     string
	started time.Time

	mu     sync.Mutex
	record io.Writer
}

// note adds a line with the time since the start to the record.
func (r *run) note(format string, args ...any) { r.noteAt(time.Now(), format, args...) }

// noteAt adds a line about an earlier moment.
func (r *run) noteAt(at time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f "+format+"\n", append([]any{at.Sub(r.started).Seconds()}, args...)...)
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage:", usage)
		return statusFailed
	}
	record, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	defer os.RemoveAll(dir)
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", binary: binary, dir: dir, started: time.Now(), record: record}
	err = scripts[os.Args[1]](ctx, r)
	switch {
	case errors.Is(err, errBroken):
		r.note("result: %v", err)
		return statusBroken
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	r.note("result: the rule held")
	return statusHeld
}

// wait waits for d. It returns false if ctx has ended.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
