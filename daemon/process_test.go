package daemon

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/membership"
)

// TestHostOfProcessInvertsProcessName guards against copies of billing records
// that reach no host because its name is not found in the process name.
func TestHostOfProcessInvertsProcessName(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := membership.Member{
			Host:    rapid.StringMatching(`[a-z0-9.-]{1,20}`).Draw(t, "host"),
			Started: rapid.Int64Range(0, 4_000_000_000_000_000_000).Draw(t, "started"),
		}
		if got := hostOfProcess(processName(m)); got != m.Host {
			t.Fatalf("process %q: host %q, want %q", processName(m), got, m.Host)
		}
	})
}
