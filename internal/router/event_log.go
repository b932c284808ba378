package router

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/logging"
)

// EventLog is an EventSink that only writes events to the log, for a router without
// control.
type EventLog struct{ Logger logrus.FieldLogger }

// Record implements EventSink.
func (l EventLog) Record(event journal.Event) {
	l.Logger.WithFields(logrus.Fields{
		"event":              string(event.Kind),
		logging.FieldService: event.Service,
		logging.FieldAddress: event.Address,
		"shard":              event.Shard,
		"detail":             event.Detail,
	}).Info("event")
}

// Flush implements EventSink.
func (l EventLog) Flush(context.Context) error { return nil }
