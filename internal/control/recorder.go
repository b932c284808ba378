package control

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/ring"
)

// Bounds of recording.
const (
	// recorderRing is how many events may wait; the oldest are dropped first.
	recorderRing = 1024
	// recorderBatch is how many are appended at once.
	recorderBatch  = 100
	recordTimeout  = 3 * time.Second
	recordPause    = 250 * time.Millisecond
	maxRecordPause = 5 * time.Second
)

// recorder appends the voter's own events to the replicated journal, by way of
// the leader. An event that could not be appended yet is tried again; the
// journal stores it once.
type recorder struct {
	server  *Server
	source  string
	waiting *ring.Ring[*v1.Event]
	dropped prometheus.Counter
}

func newRecorder(server *Server, registerer prometheus.Registerer) *recorder {
	dropped := prometheus.NewCounter(prometheus.CounterOpts{
		Name: "martenstage_control_events_dropped_total",
		Help: "Events of this voter that were dropped before they reached the journal.",
	})
	registerer.MustRegister(dropped)
	return &recorder{
		server:  server,
		source:  fmt.Sprintf("control-%d", server.config.ID),
		waiting: ring.New[*v1.Event](recorderRing),
		dropped: dropped,
	}
}

// Record queues an event; the oldest waiting one is dropped when there is no
// room. An event without an id gets one.
func (r *recorder) Record(event journal.Event) {
	if event.Time.IsZero() {
		event.Time = r.server.config.Clock()
	}
	if event.Source == "" {
		event.Source = r.source
	}
	if event.ID == "" {
		event.ID = fmt.Sprintf("%s/%s/%s/%d", r.source, event.Kind, event.Address, event.Time.UnixNano())
	}
	r.server.logger.WithFields(logrus.Fields{
		"kind": string(event.Kind), "address": event.Address, "detail": event.Detail,
	}).Info("event")
	r.dropped.Add(float64(r.waiting.PushDropOldest(eventToWire(event))))
}

func eventToWire(event journal.Event) *v1.Event {
	last := event.LastTime
	if last.IsZero() {
		last = event.Time
	}
	return &v1.Event{
		Id:       event.ID,
		Time:     timestamppb.New(event.Time),
		Kind:     string(event.Kind),
		Source:   event.Source,
		Service:  event.Service,
		Shard:    event.Shard,
		Address:  event.Address,
		Detail:   truncate(event.Detail, maxEventBytes),
		Count:    max(event.Count, 1),
		LastTime: timestamppb.New(last),
	}
}

// run appends events until the context ends.
func (r *recorder) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-r.waiting.Items():
			r.append(ctx, r.gather(first))
		}
	}
}

func (r *recorder) gather(first *v1.Event) []*v1.Event {
	batch := []*v1.Event{first}
	for len(batch) < recorderBatch {
		select {
		case next := <-r.waiting.Items():
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// append repeats until the leader has committed the events.
func (r *recorder) append(ctx context.Context, events []*v1.Event) {
	for pause := recordPause; ; pause = min(2*pause, maxRecordPause) {
		attempt, cancel := context.WithTimeout(ctx, recordTimeout)
		_, err := journalService{r.server}.Append(attempt, connect.NewRequest(&v1.AppendEventsRequest{Events: events}))
		cancel()
		if err == nil {
			return
		}
		r.server.logger.WithError(err).Debug("events_not_recorded")
		if !sleep(ctx, jitter(pause)) {
			return
		}
	}
}
