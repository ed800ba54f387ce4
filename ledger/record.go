// Package ledger keeps one billing record for each request. A host keeps its
// records in memory with a copy at a peer, and writes them in batches to the
// key-value service. Whoever reads the bill keeps one record of each id.
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
	// ErrFull reports that too many records wait to be written.
	ErrFull = errors.New("ledger: too many records wait")
	// ErrFormat reports a stored value that cannot be decoded.
	ErrFormat = errors.New("ledger: malformed value")
	// ErrPending reports records that could not be written yet.
	ErrPending = errors.New("ledger: records not written")
)

const (
	// Window is the time within which a repeat with a key that carries no time
	// is recognised as the same request.
	Window = 15 * time.Minute
	// KeyAge is the largest age of a key that carries its time.
	KeyAge = 24 * time.Hour
	// keySkew allows for callers whose clocks are ahead.
	keySkew = 5 * time.Minute
	// idBytes is the length of a record id; collisions of 16 bytes are not to
	// be expected.
	idBytes = 16
)

// ID identifies the record of one request.
type ID string

// RecordID returns the id of the request of a team with a request key, the
// same on every host.
func RecordID(team, key string) ID {
	sum := sha256.Sum256([]byte(team + "\x00" + key))
	return ID(hex.EncodeToString(sum[:idBytes]))
}

// State tells how far a record is.
type State string

// The states of a record.
const (
	// StateOpen: the request has been accepted and may be running.
	StateOpen State = "open"
	// StateInterrupted: the request ended early, or its host died.
	StateInterrupted State = "interrupted"
	// StateFinal: the request was answered.
	StateFinal State = "final"
)

func (s State) order() int {
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
	// FilingMinute is the minute under which the record is stored; it depends on the
	// key, so that repeats of one request meet.
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

// FilingMinute returns the minute under which the records of a key are stored.
// A UUIDv7 carries its time, so its repeats meet whenever they come.
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

// Supersedes tells which of two records of one id counts: the one that is further,
// then the one completed first, then the one of the lower host.
func Supersedes(a, b Record) bool {
	if a.State.order() != b.State.order() {
		return a.State.order() > b.State.order()
	}
	if !a.Completed.Equal(b.Completed) {
		return a.Completed.Before(b.Completed)
	}
	return a.Host < b.Host
}

// keep adds a record to a set that holds the best one of each id.
func keep(set map[ID]Record, r Record) {
	if old, ok := set[r.ID]; !ok || Supersedes(r, old) {
		set[r.ID] = r
	}
}

// Store keys: ledger/<minute>/<host incarnation>/<sequence> for batches and
// ledger/<minute>/summary for folded minutes.
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

func pack(v any) ([]byte, error) {
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

// maxUnpackedBytes bounds what one stored value may expand to.
const maxUnpackedBytes = 64 << 20

func unpack(data []byte, into any) error {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Mark(err, ErrFormat)
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxUnpackedBytes)).Decode(into); err != nil {
		return errors.Mark(err, ErrFormat)
	}
	return nil
}
