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

// Guards against sessions that end or move when keys are rotated or hosts
// replaced, and against tokens that another team, a forger or an old key can use.
func TestPinSurvivesRotation(t *testing.T) {
	clock := clockwork.NewFakeClock()
	old, err := NewSigner(clock, time.Hour, []Key{testKey("a")})
	if err != nil {
		t.Fatal(err)
	}
	pin := New("team", "model", "version-1")
	token, err := old.Sign(pin)
	if err != nil {
		t.Fatal(err)
	}
	rotated, _ := NewSigner(clock, time.Hour, []Key{testKey("b"), testKey("a")})
	if got, err := rotated.Verify("team", token); err != nil || got != pin {
		t.Errorf("after rotation: %+v, %v", got, err)
	}
	newToken, _ := rotated.Sign(pin)
	if _, err := old.Verify("team", newToken); !errors.Is(err, ErrInvalid) {
		t.Errorf("unknown key accepted: %v", err)
	}
	if _, err := rotated.Verify("other", token); !errors.Is(err, ErrInvalid) {
		t.Errorf("token of another team accepted: %v", err)
	}
	clock.Advance(time.Hour + time.Second)
	if _, err := rotated.Verify("team", token); !errors.Is(err, ErrInvalid) {
		t.Errorf("expired token accepted: %v", err)
	}
}

// Guards against a verifier that accepts a changed token.
func TestForgeryIsRefused(t *testing.T) {
	signer, err := NewSigner(clockwork.NewFakeClock(), time.Hour, []Key{testKey("a")})
	if err != nil {
		t.Fatal(err)
	}
	token, _ := signer.Sign(New("team", "model", "version"))
	rapid.Check(t, func(t *rapid.T) {
		at := rapid.IntRange(0, len(token)-2).Draw(t, "position") // the last character holds padding bits
		with := rapid.ByteRange('0', 'z').Draw(t, "byte")
		forged := token[:at] + string(with) + token[at+1:]
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
