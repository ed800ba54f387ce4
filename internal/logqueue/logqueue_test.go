package logqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/corianderlever/corianderlever/internal/logqueue"
)

// blockingWriter is a writer that blocks each write until release is closed.
type blockingWriter struct {
	entered, release chan struct{}
	buf              bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	b.entered <- struct{}{}
	<-b.release
	return b.buf.Write(p)
}

// TestWriteNeverBlocks guards against a request that waits for standard output,
// and against lines that are dropped without being counted.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockingWriter{entered: make(chan struct{}, 16), release: make(chan struct{})}
	w := logqueue.New(out, 100)
	line := func(i int) { fmt.Fprintf(w, "line %03d\n", i) }
	line(0)
	<-out.entered // the underlying writer blocks from here on
	for i := 1; i <= 50; i++ {
		line(i)
	}
	if got := w.Dropped(); got != 39 {
		t.Errorf("%d lines dropped, want the 39 beyond 100 bytes", got)
	}
	close(out.release)
	<-out.entered
	line(51)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := out.buf.String(); !strings.Contains(got, "lines=39") || !strings.HasSuffix(got, "line 051\n") {
		t.Errorf("got output %q, want a warning with lines=39 and line 051 last", got)
	}
}
