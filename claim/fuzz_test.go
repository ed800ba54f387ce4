package claim

import (
	"encoding/json"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// FuzzDecodePage guards against panics on a damaged page, and against claims that
// change or get lost when the page is written again, which would allow a second
// run.
func FuzzDecodePage(f *testing.F) {
	f.Add([]byte(`{"claims":{"id":{"nonce":"n","host":"h","answer":{"status":200,"body":"e30="}}}}`))
	f.Add([]byte(`{"claims":null}`))
	f.Add([]byte(``))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := decodePage(data)
		if err != nil {
			return
		}
		if first.Claims == nil {
			t.Fatal("decoded page has a nil claims map")
		}
		text, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := decodePage(text)
		// An empty body is stored like an absent one; the caller gets the same reply.
		if diff := cmp.Diff(first, second, cmpopts.EquateEmpty()); err != nil || diff != "" {
			t.Errorf("page changed when encoded again: diff %s, error %v", diff, err)
		}
	})
}
