package emulator

import (
	"sync/atomic"

	"github.com/martenstage/martenstage/internal/records"
)

// counters count what a server did, for the state call.
type counters struct {
	executed           atomic.Int64
	refused            atomic.Int64
	canceled           atomic.Int64
	cancels            atomic.Int64
	connections        atomic.Int64
	peakConnections    atomic.Int64
	connectionsRefused atomic.Int64
}

func (c *counters) count(execution *records.Execution) {
	if execution.Executed {
		c.executed.Add(1)
	}
	if execution.Refusal != "" {
		c.refused.Add(1)
	}
	if execution.Canceled {
		c.canceled.Add(1)
	}
}

// Counts are a server's counters at one moment.
type Counts struct {
	// Executed counts queries that began to run, Refused those that did not,
	// Canceled those of either kind that their client gave up.
	Executed int64 `json:"executed"`
	Refused  int64 `json:"refused"`
	Canceled int64 `json:"canceled"`
	// CancelCalls counts cancel calls, also for attempts not there.
	CancelCalls int64 `json:"cancel_calls"`
	// Connections counts accepted connections, ConnectionsRefused those closed
	// because of the limit, OpenConnections those open now, PeakConnections
	// the most that ever were.
	Connections        int64 `json:"connections"`
	ConnectionsRefused int64 `json:"connections_refused"`
	OpenConnections    int64 `json:"open_connections"`
	PeakConnections    int64 `json:"peak_connections"`
	// InFlight and Queued are the true load.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
}

// Counts returns the server's counters.
func (s *Server) Counts() Counts {
	load := s.slots.load()
	return Counts{
		Executed:           s.counters.executed.Load(),
		Refused:            s.counters.refused.Load(),
		Canceled:           s.counters.canceled.Load(),
		CancelCalls:        s.counters.cancels.Load(),
		Connections:        s.counters.connections.Load(),
		ConnectionsRefused: s.counters.connectionsRefused.Load(),
		OpenConnections:    s.open.Load(),
		PeakConnections:    s.counters.peakConnections.Load(),
		InFlight:           load.InFlight,
		Queued:             load.Queued,
	}
}
