package configstore

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"testing"
)

func gzipped(t testing.TB, text []byte) []byte {
	t.Helper()
	var buf bytes.Buffer
	zip := gzip.NewWriter(&buf)
	if _, err := zip.Write(text); err != nil {
		t.Fatal(err)
	}
	if err := zip.Close(); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// FuzzDecode guards against panics on a damaged stored configuration, and against
// an accepted configuration that changes when it is pushed to another host.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"revision":1,"change_id":"c","author":"a","time":"2026-01-01T00:00:00Z","resources":[{"kind":"Model","name":"m","spec":{}}]}`), true)
	f.Add([]byte(`{"revision":-1,"change_id":"c"}`), true)
	f.Add([]byte{0x1f, 0x8b, 0x08}, false)
	f.Fuzz(func(t *testing.T, data []byte, zip bool) {
		if zip {
			data = gzipped(t, data)
		}
		first, err := decode(data)
		if err != nil {
			return
		}
		if first.Revision <= 0 || first.ChangeID == "" {
			t.Fatalf("accepted revision %d of change %q", first.Revision, first.ChangeID)
		}
		value, err := encode(first)
		if err != nil {
			t.Fatalf("accepted value cannot be encoded: %v", err)
		}
		second, err := decode(value)
		if err != nil {
			t.Fatalf("decode of the encoded value: %v", err)
		}
		a, _ := json.Marshal(first)
		b, _ := json.Marshal(second)
		if !bytes.Equal(a, b) {
			t.Errorf("%s became %s", a, b)
		}
	})
}
