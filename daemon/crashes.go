package daemon

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/broadcast"
	"github.com/corianderlever/corianderlever/internal/crashreports"
	"github.com/corianderlever/corianderlever/kv"
)

// keyCrashRecord is the entry with the rejected messages.
const keyCrashRecord = "crashes/record"

// newCrashReports returns the exchange of crash reports with the other hosts.
func (s *signalService) newCrashReports() *crashreports.Exchange {
	self, members, call := s.opts.Settings.Host, s.membership.Members, s.peers.client.Call
	calls := broadcast.New(broadcast.Options{Self: self, Members: members, Call: call, Rand: s.opts.newRand(), Logger: s.opts.Logger})
	return crashreports.New(crashreports.Options{
		Self: self, Members: members, Call: call, CallAll: calls.All, Guard: s.parts, Clock: s.opts.Clock, Logger: s.opts.Logger,
	})
}

// newCrashRecorder returns the recorder of rejected messages. The first collector of crash
// reports writes the record.
func (s *signalService) newCrashRecorder() *crashreports.Recorder {
	store := s.platform.store
	return &crashreports.Recorder{
		Guard: s.parts, Writes: s.crashReports.Tries, Clock: s.opts.Clock, Logger: s.opts.Logger,
		Read: func(ctx context.Context) (kv.Entry, error) {
			entry, err := store.Get(ctx, keyCrashRecord)
			return entry, errors.Wrap(err, "daemon: read crash record")
		},
		Write: func(ctx context.Context, expect int64, record []byte) (int64, error) {
			revision, err := store.CompareAndSwap(ctx, keyCrashRecord, expect, record, 0)
			return revision, errors.Wrap(err, "daemon: write crash record")
		},
	}
}
