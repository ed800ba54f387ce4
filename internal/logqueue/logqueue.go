// Package logqueue provides a log writer that never blocks. Lines wait in a
// bounded queue. When the queue is full, lines are dropped and counted.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Writer queues lines for an underlying writer. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	max int

	mu     sync.Mutex
	wake   *sync.Cond
	queued bytes.Buffer
	// dropped counts the lines dropped since the last warning in the log, and
	// total counts all dropped lines.
	dropped int
	total   int
	closed  bool
	done    chan struct{}
}

// New returns a Writer that queues at most max bytes for out.
func New(out io.Writer, max int) *Writer {
	w := &Writer{out: out, max: max, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer. It queues or drops one line and never returns an
// error. The first line queued after a drop is preceded by a warning with the
// number of lines dropped.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.queued.Len()+len(line) > w.max {
		w.dropped++
		w.total++
		return len(line), nil
	}
	if w.dropped > 0 {
		fmt.Fprintf(&w.queued, "level=WARN msg=\"log lines dropped\" lines=%d\n", w.dropped)
		w.dropped = 0
	}
	w.queued.Write(line)
	w.wake.Signal()
	return len(line), nil
}

// Dropped returns the total number of lines dropped.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// closeTimeout bounds the wait for the last lines. A reader that has stopped must not keep
// the process from its exit.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines, as far as that takes at most closeTimeout, and stops the
// writer. Later lines are dropped.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// run writes the queued lines in batches until the writer is closed and the
// queue is empty.
func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for {
		w.mu.Lock()
		for w.queued.Len() == 0 && !w.closed {
			w.wake.Wait()
		}
		if w.queued.Len() == 0 {
			w.mu.Unlock()
			return
		}
		batch, w.queued = w.queued, batch
		w.mu.Unlock()
		// A failed write to standard output cannot be reported anywhere else.
		_, _ = w.out.Write(batch.Bytes())
		batch.Reset()
	}
}
