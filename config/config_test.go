package config

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
)

const valid = `host: entry-1
failure_domain: a
listen: {entry: "127.0.0.1:8080", peer: "127.0.0.1:7080"}
platform:
  kv: http://127.0.0.1:2000
cluster_key: {value: 0123456789abcdef}
sessions:
  keys:
    - id: k1
      secret: {value: 0123456789abcdef0123456789abcdef}
`

// TestErrorsNameFileLineAndField guards against validation errors that do not locate
// the mistake.
func TestErrorsNameFileLineAndField(t *testing.T) {
	if _, err := Parse("ok.yaml", []byte(valid)); err != nil {
		t.Fatalf("valid settings: %v", err)
	}
	cases := map[string]struct{ old, new, want string }{
		"unknown field": {"host: entry-1", "host: entry-1\nhots: x", "hots"},
		"address":       {"127.0.0.1:8080", "localhost:8080", "s.yaml:3: field listen.entry"},
		"url":           {"http://127.0.0.1:2000", "127.0.0.1", "s.yaml:5: field platform.kv"},
		"short key":     {"0123456789abcdef0123456789abcdef", "short", "s.yaml:9: field sessions.keys[0]"},
		"missing":       {"failure_domain: a", "region: r", "s.yaml:0: field failure_domain"},
		"type":          {"host: entry-1", "host: entry-1\nlimits: {max_waiting: many}", "max_waiting"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("s.yaml", []byte(strings.Replace(valid, c.old, c.new, 1)))
			if !errors.Is(err, ErrInvalid) || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "s.yaml") {
				t.Errorf("got %v, want ErrInvalid that names s.yaml and contains %q", err, c.want)
			}
		})
	}
}

// FuzzParse guards against panics on malformed settings, and against accepted
// settings that fail validation.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Fuzz(func(t *testing.T, data []byte) {
		if s, err := Parse("f.yaml", data); err == nil && s.Validate() != nil {
			t.Error("accepted settings that do not validate")
		}
	})
}
