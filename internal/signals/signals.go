// Package signals receives the signals of a process that serves requests, from its
// initialization until its exit. Importing it takes the signals over from their default
// actions, so only main packages import it. It depends on little, so that it is
// initialized before most other packages.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// The subscriptions are never cancelled, because that gives a signal its default action
// back, which ends the process at once.
var (
	terminations = subscribe(syscall.SIGTERM)
	interrupts   = subscribe(syscall.SIGINT)
	reloads      = subscribe(syscall.SIGHUP)
)

// Without a subscription to SIGPIPE, a write to standard output or standard error ends the
// process once their reader has gone. Nothing is received from it: the write fails instead.
var _ = subscribe(syscall.SIGPIPE)

// subscribe returns a channel that holds one signal until it is received.
func subscribe(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// Context returns a context that ends with the first SIGTERM or SIGINT of the process, even
// one that came before the call. Later ones don't end the process, with one exception: a
// second SIGINT ends a process that runs at a terminal at once, with interruptedStatus. There
// it comes from a user who doesn't want to wait; elsewhere it comes from a supervisor that
// repeats its order to stop.
func Context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go watchStops(cancel)
	return ctx
}

// interruptedStatus is the exit status by which a shell reports an end by SIGINT.
const interruptedStatus = 128 + int(syscall.SIGINT)

func watchStops(cancel context.CancelFunc) {
	interrupted := false
	for {
		select {
		case <-terminations:
		case <-interrupts:
			if interrupted && hasTerminal() {
				os.Exit(interruptedStatus)
			}
			interrupted = true
		}
		cancel()
	}
}

// hasTerminal reports whether the process has a controlling terminal.
func hasTerminal() bool {
	tty, err := os.OpenFile("/dev/tty", os.O_WRONLY, 0)
	if err != nil {
		return false
	}
	_ = tty.Close() // nothing was written
	return true
}

// Reloads returns the channel on which SIGHUP arrives. It holds one that came before it is
// read. SIGHUP never ends the process.
func Reloads() <-chan os.Signal { return reloads }
