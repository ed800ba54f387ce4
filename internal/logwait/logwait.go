// Package logwait waits for the first output of a process, for tests that send it signals. No
// program can keep a signal from ending it before it is initialized.
package logwait

import (
	"context"
	"os"
	"time"
)

// pollInterval is the time between two looks at the file.
const pollInterval = time.Millisecond

// Output is the file to which a process appends its output.
type Output struct {
	file *os.File
	size int64
}

// New returns the output of a process that is about to start, or of one that appends to the
// output of those before it.
func New(file *os.File) (Output, error) {
	info, err := file.Stat()
	if err != nil {
		return Output{}, err
	}
	return Output{file: file, size: info.Size()}, nil
}

// Wait waits until the process has written something, or ctx is done.
func (o Output) Wait(ctx context.Context) error {
	for {
		info, err := o.file.Stat()
		if err != nil || info.Size() > o.size {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}
