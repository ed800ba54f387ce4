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

const (
	// bufferShare is the part of a host's memory in which requests and answers are
	// buffered.
	bufferShare = 0.2
	// defaultBufferBytes applies if the memory limit is unknown.
	defaultBufferBytes = 32 << 20
)

// NewHostByteBudget returns the budget of a host with the given memory limit in bytes, zero
// if it is unknown.
func NewHostByteBudget(memoryLimit int64) *ByteBudget {
	if memoryLimit <= 0 {
		return NewByteBudget(defaultBufferBytes)
	}
	return NewByteBudget(int64(bufferShare * float64(memoryLimit)))
}

// Used returns the number of reserved bytes.
func (b *ByteBudget) Used() int64 { return b.used.Load() }

// Reserve takes n bytes from the budget, and reports whether there was room.
func (b *ByteBudget) Reserve(n int64) bool {
	for {
		used := b.used.Load()
		if used+n > b.limit {
			return false
		}
		if b.used.CompareAndSwap(used, used+n) {
			return true
		}
	}
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

// Accumulator collects bytes whose number is not known beforehand, within a maximum of its
// own and the budget of the host. Release must be called once they are no longer used.
type Accumulator struct {
	budget *ByteBudget
	max    int64
	// free is the capacity that does not count towards the budget.
	free     int64
	data     []byte
	reserved int64
}

// NewAccumulator returns an accumulator of at most limit bytes, of which the first free ones
// do not count towards the budget.
func (b *ByteBudget) NewAccumulator(limit, free int64) *Accumulator {
	return &Accumulator{budget: b, max: limit, free: free}
}

// Append adds data. The error is ErrTooLong or ErrBufferFull, and then nothing is added.
func (a *Accumulator) Append(data []byte) error {
	size := int64(len(a.data) + len(data))
	if size > a.max {
		return errors.Wrapf(ErrTooLong, "over %d", a.max)
	}
	if size > int64(cap(a.data)) {
		if err := a.grow(max(2*int64(cap(a.data)), size, a.free)); err != nil {
			return err
		}
	}
	a.data = append(a.data, data...)
	return nil
}

func (a *Accumulator) grow(size int64) error {
	extra := max(0, size-a.free-a.reserved)
	if extra > 0 && !a.budget.Reserve(extra) {
		return ErrBufferFull
	}
	a.reserved += extra
	a.data = append(make([]byte, 0, size), a.data...)
	return nil
}

// Bytes returns the collected bytes, which are valid until the next call.
func (a *Accumulator) Bytes() []byte { return a.data }

// Reset drops the collected bytes and keeps the capacity.
func (a *Accumulator) Reset() { a.data = a.data[:0] }

// Release drops the collected bytes and returns their part of the budget.
func (a *Accumulator) Release() {
	a.budget.Release(a.reserved)
	a.reserved, a.data = 0, nil
}
