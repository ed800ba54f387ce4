package command

import (
	"bytes"
	"context"
	"log/slog"
	"os"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/daemon/router"
	"github.com/corianderlever/corianderlever/platform"
)

// errHalfWritten reports a settings file that may still be being written.
var errHalfWritten = errors.New("settings are half written")

const (
	// settingsInterval is the time between two reads of the settings file of a running
	// host, which may change without a signal.
	settingsInterval = time.Second
	// startInterval is the time between two reads until the first settings are accepted.
	startInterval = 50 * time.Millisecond
	// startTimeout bounds the wait for settings that can be used.
	startTimeout = 10 * time.Second
	// settleTime is the time after which a file that looks half written and has not
	// changed counts as written.
	settleTime = 500 * time.Millisecond
)

// settingsFile reads the settings file of a host, which may be replaced, missing or half
// written at any time.
type settingsFile struct {
	path  string
	clock clockwork.Clock

	// text is the text of the file that was accepted last, and settings are its settings.
	text     []byte
	settings platform.Settings
	// suspect is a text that looks half written. It was first read at suspectSince.
	suspect      []byte
	suspectSince time.Time
}

// read returns the settings in the file. An error means that the settings accepted before
// stay in force.
func (f *settingsFile) read() (platform.Settings, error) {
	text, err := os.ReadFile(f.path)
	if err != nil {
		return f.settings, errors.Wrap(err, "read settings")
	}
	if len(text) > 0 && bytes.Equal(text, f.text) {
		f.suspect = nil
		return f.settings, nil
	}
	next, err := platform.ParseSettings(text)
	if err == nil {
		err = f.check(text, next)
	}
	if err != nil {
		return f.settings, err
	}
	f.text, f.settings, f.suspect = text, next, nil
	return next, nil
}

// check returns an error if the text may be half written. Fields that a host needs at its
// start may be missing for good; those that a running host has had may not.
func (f *settingsFile) check(text []byte, next platform.Settings) error {
	missing := next.Missing
	if f.text != nil {
		known := func(name string) bool { return slices.Contains(f.settings.Missing, name) }
		if missing = slices.DeleteFunc(slices.Clone(missing), known); len(missing) > 0 {
			return errors.Wrapf(errHalfWritten, "fields %q are missing", missing)
		}
	}
	if len(missing) == 0 && !next.Unfinished || f.settled(text) {
		return nil
	}
	return errors.Wrapf(errHalfWritten, "fields %q are missing, last line unfinished: %t", missing, next.Unfinished)
}

// settled reports whether the file has held the suspect text for settleTime.
func (f *settingsFile) settled(text []byte) bool {
	if f.suspect == nil || !bytes.Equal(text, f.suspect) {
		f.suspect, f.suspectSince = text, f.clock.Now()
	}
	return f.clock.Since(f.suspectSince) >= settleTime
}

// wait returns the first settings that can be used. It reads the file until startTimeout
// has passed or ctx ends.
func (f *settingsFile) wait(ctx context.Context, log *slog.Logger) (platform.Settings, error) {
	deadline := f.clock.Now().Add(startTimeout)
	var problem errorLog
	for {
		settings, err := f.read()
		if err == nil {
			if len(settings.Missing) > 0 {
				log.Warn("settings lack fields", "fields", settings.Missing)
			}
			return settings, nil
		}
		if !f.clock.Now().Before(deadline) {
			return settings, err
		}
		if problem.isNew(err) {
			log.Warn("settings not usable yet", "error", err, "timeout", startTimeout)
		}
		select {
		case <-ctx.Done():
			return settings, errors.CombineErrors(ctx.Err(), err)
		case <-f.clock.After(startInterval):
		}
	}
}

// follow applies changed bounds, on a signal and every settingsInterval, until ctx ends.
func (f *settingsFile) follow(ctx context.Context, reloads <-chan os.Signal, h *router.Host, log *slog.Logger) {
	ticker := f.clock.NewTicker(settingsInterval)
	defer ticker.Stop()
	var problem errorLog
	for {
		cause := "changed"
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			cause = "signal"
		case <-ticker.Chan():
		}
		before := f.settings.Bounds
		next, err := f.read()
		if news := problem.isNew(err); err != nil {
			if news || cause == "signal" {
				log.Warn("settings not reloaded", "cause", cause, "error", err)
			}
			continue
		}
		if cause == "signal" || next.Bounds != before {
			log.Info("settings reloaded", "cause", cause, "bounds_changed", next.Bounds != before)
		}
		h.SetBounds(next.Bounds)
	}
}

// errorLog tells errors that have been logged from new ones.
type errorLog struct{ last string }

// isNew reports whether err differs from the error before.
func (l *errorLog) isNew(err error) bool {
	text := ""
	if err != nil {
		text = err.Error()
	}
	changed := text != l.last
	l.last = text
	return changed
}
