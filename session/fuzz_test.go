package session

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
)

// FuzzVerify guards against forged tokens: a token that verifies must be one
// that the signer issued for that team, up to the unused bits of the signature.
func FuzzVerify(f *testing.F) {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC))
	signer, err := NewSigner(clock, time.Hour, []Key{{ID: "k1", Secret: []byte(strings.Repeat("s", MinKeyBytes))}})
	if err != nil {
		f.Fatal(err)
	}
	pin := Pin{ID: "id", Team: "team", Model: "small", Version: "small-1"}
	valid, err := signer.Sign(pin)
	if err != nil {
		f.Fatal(err)
	}
	f.Add("team", valid)
	f.Add("other", valid)
	f.Add("team", "eyJhbGciOiJub25lIn0.eyJzdWIiOiJ0ZWFtIn0.")
	f.Add("team", "..")
	signedPart := valid[:strings.LastIndex(valid, ".")+1]
	f.Fuzz(func(t *testing.T, team, token string) {
		got, err := signer.Verify(team, token)
		if err != nil {
			if got != (Pin{}) {
				t.Errorf("rejected token returned pin %v, want none", got)
			}
			return
		}
		if got != pin || team != pin.Team || !strings.HasPrefix(token, signedPart) {
			t.Errorf("accepted token %q for team %q with pin %v", token, team, got)
		}
	})
}
