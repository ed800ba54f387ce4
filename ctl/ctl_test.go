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
		t.Errorf("got default author %q, want one that starts with a user name", author)
	}
}

// Guards against idempotency keys without a creation time, which the router needs
// to determine their age.
func TestNewKeyIsUUIDv7(t *testing.T) {
	var out bytes.Buffer
	if err := Run(context.Background(), []string{"newkey"}, &out); err != nil {
		t.Fatal(err)
	}
	id, err := uuid.ParseBytes(bytes.TrimSpace(out.Bytes()))
	if err != nil || id.Version() != 7 {
		t.Errorf("got key %q, version %d, error %v; want a UUIDv7", out.String(), id.Version(), err)
	}
}
