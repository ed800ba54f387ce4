package command

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"strings"

	"github.com/corianderlever/corianderlever/config"
)

// followReloads reads the settings again on each signal until ctx ends. It applies the log
// level. Certificates need no signal, and all other settings need a restart. Settings that
// are invalid change nothing.
func (s *serve) followReloads(ctx context.Context, level *slog.LevelVar, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.reloads:
		}
		next, err := s.load()
		if err != nil {
			log.Error("settings not reloaded", "error", err)
			continue
		}
		level.Set(next.Level())
		// Warn is logged at all levels but error, so that a changed level shows.
		log.Warn("settings reloaded", "log_level", next.LogLevel)
		if fields := restartFields(s.settings, next); len(fields) > 0 {
			log.Warn("settings need a restart", "fields", fields)
		}
	}
}

// load returns the valid settings of the file with the flags that replace some of them.
func (s *serve) load() (config.Settings, error) {
	next, err := config.Load(s.file)
	if err != nil {
		return next, err
	}
	s.replaceSettings(&next)
	return next, next.Validate()
}

// restartFields returns the names of the settings that differ from those in force and that
// only a restart applies.
func restartFields(inForce, next config.Settings) []string {
	next.LogLevel = inForce.LogLevel
	a, b := reflect.ValueOf(inForce), reflect.ValueOf(next)
	var names []string
	for i := range a.NumField() {
		if !reflect.DeepEqual(a.Field(i).Interface(), b.Field(i).Interface()) {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("json"), ",")
			names = append(names, name)
		}
	}
	return names
}

// ignoreReloads logs each signal of a program without settings until ctx ends.
func ignoreReloads(ctx context.Context, reloads <-chan os.Signal, log *slog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reloads:
			log.Info("no settings to reload")
		}
	}
}
