package session

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"
)

func testKey(id string) Key {
	return Key{ID: id, Secret: bytes.Repeat([]byte(id[:1]), MinKeyBytes)}
}

// TestPinSurvivesKeyRotation guards against sessions that end or change their
// version when keys are rotated or hosts replaced, and against tokens that are
// accepted although they are expired, belong to another team or are signed with
// an unknown key.
func TestPinSurvivesKeyRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	original, err := NewSigner(clock, time.Hour, []Key{testKey("a")})
	if err != nil {
		t.Fatal(err)
	}
	pin := New("team", "model", "version-1")
	token, err := original.Sign(pin)
	if err != nil {
		t.Fatal(err)
	}
	rotated, _ := NewSigner(clock, time.Hour, []Key{testKey("b"), testKey("a")})
	if got, err := rotated.Verify("team", token); err != nil || got != pin {
		t.Errorf("after rotation: got pin %+v, error %v, want the original pin", got, err)
	}
	newToken, _ := rotated.Sign(pin)
	if _, err := original.Verify("team", newToken); !errors.Is(err, ErrInvalid) {
		t.Errorf("token signed with an unknown key: got error %v, want ErrInvalid", err)
	}
	if _, err := rotated.Verify("other", token); !errors.Is(err, ErrInvalid) {
		t.Errorf("token of another team: got error %v, want ErrInvalid", err)
	}
	clock.Advance(time.Hour + time.Second)
	if _, err := rotated.Verify("team", token); !errors.Is(err, ErrInvalid) {
		t.Errorf("expired token: got error %v, want ErrInvalid", err)
	}
}

// TestForgedTokenIsRejected guards against a verifier that accepts a modified
// token.
func TestForgedTokenIsRejected(t *testing.T) {
	signer, err := NewSigner(clockwork.NewFakeClock(), time.Hour, []Key{testKey("a")})
	if err != nil {
		t.Fatal(err)
	}
	token, _ := signer.Sign(New("team", "model", "version"))
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(token)-2).Draw(t, "position") // the last character holds padding bits
		replacement := rapid.ByteRange('0', 'z').Draw(t, "byte")
		forged := token[:at] + string(replacement) + token[at+1:]
		if forged == token {
			return
		}
		if _, err := signer.Verify("team", forged); err == nil {
			t.Fatalf("forged token accepted: %s", forged)
		}
	})
}

func ExampleSigner() {
	signer, err := NewSigner(clockwork.NewRealClock(), time.Hour, []Key{testKey("a")})
	if err != nil {
		fmt.Println(err)
		return
	}
	token, err := signer.Sign(New("workshop", "small", "small-2"))
	if err != nil {
		fmt.Println(err)
		return
	}
	pin, err := signer.Verify("workshop", token)
	fmt.Println(pin.Version, err)
	// Output: small-2 <nil>
}
