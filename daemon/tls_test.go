package daemon_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	crand "crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"log/slog"
	"math/big"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/api"
	"github.com/corianderlever/corianderlever/config"
	"github.com/corianderlever/corianderlever/daemon"
	"github.com/corianderlever/corianderlever/kv/memkv"
)

const peerName = "corianderlever-peer"

// issueCert writes a self-signed certificate for the loopback address and the peer name.
func issueCert(t *testing.T, dir string, serial int64) *x509.CertPool {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), crand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: peerName}, DNSNames: []string{peerName},
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(crand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	for name, data := range map[string][]byte{"cert": certPEM, "key": pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})} {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(certPEM)
	return pool
}

// entriesOverTLS returns the number of hosts in the entry list of a host, and the serial
// number of the host's certificate. It returns zeros on errors.
func entriesOverTLS(addr string, pool *x509.CertPool) (int, int64) {
	transport := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool}, DisableKeepAlives: true}
	resp, err := (&http.Client{Transport: transport, Timeout: time.Second}).Get("https://" + addr + "/v1/entries")
	if err != nil {
		return 0, 0
	}
	defer resp.Body.Close()
	var list api.EntriesResponse
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return 0, 0
	}
	return len(list.Entries), resp.TLS.PeerCertificates[0].SerialNumber.Int64()
}

// TestTLSBetweenHostsAndCallers guards against hosts that cannot connect to each
// other or answer callers over TLS, and against a certificate that stays in use
// after its files were replaced.
func TestTLSBetweenHostsAndCallers(t *testing.T) {
	dir := t.TempDir()
	pool := issueCert(t, dir, 1)
	kv := memkv.New(clockwork.NewRealClock())
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var hosts []*daemon.Host
	var peers []string
	for i := range 2 {
		s := tlsSettings(t, dir, i)
		s.Peers = peers
		peers = append(peers, s.Listen.Peer)
		h, err := daemon.New(daemon.Options{
			Settings: s, KV: kv, Rand: rand.New(rand.NewPCG(1, uint64(i))), Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		if err != nil {
			t.Fatal(err)
		}
		if err := h.Start(ctx); err != nil {
			t.Fatal(err)
		}
		defer func() {
			if err := h.Stop(ctx); err != nil {
				t.Error(err)
			}
		}()
		hosts = append(hosts, h)
	}
	c := &cluster{t: t, ctx: ctx}
	for _, h := range hosts {
		c.eventually(10*time.Second, "both hosts are listed", func() bool {
			n, serial := entriesOverTLS(h.EntryAddress(), pool)
			return n == 2 && serial == 1
		})
	}
	pool = issueCert(t, dir, 2)
	c.eventually(10*time.Second, "the new certificate is served", func() bool {
		_, serial := entriesOverTLS(hosts[0].EntryAddress(), pool)
		return serial == 2
	})
}

func tlsSettings(t *testing.T, dir string, i int) config.Settings {
	t.Helper()
	s := config.Default()
	s.Host, s.FailureDomain = fmt.Sprint("entry-", i), fmt.Sprint("domain-", i)
	s.Platform.KV = "http://127.0.0.1:1" // replaced by the options
	s.ClusterKey.Value = "cluster-key-of-the-tls-test"
	s.Sessions.Keys = []config.SessionKey{{ID: "k", Secret: config.Secret{Value: "session-key-of-the-tls-test-with-32-bytes"}}}
	s.TLS = &config.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key"), CA: filepath.Join(dir, "cert"), PeerName: peerName}
	s.Listen.Entry, s.Listen.Peer = freePort(t), freePort(t)
	if err := s.Validate(); err != nil {
		t.Fatal(err)
	}
	return s
}

func freePort(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}
