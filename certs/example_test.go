package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"log/slog"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/certs"
)

// writeFiles writes a self-signed certificate and its key.
func writeFiles(dir string) (certs.Files, error) {
	f := certs.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "cert.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return f, err
	}
	tmpl := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{"entry"}, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return f, err
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return f, err
	}
	if err := os.WriteFile(f.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600); err != nil {
		return f, err
	}
	return f, os.WriteFile(f.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: private}), 0o600)
}

func Example() {
	dir, err := os.MkdirTemp("", "certs")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(dir) }()
	files, err := writeFiles(dir)
	if err != nil {
		fmt.Println(err)
		return
	}
	r, err := certs.New(files, clockwork.NewRealClock(), slog.New(slog.DiscardHandler))
	if err != nil {
		fmt.Println(err)
		return
	}
	// Each handshake uses the current contents of the files.
	fmt.Println(r.ServerConfig(true).GetConfigForClient != nil, r.ClientConfig() != nil)
	// Output: true true
}
