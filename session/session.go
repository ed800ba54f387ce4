// Package session signs the tokens that pin a session to a model version. The
// caller sends the token with each request, so that no host needs to store the
// session.
package session

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/golang-jwt/jwt/v5"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// ErrInvalid reports a token that is malformed, expired, signed by an unknown
// key, or issued to another team.
var ErrInvalid = errors.New("session: invalid token")

// MinKeyBytes is the minimum length of a signing key, the output size of
// SHA-256.
const MinKeyBytes = 32

// Key is a signing key and the ID by which tokens refer to it.
type Key struct {
	ID     string
	Secret []byte
}

// Pin is the content of a session token: the model and version on which the
// session runs.
type Pin struct {
	// ID identifies the session.
	ID string
	// Team is the owner of the session.
	Team string
	// Model and Version are kept for the life of the session.
	Model   string
	Version string
}

type claims struct {
	jwt.RegisteredClaims
	Model   string `json:"mdl"`
	Version string `json:"ver"`
}

// Signer issues and verifies tokens. The first key signs and all keys verify,
// so that keys can be rotated without ending sessions.
type Signer struct {
	clock clockwork.Clock
	ttl   time.Duration
	keys  []Key
}

// NewSigner returns a signer. ttl is how long a token is valid. Answers carry a
// new token, so ttl is the time after which an idle session expires.
func NewSigner(clock clockwork.Clock, ttl time.Duration, keys []Key) (*Signer, error) {
	if len(keys) == 0 {
		return nil, errors.Wrap(ErrInvalid, "no signing key")
	}
	seen := make(map[string]bool)
	for _, k := range keys {
		if len(k.Secret) < MinKeyBytes || k.ID == "" || seen[k.ID] {
			return nil, errors.Wrapf(ErrInvalid, "signing key %q is too short, has no id or is listed twice", k.ID)
		}
		seen[k.ID] = true
	}
	return &Signer{clock: clock, ttl: ttl, keys: keys}, nil
}

// New returns the pin of a new session.
func New(team, model, version string) Pin {
	return Pin{ID: uuid.NewString(), Team: team, Model: model, Version: version}
}

// Sign returns a token for the pin that is valid for the signer's ttl.
func (s *Signer) Sign(p Pin) (string, error) {
	now := s.clock.Now()
	token := jwt.NewWithClaims(jwt.SigningMethodHS256, claims{
		RegisteredClaims: jwt.RegisteredClaims{
			ID:        p.ID,
			Subject:   p.Team,
			IssuedAt:  jwt.NewNumericDate(now),
			ExpiresAt: jwt.NewNumericDate(now.Add(s.ttl)),
		},
		Model:   p.Model,
		Version: p.Version,
	})
	token.Header["kid"] = s.keys[0].ID
	signed, err := token.SignedString(s.keys[0].Secret)
	return signed, errors.Wrap(err, "session: sign")
}

// Verify verifies a token for the team and returns its pin.
func (s *Signer) Verify(team, token string) (Pin, error) {
	var c claims
	_, err := jwt.ParseWithClaims(token, &c, s.secret,
		jwt.WithValidMethods([]string{jwt.SigningMethodHS256.Alg()}),
		jwt.WithTimeFunc(s.clock.Now),
		jwt.WithExpirationRequired())
	if err != nil {
		return Pin{}, errors.Mark(errors.Wrap(err, "session: verify"), ErrInvalid)
	}
	if c.Subject != team {
		return Pin{}, errors.Wrap(ErrInvalid, "token was issued to another team")
	}
	return Pin{ID: c.ID, Team: team, Model: c.Model, Version: c.Version}, nil
}

// secret returns the key that the token names in its header.
func (s *Signer) secret(token *jwt.Token) (any, error) {
	for _, k := range s.keys {
		if token.Header["kid"] == k.ID {
			return k.Secret, nil
		}
	}
	return nil, errors.Newf("unknown key id %v", token.Header["kid"])
}
