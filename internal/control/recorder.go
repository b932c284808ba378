package control

import (
	"context"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/martenstage/martenstage/internal/exitcode"
	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/spool"
)

// eventsFolder is the subfolder of the data folder for the voter's own events.
const eventsFolder = "events"

// recorder delivers the voter's own events to the replicated journal through the
// leader. Events stay on the voter's disk until a leader has committed them, so a
// voter that is killed while there is no quorum loses none.
type recorder struct{ spool *spool.Spool }

// openRecorder opens the spool in a data folder, including events left by an
// earlier run.
func openRecorder(server *Server, folder string, registerer prometheus.Registerer) (*recorder, error) {
	deliver := func(ctx context.Context, events []*v1.Event) error {
		for _, event := range events {
			event.Detail = truncate(event.GetDetail(), maxEventBytes)
		}
		_, err := journalService{server}.Append(ctx, connect.NewRequest(&v1.AppendEventsRequest{Events: events}))
		return err
	}
	opened, err := spool.Open(
		spool.Config{Folder: filepath.Join(folder, eventsFolder), Source: server.name(), Boot: uint64(time.Now().UnixNano())},
		spool.Deps{Deliver: deliver, Logger: server.logger, Registerer: registerer})
	if err != nil {
		return nil, exitcode.With(exitcode.DataFolder, err)
	}
	return &recorder{spool: opened}, nil
}

// Record adds an event. It does not block.
func (r *recorder) Record(event journal.Event) { r.spool.Record(event) }

// run stores and delivers events until the context ends.
func (r *recorder) run(ctx context.Context) { r.spool.Run(ctx) }

// flush waits until the events recorded so far are on disk, and a short time
// longer for their delivery to the journal.
func (r *recorder) flush(ctx context.Context) error {
	return errors.Wrap(r.spool.Flush(ctx), "events")
}

// close closes the spool file. run must have returned.
func (r *recorder) close() error { return r.spool.Close() }
