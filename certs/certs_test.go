package certs

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"log/slog"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// writeSelfSigned writes a self-signed certificate for ip, which is its own
// authority, and its key.
func writeSelfSigned(t *testing.T, dir string, serial int64, ip string, mtime time.Time) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.ParseIP(ip)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	f := Files{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "cert")}
	for name, block := range map[string]*pem.Block{f.Cert: {Type: "CERTIFICATE", Bytes: der}, f.Key: {Type: "PRIVATE KEY", Bytes: keyDER}} {
		if err := os.WriteFile(name, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(name, mtime, mtime); err != nil {
			t.Fatal(err)
		}
	}
	return f
}

// TestCertificateIsReloadedAndVerified guards against serving an old certificate
// after its files were replaced, and against clients that accept a certificate for
// another address.
func TestCertificateIsReloadedAndVerified(t *testing.T) {
	clock := clockwork.NewFakeClock()
	dir := t.TempDir()
	files := writeSelfSigned(t, dir, 1, "127.0.0.1", time.Unix(1000, 0))
	r, err := New(files, clock, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err != nil {
		t.Fatal(err)
	}
	ln, err := tls.Listen("tcp", "127.0.0.1:0", r.ServerConfig(true))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn) // ends when the client closes
				_ = conn.Close()
			}()
		}
	}()
	serial := func() (int64, error) {
		conn, err := r.DialTLS(context.Background(), "tcp", ln.Addr().String())
		if err != nil {
			return 0, err
		}
		defer conn.Close()
		return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
	}
	if got, err := serial(); got != 1 || err != nil {
		t.Fatalf("got serial %d, %v, want 1", got, err)
	}
	writeSelfSigned(t, dir, 2, "127.0.0.1", time.Unix(2000, 0))
	clock.Advance(2 * checkInterval)
	if got, err := serial(); got != 2 || err != nil {
		t.Fatalf("after the replacement: got serial %d, %v, want 2", got, err)
	}
	writeSelfSigned(t, dir, 3, "127.0.0.2", time.Unix(3000, 0))
	clock.Advance(2 * checkInterval)
	if _, err := serial(); err == nil {
		t.Fatal("a certificate for another address was accepted")
	}
}
