package soak

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

// SettingsFile is the settings file of one host, as its operator treats it.
type SettingsFile struct {
	path    string
	content []byte
	// mu is held while the file is treated.
	mu sync.Mutex
}

// Restore writes the file as it should be.
func (f *SettingsFile) Restore() error { return os.WriteFile(f.path, f.content, 0o600) }

// allRetries is the retry budget in the settings, noRetries one without retries.
const (
	allRetries = "RetryBudgetRatio: 0.9, RetryWindowS: 10, RetryBudgetExtra: 52"
	noRetries  = "RetryBudgetRatio: 0, RetryWindowS: 10, RetryBudgetExtra: 0"
)

// SetNoRetries leaves the host without retries.
func (f *SettingsFile) SetNoRetries() error {
	content := bytes.Replace(f.content, []byte(allRetries), []byte(noRetries), 1)
	if bytes.Equal(content, f.content) {
		return fmt.Errorf("no settings %s in %s", allRetries, f.path)
	}
	f.content = content
	return f.Restore()
}

// damage is a way in which the file is wrong for a moment.
type damage int

// The kinds of damage.
const (
	// rewritten is a file with a changed bound, replaced at once.
	rewritten damage = iota
	truncated
	halfWritten
	removed
	// damages is the number of kinds.
	damages
)

func (d damage) String() string {
	return [...]string{"rewritten", "truncated", "half written", "removed"}[d]
}

// Damage leaves the file in a state for some time, and then as it should be.
func (f *SettingsFile) Damage(kind damage, d time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.apply(kind); err != nil {
		return err
	}
	time.Sleep(d)
	return f.Restore()
}

// revocationSetting is the setting that a rewritten file changes, to a stricter value.
const revocationSetting, stricterRevocation = "RevocationMs: 5000", "RevocationMs: 4800"

func (f *SettingsFile) apply(kind damage) error {
	switch kind {
	case truncated:
		return os.Truncate(f.path, 0)
	case halfWritten:
		return os.WriteFile(f.path, f.content[:len(f.content)/2], 0o600)
	case removed:
		return os.Remove(f.path)
	}
	next := f.path + ".next"
	changed := bytes.Replace(f.content, []byte(revocationSetting), []byte(stricterRevocation), 1)
	if bytes.Equal(changed, f.content) {
		return fmt.Errorf("no setting %s in %s", revocationSetting, f.path)
	}
	if err := os.WriteFile(next, changed, 0o600); err != nil {
		return err
	}
	return os.Rename(next, f.path)
}
