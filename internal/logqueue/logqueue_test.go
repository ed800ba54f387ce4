package logqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/corianderlever/corianderlever/internal/logqueue"
)

// blocked is a writer that waits until it is released.
type blocked struct {
	entered, release chan struct{}
	buf              bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	b.entered <- struct{}{}
	<-b.release
	return b.buf.Write(p)
}

// TestNeverBlocks guards against a request that waits for standard output, and
// against lines that vanish without being counted.
func TestNeverBlocks(t *testing.T) {
	out := &blocked{entered: make(chan struct{}, 16), release: make(chan struct{})}
	w := logqueue.New(out, 100)
	line := func(i int) { fmt.Fprintf(w, "line %03d\n", i) }
	line(0)
	<-out.entered // the writer is stuck from here on
	for i := 1; i <= 50; i++ {
		line(i)
	}
	if got := w.Dropped(); got != 39 {
		t.Errorf("%d lines dropped, want those beyond 100 bytes", got)
	}
	close(out.release)
	<-out.entered
	line(51)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	if got := out.buf.String(); !strings.Contains(got, "lines=39") || !strings.HasSuffix(got, "line 051\n") {
		t.Errorf("written: %q", got)
	}
}
