package ctl

import (
	"bytes"
	"context"
	"testing"

	"github.com/google/uuid"
)

// Guards against changes recorded without an author when $USER is not set.
func TestAuthorIsNeverEmpty(t *testing.T) {
	t.Setenv("USER", "")
	author := New(&bytes.Buffer{}).FlagSet.Lookup("author").DefValue
	if author == "" || author[0] == '@' {
		t.Errorf("author %q", author)
	}
}

// Guards against keys whose age the system cannot tell.
func TestNewKeyCarriesItsTime(t *testing.T) {
	var out bytes.Buffer
	if err := Run(context.Background(), []string{"newkey"}, &out); err != nil {
		t.Fatal(err)
	}
	id, err := uuid.ParseBytes(bytes.TrimSpace(out.Bytes()))
	if err != nil || id.Version() != 7 {
		t.Errorf("key %q: version %d, %v", out.String(), id.Version(), err)
	}
}
