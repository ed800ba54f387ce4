package config

import (
	"fmt"
	"log/slog"
	"net/netip"
	"net/url"
	"os"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/corianderlever/corianderlever/session"
)

// minClusterKeyBytes is the minimum length of the cluster key.
const minClusterKeyBytes = 16

var (
	hostPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, errors.Mark(errors.Wrap(err, "config: read settings"), ErrInvalid)
	}
	return Parse(file, data)
}

// Parse decodes and validates settings. Errors name the file, the line and the
// field.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	if err := yaml.UnmarshalWithOptions(data, &s, yaml.Strict()); err != nil {
		return s, errors.Mark(errors.Newf("%s: %s", file, yaml.FormatError(err, false, true)), ErrInvalid)
	}
	if err := s.Validate(); err != nil {
		var field *FieldError
		if errors.As(err, &field) {
			field.File, field.Line = file, lineOf(data, field.Path)
		}
		return s, err
	}
	return s, nil
}

// FieldError reports a field that fails validation.
type FieldError struct {
	// File and Line locate the field; Line is 0 if the file does not set it.
	File string
	Line int
	// Path is the path of the field, such as listen.entry.
	Path string
	// Problem describes the error.
	Problem string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s:%d: field %s: %s", e.File, e.Line, e.Path, e.Problem)
}

// Is makes a FieldError match ErrInvalid.
func (e *FieldError) Is(target error) bool { return target == ErrInvalid }

func fieldError(path, format string, args ...any) error {
	return &FieldError{Path: path, Problem: fmt.Sprintf(format, args...)}
}

// lineOf returns the line of the field, or 0 if the file does not set it.
func lineOf(data []byte, path string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return 0
	}
	p, err := yaml.PathString("$." + path)
	if err != nil {
		return 0
	}
	var node ast.Node
	if node, err = p.FilterFile(file); err != nil || node == nil {
		return 0
	}
	return node.GetToken().Position.Line
}

// Validate returns a FieldError for the first invalid field.
func (s Settings) Validate() error {
	if !hostPattern.MatchString(s.Host) {
		return fieldError("host", "must match %s", hostPattern)
	}
	if s.FailureDomain == "" {
		return fieldError("failure_domain", "must not be empty")
	}
	checks := []func() error{s.validateAddresses, s.validatePlatform, s.validateKeys, s.validateLimits, s.validateTLS}
	for _, check := range checks {
		if err := check(); err != nil {
			return err
		}
	}
	var level slog.Level
	if err := level.UnmarshalText([]byte(s.LogLevel)); err != nil {
		return fieldError("log_level", "must be debug, info, warn or error")
	}
	return nil
}

func (s Settings) validateAddresses() error {
	addresses := []struct {
		path, value string
		optional    bool
	}{
		{"listen.entry", s.Listen.Entry, false},
		{"listen.peer", s.Listen.Peer, false},
		{"advertise.entry", s.Advertise.Entry, true},
		{"advertise.peer", s.Advertise.Peer, true},
	}
	for _, a := range addresses {
		if a.optional && a.value == "" {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fieldError(a.path, "%q is not an IP address and port", a.value)
		}
	}
	for i, p := range s.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fieldError(fmt.Sprintf("peers[%d]", i), "%q is not an IP address and port", p)
		}
	}
	return nil
}

func (s Settings) validatePlatform() error {
	if !validURL(s.Platform.KV) {
		return fieldError("platform.kv", "%q is not an http or https URL", s.Platform.KV)
	}
	if s.Platform.Rating != "" && !validURL(s.Platform.Rating) {
		return fieldError("platform.rating", "%q is not an http or https URL", s.Platform.Rating)
	}
	if s.Platform.HostList != "" && !validURL(s.Platform.HostList) {
		return fieldError("platform.host_list", "%q is not an http or https URL", s.Platform.HostList)
	}
	if s.Platform.RatingsPerSecond < 0 {
		return fieldError("platform.ratings_per_second", "must not be negative")
	}
	if s.Platform.WeightLoadsPerMinute < 0 {
		return fieldError("platform.weight_loads_per_minute", "must not be negative")
	}
	return nil
}

func validURL(text string) bool {
	u, err := url.Parse(text)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

func (s Settings) validateKeys() error {
	key, err := s.ClusterKey.Read()
	if err != nil {
		return fieldError("cluster_key.file", "%v", err)
	}
	if len(key) < minClusterKeyBytes {
		return fieldError("cluster_key", "must have at least %d bytes", minClusterKeyBytes)
	}
	for i, h := range s.OperatorKeyHashes {
		if !hashPattern.MatchString(h) {
			return fieldError(fmt.Sprintf("operator_key_hashes[%d]", i), "must be a hex SHA-256 hash")
		}
	}
	if s.Sessions.TTL <= 0 {
		return fieldError("sessions.ttl", "must be positive")
	}
	if len(s.Sessions.Keys) == 0 {
		return fieldError("sessions.keys", "must not be empty")
	}
	for i, k := range s.Sessions.Keys {
		secret, err := k.Secret.Read()
		if err != nil {
			return fieldError(fmt.Sprintf("sessions.keys[%d].secret.file", i), "%v", err)
		}
		if k.ID == "" || len(secret) < session.MinKeyBytes {
			return fieldError(fmt.Sprintf("sessions.keys[%d]", i), "must have an id and a secret of at least %d bytes", session.MinKeyBytes)
		}
	}
	return nil
}

func (s Settings) validateLimits() error {
	switch {
	case s.Limits.MaxBodyBytes <= 0:
		return fieldError("limits.max_body_bytes", "must be positive")
	case s.Limits.BodyTimeout <= 0:
		return fieldError("limits.body_timeout", "must be positive")
	case s.Limits.WriteTimeout <= 0:
		return fieldError("limits.write_timeout", "must be positive")
	case s.Limits.MaxWaiting <= 0:
		return fieldError("limits.max_waiting", "must be positive")
	case s.Limits.MemoryBytes < 0:
		return fieldError("limits.memory_bytes", "must not be negative")
	case s.Drain.Timeout <= 0:
		return fieldError("drain.timeout", "must be positive")
	case s.Drain.EntryTTL <= 0:
		return fieldError("drain.entry_ttl", "must be positive")
	}
	return nil
}

func (s Settings) validateTLS() error {
	if s.TLS == nil {
		return nil
	}
	if s.TLS.Cert == "" || s.TLS.Key == "" {
		return fieldError("tls", "must have cert and key")
	}
	if s.TLS.PeerName == "" {
		return fieldError("tls.peer_name", "must not be empty")
	}
	return nil
}
