// Command standin runs the scripts of the review: it starts hosts as the deploy file does,
// with the project's stand-ins for the platform, and checks one rule.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a script.
const maxTime = 100 * time.Second

// Exit statuses of a script.
const (
	statusHeld   = 0
	statusBroken = 1
	statusNotRun = 2
)

// script plays one case. It returns whether the rule held.
type script func(ctx context.Context, rec *recorder) (held bool, err error)

func main() {
	scripts := map[string]script{"restored": restored, "links": lostLinks}
	if len(os.Args) != 3 || scripts[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCRIPT RECORD")
		os.Exit(statusNotRun)
	}
	os.Exit(play(scripts[os.Args[1]], os.Args[2]))
}

func play(run script, record string) int {
	rec, err := newRecorder(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return statusNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	held, err := run(ctx, rec)
	switch {
	case err != nil:
		rec.add("not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return statusNotRun
	case !held:
		rec.add("the rule was broken")
		return statusBroken
	}
	rec.add("the rule held")
	return statusHeld
}

// troubled reports whether the disruption is wanted.
func troubled() bool { return os.Getenv("TROUBLE") != "0" }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
