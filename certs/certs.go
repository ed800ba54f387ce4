// Package certs provides TLS configurations whose certificate and authorities are
// reloaded when their files change.
package certs

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

// ErrInvalid reports certificate files that cannot be used.
var ErrInvalid = errors.New("certs: unusable file")

// checkInterval is the minimum interval between checks of the files. It limits file
// system reads when handshakes are frequent.
const checkInterval = time.Second

// Files holds the paths of PEM files.
type Files struct {
	Cert string
	Key  string
	// CA holds the authorities that verify the peer's certificate. Empty means
	// the system's authorities.
	CA string
}

// Reloader holds the newest usable certificate and authorities. It is safe for
// concurrent use.
type Reloader struct {
	files  Files
	clock  clockwork.Clock
	logger *slog.Logger

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      *tls.Certificate
	pool      *x509.CertPool
}

// New reads the files and returns a Reloader for them.
func New(files Files, clock clockwork.Clock, logger *slog.Logger) (*Reloader, error) {
	r := &Reloader{files: files, clock: clock, logger: logger, lastCheck: clock.Now()}
	modTimes, err := r.stat()
	if err != nil {
		return nil, err
	}
	if err := r.load(); err != nil {
		return nil, err
	}
	r.modTimes = modTimes
	return r, nil
}

// stat returns the modification times of the certificate, key and CA files.
func (r *Reloader) stat() ([3]time.Time, error) {
	var out [3]time.Time
	for i, name := range []string{r.files.Cert, r.files.Key, r.files.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, errors.Mark(errors.Wrap(err, "certs: stat"), ErrInvalid)
		}
		out[i] = info.ModTime()
	}
	return out, nil
}

// load reads the files. It changes r only if all of them are usable.
func (r *Reloader) load() error {
	cert, err := tls.LoadX509KeyPair(r.files.Cert, r.files.Key)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "certs: load key pair"), ErrInvalid)
	}
	var pool *x509.CertPool
	if r.files.CA != "" {
		pem, err := os.ReadFile(r.files.CA)
		if err != nil {
			return errors.Mark(errors.Wrap(err, "certs: read authorities"), ErrInvalid)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return errors.Wrapf(ErrInvalid, "no certificate in %s", r.files.CA)
		}
	}
	r.cert, r.pool = &cert, pool
	return nil
}

// current returns the newest certificate and authorities. While the files are
// unusable, such as between the writes of a certificate and its key, it returns
// the previous ones.
func (r *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	if now.Sub(r.lastCheck) < checkInterval {
		return r.cert, r.pool
	}
	r.lastCheck = now
	modTimes, err := r.stat()
	if err == nil && modTimes == r.modTimes {
		return r.cert, r.pool
	}
	if err == nil {
		err = r.load()
	}
	if err != nil {
		r.logger.Error("certificate not reloaded", "cert", r.files.Cert, "error", err)
		return r.cert, r.pool
	}
	r.modTimes = modTimes
	r.logger.Info("certificate reloaded", "cert", r.files.Cert)
	return r.cert, r.pool
}

// ServerConfig returns the TLS configuration of a server. If mutual is true, clients
// must present a certificate signed by one of the authorities. If it is false, the
// server requests no client certificate.
func (r *Reloader) ServerConfig(mutual bool) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := r.current()
			c := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*cert}, NextProtos: []string{"h2", "http/1.1"}}
			if mutual {
				c.ClientAuth, c.ClientCAs = tls.RequireAndVerifyClientCert, pool
			}
			return c, nil
		},
	}
}

// ClientConfig returns the TLS configuration of a client with the current
// authorities. Callers should request a new one for each connection.
func (r *Reloader) ClientConfig() *tls.Config {
	_, pool := r.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := r.current()
			return cert, nil
		},
	}
}

// DialTLS opens a TLS connection and verifies the server. It can be used as
// http.Transport.DialTLSContext.
func (r *Reloader) DialTLS(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := tls.Dialer{Config: r.ClientConfig()}
	conn, err := dialer.DialContext(ctx, network, addr)
	return conn, errors.Wrap(err, "certs: dial")
}
