package limiter

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Errors of ByteBudget.Read.
var (
	// ErrTooLong reports data that exceeds the limit of one reader.
	ErrTooLong = errors.New("limiter: more bytes than allowed")
	// ErrBufferFull reports data for which the budget of the host had no room.
	ErrBufferFull = errors.New("limiter: no room in the buffer of the host")
)

// ByteBudget bounds the bytes that a host buffers for all requests together, so that
// peers that send without end cost the host the data that grew and not its memory. It
// is safe for concurrent use.
type ByteBudget struct {
	limit int64
	used  atomic.Int64
}

// NewByteBudget returns a budget of limit bytes.
func NewByteBudget(limit int64) *ByteBudget { return &ByteBudget{limit: limit} }

// Used returns the number of reserved bytes.
func (b *ByteBudget) Used() int64 { return b.used.Load() }

// Reserve takes n bytes from the budget, and reports whether there was room.
func (b *ByteBudget) Reserve(n int64) bool {
	if b.used.Add(n) <= b.limit {
		return true
	}
	b.used.Add(-n)
	return false
}

// Release returns n bytes to the budget.
func (b *ByteBudget) Release(n int64) { b.used.Add(-n) }

// minReadBytes is the capacity with which Read begins.
const minReadBytes = 4 << 10

// Buffer holds data that has been read and its part of the budget. Release must be
// called once the data is no longer used.
type Buffer struct {
	Data   []byte
	budget *ByteBudget
}

// Release returns the buffer's part of the budget. It has no effect on an empty buffer.
func (b *Buffer) Release() {
	if b.budget != nil {
		b.budget.Release(int64(cap(b.Data)))
	}
	b.Data, b.budget = nil, nil
}

// Read reads r to its end, but at most limit bytes. expected is the length that the
// sender has stated; negative if it has not. The buffer is empty after an error.
func (b *ByteBudget) Read(r io.Reader, limit, expected int64) (Buffer, error) {
	var buf Buffer
	if expected > limit {
		return buf, errors.Wrapf(ErrTooLong, "%d of at most %d", expected, limit)
	}
	// One byte more than expected detects the end without growth.
	if err := b.grow(&buf, min(max(expected+1, 0), limit+1)); err != nil {
		return buf, err
	}
	for {
		n, err := r.Read(buf.Data[len(buf.Data):cap(buf.Data)])
		buf.Data = buf.Data[:len(buf.Data)+n]
		if int64(len(buf.Data)) > limit {
			err = errors.Wrapf(ErrTooLong, "over %d", limit)
		} else if err == nil && len(buf.Data) == cap(buf.Data) {
			err = b.grow(&buf, min(2*int64(cap(buf.Data)), limit+1))
		}
		switch {
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			buf.Release()
			return buf, err
		}
	}
}

// grow moves the data to a larger buffer. Both count until the data has been copied.
func (b *ByteBudget) grow(buf *Buffer, size int64) error {
	size = max(size, minReadBytes)
	if !b.Reserve(size) {
		return ErrBufferFull
	}
	data := make([]byte, len(buf.Data), size)
	copy(data, buf.Data)
	buf.Release()
	buf.Data, buf.budget = data, b
	return nil
}
