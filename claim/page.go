package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/corianderlever/corianderlever/kv"
)

// Page layout.
const (
	keyPrefix = "claim/"
	// windowLayout starts with hourLayout, which starts with dayLayout, so that a
	// day or an hour can be listed by prefix.
	windowLayout = "20060102T1504"
	hourLayout   = "20060102T15"
	dayLayout    = "20060102"
	idBytes      = 16
	// maxClaimBytes and maxAnswersBytes keep a page below the store's limit: no
	// claim is added to a page beyond maxClaimBytes, no answer beyond
	// maxAnswersBytes.
	maxClaimBytes   = kv.MaxValueBytes * 7 / 8
	maxAnswersBytes = kv.MaxValueBytes / 2
	// claimOverhead is an upper bound of the encoded size in bytes of one claim
	// without its answer and host name.
	claimOverhead = 128
)

// Key identifies one non-idempotent request.
type Key struct {
	// Team is the team of the caller.
	Team string
	// Service is the name of the service.
	Service string
	// Operation is the operation of the service.
	Operation string
	// IdempotencyKey is the UUIDv7 that the caller sent.
	IdempotencyKey string
}

// location is where the claim of a key is stored, together with the time in the key.
type location struct {
	id    string
	shard int
	page  string
	time  time.Time
}

// ID returns the id of the claim, or ErrBadKey if the idempotency key is not a
// UUIDv7.
func (k Key) ID() (string, error) {
	id, err := uuid.Parse(k.IdempotencyKey)
	if err != nil || id.Version() != 7 {
		return "", ErrBadKey
	}
	sum := k.sum(id)
	return base64.RawURLEncoding.EncodeToString(sum[:idBytes]), nil
}

// sum hashes the parts of the key with their lengths, so that different keys never
// give the same hash input.
func (k Key) sum(id uuid.UUID) [sha256.Size]byte {
	var buf []byte
	for _, part := range []string{k.Team, k.Service, k.Operation} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return sha256.Sum256(append(buf, id[:]...))
}

// locate derives page and shard from the key alone, so that all hosts use the same
// page even if their clocks differ.
func (c *Claimer) locate(k Key) (location, error) {
	id, err := k.ID()
	if err != nil {
		return location{}, err
	}
	u := uuid.MustParse(k.IdempotencyKey)
	at := keyTime(u)
	shard := int(k.sum(u)[0]) % shardCount
	page := pagePrefix(shard) + at.Truncate(pageWindow).Format(windowLayout)
	return location{id: id, shard: shard, page: page, time: at}, nil
}

func pagePrefix(shard int) string { return fmt.Sprintf("%s%02d/", keyPrefix, shard) }

// keyTime returns the time in the first 48 bits of a UUIDv7, in milliseconds.
func keyTime(u uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], u[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:]))).UTC()
}

// page is the stored value: the claims of one shard in one pageWindow, by id.
type page struct {
	Claims map[string]entry `json:"claims"`
}

// entry is one claim. The nonce distinguishes claims with the same key.
type entry struct {
	Nonce  string  `json:"nonce"`
	Host   string  `json:"host"`
	Answer *Answer `json:"answer,omitempty"`
}

func decodePage(value []byte) (page, error) {
	p := page{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &p); err != nil {
			return p, err
		}
	}
	if p.Claims == nil {
		p.Claims = make(map[string]entry)
	}
	return p, nil
}
