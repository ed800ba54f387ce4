package relay

import (
	"log/slog"

	"github.com/corianderlever/corianderlever/fleet"
	"github.com/corianderlever/corianderlever/internal/logbatch"
)

var (
	kindFound     = logbatch.Kind{Level: slog.LevelInfo, Message: "endpoint found"}
	kindChanged   = logbatch.Kind{Level: slog.LevelInfo, Message: "endpoint changed"}
	kindGone      = logbatch.Kind{Level: slog.LevelInfo, Message: "endpoint gone"}
	kindCold      = logbatch.Kind{Level: slog.LevelInfo, Message: "endpoint cold"}
	kindRestarted = logbatch.Kind{Level: slog.LevelWarn, Message: "endpoint restarted"}
)

// changeLog logs the changes of endpoints.
type changeLog struct {
	log *logbatch.Log
}

func (l changeLog) add(c fleet.Change) {
	e := c.Endpoint
	service, draining := slog.String("service", e.Service), slog.Bool("draining", e.Draining)
	address := slog.String("address", e.Address)
	switch {
	case c.Removed:
		l.addChange(kindGone, e, address, service)
	case c.Restarted():
		l.addChange(kindRestarted, e, slog.Int64("started", e.Started), service)
	case c.Previous == nil:
		l.addChange(kindFound, e, address, service, slog.String("version", e.Version), draining)
	case c.Previous.Draining != e.Draining:
		l.addChange(kindChanged, e, slog.Int64("revision", e.Revision), service, draining)
	}
	if !c.Removed && e.ColdFor > 0 && (c.Previous == nil || c.Previous.ColdFor == 0) {
		l.addChange(kindCold, e, slog.Int64("for_ms", e.ColdFor.Milliseconds()), service)
	}
}

func (l changeLog) addChange(kind logbatch.Kind, e fleet.Endpoint, own slog.Attr, common ...slog.Attr) {
	l.log.Add(logbatch.Change{Kind: kind, ID: e.ID, Common: common, Own: []slog.Attr{own}})
}
