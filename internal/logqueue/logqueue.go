// Package logqueue is a writer for logs that never blocks: lines wait in a
// bounded queue and are dropped and counted when it is full.
package logqueue

import (
	"bytes"
	"fmt"
	"io"
	"sync"
)

// Writer queues lines for another writer. It is safe for concurrent use.
type Writer struct {
	out io.Writer
	max int

	mu      sync.Mutex
	wake    *sync.Cond
	queued  bytes.Buffer
	dropped int
	total   int
	closed  bool
	done    chan struct{}
}

// New returns a writer that holds at most max bytes.
func New(out io.Writer, max int) *Writer {
	w := &Writer{out: out, max: max, done: make(chan struct{})}
	w.wake = sync.NewCond(&w.mu)
	go w.run()
	return w
}

// Write implements io.Writer. It takes one line and always succeeds.
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

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what is queued and ends the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	w.closed = true
	w.wake.Signal()
	w.mu.Unlock()
	<-w.done
	return nil
}

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
		// There is nowhere to report a standard output that does not take lines.
		_, _ = w.out.Write(batch.Bytes())
		batch.Reset()
	}
}
