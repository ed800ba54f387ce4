package logwait_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/corianderlever/corianderlever/internal/logwait"
)

// TestWaitIgnoresOlderOutput guards against signals that are sent too early because the output
// of an earlier process is taken for that of a new one.
func TestWaitIgnoresOlderOutput(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	write := func() {
		if _, err := file.WriteString("line\n"); err != nil {
			t.Fatal(err)
		}
	}
	write()
	output, err := logwait.New(file)
	if err != nil {
		t.Fatal(err)
	}
	done, cancel := context.WithCancel(context.Background())
	cancel()
	if err := output.Wait(done); !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v before the process has written, want that of the context", err)
	}
	write()
	if err := output.Wait(done); err != nil {
		t.Errorf("got error %v after the process has written", err)
	}
}
