// Package config defines the settings of an entry host, which is a host that runs
// the router, and their defaults, parsing and validation.
package config

import (
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/resource"
)

// ErrInvalid reports settings that fail validation.
var ErrInvalid = errors.New("config: invalid settings")

// Settings holds the settings of one entry host.
type Settings struct {
	// Host is the unique name of the host.
	Host string `json:"host"`
	// FailureDomain and Region locate the host.
	FailureDomain string `json:"failure_domain"`
	Region        string `json:"region"`
	// Listen are the addresses to listen on.
	Listen Listen `json:"listen"`
	// Advertise are the addresses that callers and other hosts connect to. Empty
	// means the listen addresses.
	Advertise Listen `json:"advertise"`
	// Peers are the peer addresses of hosts through which this host joins the
	// cluster.
	Peers []string `json:"peers"`
	// Platform locates the external services that the router uses.
	Platform Platform `json:"platform"`
	// ClusterKey authenticates entry hosts to each other.
	ClusterKey Secret `json:"cluster_key"`
	// OperatorKeyHashes are hex SHA-256 hashes of operators' bearer keys.
	OperatorKeyHashes []string `json:"operator_key_hashes"`
	// Sessions configures session tokens.
	Sessions Sessions `json:"sessions"`
	// TLS configures encryption. Absent means unencrypted connections.
	TLS *TLS `json:"tls"`
	// Limits bound what one host accepts.
	Limits Limits `json:"limits"`
	// Drain bounds the graceful shutdown.
	Drain Drain `json:"drain"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `json:"log_level"`
}

// Listen is a pair of addresses, each an IP:port.
type Listen struct {
	// Entry serves callers, operators and metrics.
	Entry string `json:"entry"`
	// Peer serves the other entry hosts.
	Peer string `json:"peer"`
}

// Platform locates, by URL, the external services that the router uses, and holds
// the rates that they accept.
type Platform struct {
	// KV is the key-value service.
	KV string `json:"kv"`
	// HostList is the service that lists the live and leaving hosts. Empty means
	// none.
	HostList string `json:"host_list"`
	// Rating is the service that rates answers. Empty means none.
	Rating string `json:"rating"`
	// RatingsPerSecond is the rate of requests that the rating service accepts from
	// this host.
	RatingsPerSecond float64 `json:"ratings_per_second"`
	// WeightLoadsPerMinute is the rate of model loads that the weight store accepts.
	WeightLoadsPerMinute float64 `json:"weight_loads_per_minute"`
}

// Secret is a secret that is given directly or as the path of a file.
type Secret struct {
	Value string `json:"value"`
	File  string `json:"file"`
}

// Read returns the secret's bytes. It trims surrounding white space from a file's
// contents, but not from Value.
func (s Secret) Read() ([]byte, error) {
	if s.File == "" {
		return []byte(s.Value), nil
	}
	data, err := os.ReadFile(s.File)
	return []byte(strings.TrimSpace(string(data))), errors.Wrap(err, "config: read secret")
}

// Sessions configures session tokens.
type Sessions struct {
	// TTL is the time after which an idle session expires.
	TTL resource.Duration `json:"ttl"`
	// Keys verify session tokens. The first one also signs them.
	Keys []SessionKey `json:"keys"`
}

// SessionKey is a key that signs and verifies session tokens.
type SessionKey struct {
	ID     string `json:"id"`
	Secret Secret `json:"secret"`
}

// TLS names the files of the certificate, its key, and the authorities that
// verify the certificates of peers. The files are reloaded when they change.
type TLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
	CA   string `json:"ca"`
	// PeerName is the DNS name that the certificates of all hosts carry,
	// because hosts are addressed by IP address.
	PeerName string `json:"peer_name"`
	// Endpoints enables TLS on connections to endpoints as well.
	Endpoints bool `json:"endpoints"`
}

// Limits bound what one host accepts.
type Limits struct {
	// MaxBodyBytes bounds the size of a request body.
	MaxBodyBytes int64 `json:"max_body_bytes"`
	// BodyTimeout bounds the time that a caller may take to send the body.
	BodyTimeout resource.Duration `json:"body_timeout"`
	// WriteTimeout bounds the time that a caller may take to accept one event of a
	// stream.
	WriteTimeout resource.Duration `json:"write_timeout"`
	// MaxWaiting bounds the number of requests that wait for admission.
	MaxWaiting int `json:"max_waiting"`
	// MemoryBytes is the memory that the process may use; zero if it is not limited. A
	// fifth of it buffers answers.
	MemoryBytes int64 `json:"memory_bytes"`
}

// Drain bounds the graceful shutdown.
type Drain struct {
	// Timeout bounds the time for requests in flight to finish.
	Timeout resource.Duration `json:"timeout"`
	// EntryTTL is the time for which callers cache the list of entry hosts.
	EntryTTL resource.Duration `json:"entry_ttl"`
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		Listen:   Listen{Entry: "127.0.0.1:8080", Peer: "127.0.0.1:7080"},
		Platform: Platform{RatingsPerSecond: 20, WeightLoadsPerMinute: 6},
		Sessions: Sessions{TTL: resource.Duration(24 * time.Hour)},
		Limits: Limits{
			MaxBodyBytes: 4 << 20,
			BodyTimeout:  resource.Duration(10 * time.Second),
			WriteTimeout: resource.Duration(10 * time.Second),
			MaxWaiting:   10000,
		},
		Drain: Drain{
			Timeout:  resource.Duration(2 * time.Minute),
			EntryTTL: resource.Duration(2 * time.Second),
		},
		LogLevel: "info",
	}
}

// EntryAddress returns the address that callers connect to.
func (s Settings) EntryAddress() string {
	if s.Advertise.Entry != "" {
		return s.Advertise.Entry
	}
	return s.Listen.Entry
}

// PeerAddress returns the address that other hosts connect to.
func (s Settings) PeerAddress() string {
	if s.Advertise.Peer != "" {
		return s.Advertise.Peer
	}
	return s.Listen.Peer
}

// Level returns the log level.
func (s Settings) Level() slog.Level {
	var level slog.Level
	// Validate has checked the text. The zero level is info.
	_ = level.UnmarshalText([]byte(s.LogLevel))
	return level
}
