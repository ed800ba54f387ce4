// Package signals receives the signals of a process that serves requests, until its exit.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// subscribe returns a channel that holds one signal until it is received. The subscription
// is never cancelled, because that gives the signal its default action back, which ends the
// process at once.
func subscribe(s os.Signal) <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// Context returns a context that ends with the first SIGTERM or SIGINT of the process. Later
// ones don't end the process, with one exception: a second SIGINT ends a process that runs at
// a terminal at once, with interruptedStatus. There it comes from a user who doesn't want to
// wait; elsewhere it comes from a supervisor that repeats its order to stop.
func Context() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go watchStops(subscribe(syscall.SIGTERM), subscribe(syscall.SIGINT), cancel)
	return ctx
}

// interruptedStatus is the exit status by which a shell reports an end by SIGINT.
const interruptedStatus = 128 + int(syscall.SIGINT)

func watchStops(terminations, interrupts <-chan os.Signal, cancel context.CancelFunc) {
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
func Reloads() <-chan os.Signal { return subscribe(syscall.SIGHUP) }
