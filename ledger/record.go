// Package ledger keeps one billing record for each request. A host keeps its
// records in memory with a copy at a peer, and writes them in batches to the
// key-value service. More than one record of a request may be stored; readers
// count one record for each id.
package ledger

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Errors of this package.
var (
	// ErrFull reports that too many records are waiting to be written.
	ErrFull = errors.New("ledger: too many unwritten records")
	// ErrFormat reports a stored value that cannot be decoded.
	ErrFormat = errors.New("ledger: malformed value")
	// ErrPending reports that some records could not be written yet.
	ErrPending = errors.New("ledger: records not written yet")
)

const (
	// Window is the time within which a retry is recognized as the same request if
	// its key contains no time.
	Window = 15 * time.Minute
	// KeyAge is the largest accepted age of a key that contains its creation time.
	KeyAge = 24 * time.Hour
	// keySkew is the largest accepted lead of a caller's clock.
	keySkew = 5 * time.Minute
	// idBytes is the length of a binary record id; with 16 bytes, collisions are
	// negligible.
	idBytes = 16
)

// ID identifies the record of one request.
type ID string

// RecordID returns the id of the record for a team's request key. It is the same
// on every host.
func RecordID(team, key string) ID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return ID(hex.EncodeToString(sum[:idBytes]))
}

// State is the stage of a record.
type State string

// The states of a record.
const (
	// StateOpen: the request has been accepted and may be running.
	StateOpen State = "open"
	// StateInterrupted: the request ended early, or its host failed.
	StateInterrupted State = "interrupted"
	// StateFinal: the request was answered.
	StateFinal State = "final"
)

func (s State) precedence() int {
	switch s {
	case StateFinal:
		return 2
	case StateInterrupted:
		return 1
	}
	return 0
}

// Record is the billing record of one request.
type Record struct {
	ID ID `json:"id"`
	// FilingMinute is the minute under which the record is stored. It is derived
	// from the key if possible, so that the records of all retries of a request
	// are found together.
	FilingMinute time.Time `json:"f"`
	// Completed is when the request ended; its minute is the billed one.
	Completed    time.Time `json:"c"`
	Team         string    `json:"t"`
	Model        string    `json:"m,omitempty"`
	Version      string    `json:"v,omitempty"`
	Rank         string    `json:"r"`
	InputTokens  int64     `json:"i,omitempty"`
	OutputTokens int64     `json:"o,omitempty"`
	// Cost is in price units.
	Cost  float64 `json:"p"`
	State State   `json:"s"`
	// Host is the host that ran the request.
	Host string `json:"h"`
}

// FilingMinute returns the minute under which the records of a key are stored. For
// a UUIDv7 it is the minute in the key, so that all retries are stored under the
// same minute however late they arrive; for other keys it is the minute of opened.
func FilingMinute(key string, opened time.Time) time.Time {
	id, err := uuid.Parse(key)
	if err == nil && id.Version() == 7 {
		at := time.Unix(id.Time().UnixTime())
		if age := opened.Sub(at); age < KeyAge && age > -keySkew {
			return at.UTC().Truncate(time.Minute)
		}
	}
	return opened.UTC().Truncate(time.Minute)
}

// Supersedes reports whether a counts instead of b, another record of the same id.
// The record in the more advanced state wins, then the one completed first, then
// the one whose host name sorts first.
func Supersedes(a, b Record) bool {
	if a.State.precedence() != b.State.precedence() {
		return a.State.precedence() > b.State.precedence()
	}
	if !a.Completed.Equal(b.Completed) {
		return a.Completed.Before(b.Completed)
	}
	return a.Host < b.Host
}

// keepBest adds r to the set unless the set has a record of the id that
// supersedes it.
func keepBest(set map[ID]Record, r Record) {
	if old, ok := set[r.ID]; !ok || Supersedes(r, old) {
		set[r.ID] = r
	}
}

// Store keys: ledger/<minute>/<host incarnation>/<sequence> for batches and
// ledger/<minute>/summary for summaries.
const (
	keyRoot      = "ledger/"
	minuteLayout = "20060102T1504"
	dayLayout    = "20060102"
	summaryName  = "summary"
)

func minutePrefix(minute time.Time) string {
	return keyRoot + minute.UTC().Format(minuteLayout) + "/"
}

// minuteOf returns the filing minute of a store key.
func minuteOf(key string) (time.Time, bool) {
	rest, ok := strings.CutPrefix(key, keyRoot)
	if !ok || len(rest) < len(minuteLayout) {
		return time.Time{}, false
	}
	t, err := time.Parse(minuteLayout, rest[:len(minuteLayout)])
	return t, err == nil
}

func encode(v any) ([]byte, error) {
	var out bytes.Buffer
	zw := gzip.NewWriter(&out)
	if err := json.NewEncoder(zw).Encode(v); err != nil {
		return nil, errors.Wrap(err, "ledger: encode")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "ledger: compress")
	}
	return out.Bytes(), nil
}

// maxDecodedBytes bounds the uncompressed size of a stored value.
const maxDecodedBytes = 64 << 20

func decode(data []byte, into any) error {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Mark(err, ErrFormat)
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxDecodedBytes)).Decode(into); err != nil {
		return errors.Mark(err, ErrFormat)
	}
	return nil
}
