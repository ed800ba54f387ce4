package feed

import (
	"bytes"
	"compress/gzip"
	"encoding/gob"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/kv"
)

const (
	// minPackBytes is the size from which the data of an update is packed.
	minPackBytes = 2 << 10
	// maxUnpackedBytes bounds the data of an update after decompression.
	maxUnpackedBytes = 16 << 20
	// packCacheSize is the number of packed updates that are kept. Many hosts ask for
	// the same one, after a change or a start.
	packCacheSize = 8
)

// errUnpack reports packed data that cannot be decoded.
var errUnpack = errors.New("feed: malformed update")

// packKey identifies the data of an update.
type packKey struct {
	after, revision int64
	full            bool
}

// packedData is the data of an update in its packed form.
type packedData struct {
	Entries []kv.Entry
	Events  []kv.Event
}

// pack returns the data of u, compressed. Entries of one kind are much alike, so they
// are compressed together.
func pack(u *Update) ([]byte, error) {
	var buf bytes.Buffer
	w, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "feed: pack")
	}
	if err := gob.NewEncoder(w).Encode(packedData{Entries: u.Entries, Events: u.Events}); err != nil {
		return nil, errors.Wrap(err, "feed: pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "feed: pack")
	}
	return buf.Bytes(), nil
}

// unpack restores the data of a packed update.
func (u *Update) unpack() error {
	if u.Packed == nil {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(u.Packed))
	if err != nil {
		return errors.Mark(err, errUnpack)
	}
	defer r.Close()
	var data packedData
	if err := gob.NewDecoder(io.LimitReader(r, maxUnpackedBytes)).Decode(&data); err != nil {
		return errors.Mark(err, errUnpack)
	}
	u.Entries, u.Events, u.Packed = data.Entries, data.Events, nil
	return nil
}
