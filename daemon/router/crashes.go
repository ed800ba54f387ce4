package router

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/corianderlever/corianderlever/internal/crashreports"
	"github.com/corianderlever/corianderlever/kv"
)

func (s *peerService) crashMarks() json.RawMessage {
	marks, err := s.host.crashes.Marks()
	if err != nil {
		s.host.opts.Logger.Error("crash marks not sent", "error", err)
		return nil
	}
	return marks
}

func (s *peerService) mergeCrashMarks(from string, marks json.RawMessage) {
	if err := s.host.crashes.MergeMarks(marks); err != nil {
		s.host.opts.Logger.Warn("signal refused", "signal", "crashes", "from", from, "error", err)
	}
}

func (s *peerService) partMarks() json.RawMessage {
	marks, err := s.host.parts.Marks()
	if err != nil {
		s.host.opts.Logger.Error("part marks not sent", "error", err)
		return nil
	}
	return marks
}

func (s *peerService) mergePartMarks(from string, marks json.RawMessage) {
	if err := s.host.parts.MergeMarks(marks); err != nil {
		s.host.opts.Logger.Warn("signal refused", "signal", "parts", "from", from, "error", err)
	}
}

// newCrashReports returns the exchange of crash reports with the other hosts.
func (s *peerService) newCrashReports() *crashreports.Exchange {
	opts := s.host.opts
	return crashreports.New(crashreports.Options{
		Self: opts.Settings.Host, Members: s.members.Members, Call: s.client.Call, CallAll: s.calls.All, Guard: s.host.parts,
		Clock: opts.Clock, Logger: opts.Logger,
	})
}

// writeCrashRecord writes the rejected prompt parts to the store.
func (h *Host) writeCrashRecord(ctx context.Context, expect int64, record []byte) (int64, error) {
	revision, err := h.opts.Store.Commit(ctx, []kv.Write{{Key: h.opts.Records.CrashRecordKey(), Expect: expect, Value: record}})
	return revision, errors.Wrap(err, "router: commit")
}
