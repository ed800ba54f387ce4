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
	// windowFormat begins with the forms that name the hour and the day.
	windowFormat = "20060102T1504"
	hourFormat   = "20060102T15"
	dayFormat    = "20060102"
	idBytes      = 16
	// maxClaimBytes and maxAnswersBytes keep a page under the store's limit:
	// beyond the first no claim is added, beyond the second no answer.
	maxClaimBytes   = kv.MaxValueBytes * 7 / 8
	maxAnswersBytes = kv.MaxValueBytes / 2
	// claimOverhead is an upper bound of one encoded claim without its answer
	// and host name.
	claimOverhead = 128
)

// Key names one non-idempotent request.
type Key struct {
	// Team is the team of the caller.
	Team string
	// Service is the name of the plain service.
	Service string
	// Operation is the operation of the service.
	Operation string
	// IdempotencyKey is the caller's UUIDv7.
	IdempotencyKey string
}

// place is where a key's claim lives.
type place struct {
	id    string
	shard int
	page  string
	time  time.Time
}

// ID returns the identity of the claim, or ErrBadKey.
func (k Key) ID() (string, error) {
	id, err := uuid.Parse(k.IdempotencyKey)
	if err != nil || id.Version() != 7 {
		return "", ErrBadKey
	}
	sum := k.sum(id)
	return base64.RawURLEncoding.EncodeToString(sum[:idBytes]), nil
}

// sum hashes the parts with their lengths, so that no two keys run together.
func (k Key) sum(id uuid.UUID) [sha256.Size]byte {
	var buf []byte
	for _, part := range []string{k.Team, k.Service, k.Operation} {
		buf = binary.AppendUvarint(buf, uint64(len(part)))
		buf = append(buf, part...)
	}
	return sha256.Sum256(append(buf, id[:]...))
}

// locate derives page and shard from the key alone, so that all hosts look at
// the same page whatever their clocks say.
func (c *Claimer) locate(k Key) (place, error) {
	id, err := k.ID()
	if err != nil {
		return place{}, err
	}
	u := uuid.MustParse(k.IdempotencyKey)
	at := keyTime(u)
	shard := int(k.sum(u)[0]) % shards
	page := pagePrefix(shard) + at.Truncate(window).Format(windowFormat)
	return place{id: id, shard: shard, page: page, time: at}, nil
}

func pagePrefix(shard int) string { return fmt.Sprintf("%s%02d/", keyPrefix, shard) }

// keyTime reads the milliseconds in the first 48 bits of a UUIDv7.
func keyTime(u uuid.UUID) time.Time {
	var b [8]byte
	copy(b[2:], u[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(b[:]))).UTC()
}

// page is the stored value.
type page struct {
	Claims map[string]entry `json:"claims"`
}

// entry is one claim. The nonce tells the attempts with one key apart.
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
