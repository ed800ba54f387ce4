// Package logbatch logs changes of many subjects, such as the endpoints of a fleet. A
// change that comes alone gets a line of its own. Changes that come in a burst share lines
// that name each subject, so that the volume of the log stays bounded.
package logbatch

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// gatherTime is the time from the first change after a quiet time to its line.
	gatherTime = 50 * time.Millisecond
	// interval is the minimum time between two batches of lines, and so the maximum time
	// from a change to its line.
	interval = 500 * time.Millisecond
	// maxSubjectsBytes bounds the list of subjects in one line, unless a single subject is
	// longer. Whole lines stay below 4 KiB.
	maxSubjectsBytes = 3 << 10
)

// Kind is a kind of change.
type Kind struct {
	Level   slog.Level
	Message string
}

// Change is one change of a subject.
type Change struct {
	Kind Kind
	// ID names the subject.
	ID string
	// Common are attributes that other changes may have too. Changes of one kind with
	// equal Common share lines.
	Common []slog.Attr
	// Own are attributes of this change only. A line of several changes lists their values
	// behind the ID, each after an @.
	Own []slog.Attr
}

// Log logs changes. It is safe for concurrent use.
type Log struct {
	clock   clockwork.Clock
	logger  *slog.Logger
	subject string

	// writing is held while lines are written, so that they stay in order. Add never waits
	// for it.
	writing sync.Mutex

	mu        sync.Mutex
	pending   map[batchKey]*batch
	last      map[string]batchKey // batch of the last pending change of each subject
	timer     clockwork.Timer     // of the next flush; nil if nothing is pending
	flushedAt time.Time
}

// New returns a log of changes of subjects, which are called subject in the keys of the
// lines: subject for one, subject with an s for several.
func New(clock clockwork.Clock, logger *slog.Logger, subject string) *Log {
	l := &Log{clock: clock, logger: logger, subject: subject}
	l.reset()
	return l
}

// batchKey identifies the pending changes that share lines.
type batchKey struct {
	kind   Kind
	common string
	// layer orders the batches. It rises each time a subject's changes pass to another
	// batch, so that they are logged in order.
	layer int
}

// batch holds pending changes in order.
type batch struct {
	key     batchKey
	since   time.Time // time of the first change
	changes []Change
}

// Add logs a change within a fraction of a second. It does not wait for any write.
func (l *Log) Add(c Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := l.keyOf(c)
	b := l.pending[key]
	if b == nil {
		b = &batch{key: key, since: l.clock.Now()}
		l.pending[key] = b
	}
	b.changes = append(b.changes, c)
	l.last[c.ID] = key
	if l.timer == nil {
		l.timer = l.clock.AfterFunc(l.delay(), l.Flush)
	}
}

// keyOf returns the batch of a change: that of the subject's previous change or a later one.
func (l *Log) keyOf(c Change) batchKey {
	key := batchKey{kind: c.Kind, common: text(c.Common)}
	previous, ok := l.last[c.ID]
	if !ok {
		return key
	}
	key.layer = previous.layer
	if key != previous {
		key.layer++
	}
	return key
}

// delay returns the time until the next flush.
func (l *Log) delay() time.Duration {
	return max(gatherTime, interval-l.clock.Since(l.flushedAt))
}

// Flush writes what is pending and waits for lines that are being written.
func (l *Log) Flush() {
	l.writing.Lock()
	defer l.writing.Unlock()
	for _, b := range l.take() {
		l.write(b)
	}
}

// take removes the pending batches and returns them in the order of their lines.
func (l *Log) take() []*batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	batches := make([]*batch, 0, len(l.pending))
	for _, b := range l.pending {
		batches = append(batches, b)
	}
	slices.SortFunc(batches, func(a, b *batch) int {
		return cmp.Or(
			cmp.Compare(a.key.layer, b.key.layer),
			a.since.Compare(b.since),
			cmp.Compare(a.key.kind.Message, b.key.kind.Message),
			cmp.Compare(a.key.common, b.key.common),
		)
	})
	if l.timer != nil {
		l.timer.Stop()
	}
	l.reset()
	l.flushedAt = l.clock.Now()
	return batches
}

// reset forgets the pending changes.
func (l *Log) reset() {
	l.pending, l.last, l.timer = make(map[batchKey]*batch), make(map[string]batchKey), nil
}

// write writes the lines of a batch.
func (l *Log) write(b *batch) {
	for rest := b.changes; len(rest) > 0; {
		n, subjects := firstLine(rest)
		l.writeLine(b, rest[:n], subjects)
		rest = rest[n:]
	}
}

// firstLine returns how many of the changes fit into one line, and the list of their subjects.
func firstLine(changes []Change) (n int, subjects string) {
	var list strings.Builder
	for i, c := range changes {
		item := c.item()
		if i > 0 && list.Len()+len(" ")+len(item) > maxSubjectsBytes {
			return i, list.String()
		}
		if i > 0 {
			list.WriteByte(' ')
		}
		list.WriteString(item)
	}
	return len(changes), list.String()
}

// item returns a change as an item of a list.
func (c Change) item() string {
	item := c.ID
	for _, a := range c.Own {
		item += "@" + a.Value.String()
	}
	return item
}

// writeLine writes one line for some changes of a batch.
func (l *Log) writeLine(b *batch, changes []Change, subjects string) {
	var attrs []slog.Attr
	if len(changes) == 1 {
		attrs = append(attrs, slog.String(l.subject, changes[0].ID))
		attrs = append(attrs, changes[0].Own...)
	} else {
		attrs = append(attrs, slog.Int("count", len(changes)), slog.String(l.subject+"s", subjects))
	}
	attrs = append(attrs, changes[0].Common...)
	attrs = append(attrs, slog.Int64("age_ms", l.clock.Since(b.since).Milliseconds()))
	l.logger.LogAttrs(context.Background(), b.key.kind.Level, b.key.kind.Message, attrs...)
}

// text returns attributes in a form that can be compared.
func text(attrs []slog.Attr) string {
	out := make([]string, len(attrs))
	for i, a := range attrs {
		out[i] = a.String()
	}
	return strings.Join(out, " ")
}
