package session_test

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/corianderlever/corianderlever/session"
)

func Example() {
	keys := []session.Key{{ID: "2026-12", Secret: []byte("a signing key of at least 32 bytes")}}
	signer, err := session.NewSigner(clockwork.NewRealClock(), 24*time.Hour, keys)
	if err != nil {
		fmt.Println(err)
		return
	}
	token, err := signer.Sign(session.New("workshop", "small", "small-1"))
	if err != nil {
		fmt.Println(err)
		return
	}
	pin, err := signer.Verify("workshop", token)
	fmt.Println(pin.Version, err)
	_, err = signer.Verify("convent", token)
	fmt.Println(errors.Is(err, session.ErrInvalid))
	// Output:
	// small-1 <nil>
	// true
}
