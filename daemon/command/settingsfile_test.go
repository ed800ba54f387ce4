package command

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/go-cmp/cmp"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	"github.com/corianderlever/corianderlever/platform"
)

// boundsLines are the bounds of a complete settings file.
var boundsLines = []string{
	"DrainMs: 2000", "ConfigApplyMs: 2000", "GracePeriodS: 18", "RevocationStrict: false", "RevocationMs: 5000", "RetryBudgetRatio: 0.95", "RetryWindowS: 10",
	"RetryBudgetExtra: 52", "ExposureShare: 0.15", "ExposureTolerance: 30", "SessionTtlS: 15", "ttl_max_s: 25",
}

// settingsBlocks returns the parts of a complete settings file, which may stand in any order.
func settingsBlocks(bounds []string) []string {
	section := func(name string, lines ...string) string { return name + ":\n  " + strings.Join(lines, "\n  ") + "\n" }
	return []string{
		"NodeName: host-1\n", "IpAddress: 10.1.0.40\n", "Zone: a\n", "Region: r\n", "DataDirectory: null\n", "# end\n",
		"InternalPortRange:\n  - 7340\n  - 7355\n", "SeedNodes:\n  - 10.1.0.40:8229\n",
		section("Limits", "CpuFraction: 0.4", "CpuCores: 1", "MemoryLimitMb: 284"),
		section("ListenAddresses", "Frontend: 10.1.0.40:8227", "Readiness: 10.1.0.40:8220", "ControlPlane: 10.1.0.40:8229", "DirectoryService: 10.1.0.40:8224"),
		section("Platform", `Address: "10.200.1.7:8223"`, "form: kv", "MinTtlMs: 1000"),
		section("Bounds", bounds...),
	}
}

// fileRig is a settings file at a host.
type fileRig struct {
	*settingsFile
	clock *clockwork.FakeClock
}

func newFileRig(dir string) fileRig {
	clock := clockwork.NewFakeClock()
	return fileRig{&settingsFile{path: filepath.Join(dir, "settings.yaml"), clock: clock}, clock}
}

// readText replaces the file by one with the text and reads it.
func (r fileRig) readText(t rapid.TB, text string) (platform.Settings, error) {
	t.Helper()
	if err := os.WriteFile(r.path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return r.read()
}

// checkPrefix requires that a starting and a running host reject the first cut bytes of a
// settings file or take the bounds of the whole file from them.
func checkPrefix(t rapid.TB, dir, whole string, cut int) {
	t.Helper()
	running := newFileRig(dir)
	want, err := running.readText(t, whole)
	if err != nil {
		t.Fatalf("complete settings: %v", err)
	}
	for name, f := range map[string]fileRig{"starting": newFileRig(dir), "running": running} {
		if got, err := f.readText(t, whole[:cut]); err == nil && got.Bounds != want.Bounds {
			t.Fatalf("%s host took over %q: %s", name, whole[:cut], cmp.Diff(want.Bounds, got.Bounds))
		}
	}
}

// TestHalfWrittenSettingsDoNotChangeTheBounds guards against a host that takes over the
// bounds of a settings file which is still being written and lacks some or ends within one.
func TestHalfWrittenSettingsDoNotChangeTheBounds(t *testing.T) {
	dir := t.TempDir()
	t.Run("every byte", func(t *testing.T) {
		whole := strings.Join(settingsBlocks(boundsLines), "")
		for cut := range whole {
			checkPrefix(t, dir, whole, cut)
		}
	})
	t.Run("any order", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			blocks := settingsBlocks(rapid.Permutation(boundsLines).Draw(t, "bounds"))
			whole := strings.Join(rapid.Permutation(blocks).Draw(t, "blocks"), "")
			checkPrefix(t, dir, whole, rapid.IntRange(0, len(whole)-1).Draw(t, "byte"))
			lines := strings.SplitAfter(whole, "\n")
			n := rapid.IntRange(0, len(lines)-1).Draw(t, "lines")
			checkPrefix(t, dir, whole, len(strings.Join(lines[:n], "")))
		})
	})
}

// TestSettingsWithoutSomeBoundsAreUsedOnceTheyRest guards against a host that never starts
// where a deployment gives fewer bounds, and against bounds of zero in their place.
func TestSettingsWithoutSomeBoundsAreUsedOnceTheyRest(t *testing.T) {
	text := func(grace int) string {
		return strings.Join(settingsBlocks([]string{fmt.Sprint("GracePeriodS: ", grace), "RevocationStrict: true"}), "")
	}
	f := newFileRig(t.TempDir())
	if _, err := f.readText(t, text(8)); !errors.Is(err, errHalfWritten) {
		t.Fatalf("first read: %v, want errHalfWritten", err)
	}
	f.clock.Advance(settleTime)
	got, err := f.readText(t, text(8))
	if err != nil {
		t.Fatal(err)
	}
	if b := got.Bounds; b.GracePeriod != 8*time.Second || b.RevocationTime <= 0 || b.RetryWindow <= 0 {
		t.Errorf("got bounds %+v, want the grace period of the file and no zero times", b)
	}
	if got, err := f.readText(t, text(9)); err != nil || got.Bounds.GracePeriod != 9*time.Second {
		t.Errorf("after a change: %v, %v", got.Bounds.GracePeriod, err)
	}
	if got, err := f.readText(t, strings.Join(settingsBlocks(nil), "")); !errors.Is(err, errHalfWritten) || got.Bounds.GracePeriod != 9*time.Second {
		t.Errorf("without a bound that was there before: %v, %v; want errHalfWritten and the bounds in force", got.Bounds.GracePeriod, err)
	}
}

// TestSettingsWithoutFinalLineBreakAreUsedOnceTheyRest guards against changed settings that
// are never taken over because their file does not end with a line break.
func TestSettingsWithoutFinalLineBreakAreUsedOnceTheyRest(t *testing.T) {
	whole := strings.Join(settingsBlocks(boundsLines), "")
	f := newFileRig(t.TempDir())
	if _, err := f.readText(t, whole); err != nil {
		t.Fatal(err)
	}
	changed := strings.TrimSuffix(whole, "\n") + "5"
	if got, err := f.readText(t, changed); err == nil || got.Bounds.MaxListTTL != 25*time.Second {
		t.Errorf("first read: %v, %v; want an error and the bounds in force", got.Bounds.MaxListTTL, err)
	}
	f.clock.Advance(settingsInterval)
	if got, err := f.readText(t, changed); err != nil || got.Bounds.MaxListTTL != 255*time.Second {
		t.Errorf("second read: %v, %v; want the changed bounds", got.Bounds.MaxListTTL, err)
	}
}
