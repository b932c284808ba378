package spool

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/types/known/timestamppb"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/ring"
)

const (
	// DefaultLimit is the maximum number of events on disk; they take about 2 MB.
	DefaultLimit = 10_000
	ringCapacity = 4096
	// storeBatch and deliverBatch are the maximum numbers of events in one
	// transaction and one delivery.
	storeBatch   = 512
	deliverBatch = 256
	// The delay after a failed delivery doubles from minRetryDelay up to
	// maxRetryDelay; a failed transaction is retried after storeRetryDelay.
	minRetryDelay   = 250 * time.Millisecond
	maxRetryDelay   = 5 * time.Second
	storeRetryDelay = time.Second
	// deliverTimeout is the timeout of one delivery.
	deliverTimeout = 5 * time.Second
	// minDeliverInterval is the base of the delay, with jitter, after a successful
	// delivery. Equal events recorded in the meantime are merged, so a node with
	// many failures sends few batches of counts instead of many events.
	minDeliverInterval = time.Second
	// slowStoreThreshold is the duration of a transaction from which the disk is
	// reported as slow, slowEventInterval the minimum time between two such reports.
	slowStoreThreshold = time.Second
	slowEventInterval  = time.Minute
	// deliverFlushTimeout is how long Flush waits for the delivery of events that
	// are stored on disk. Undelivered ones are delivered after the next start.
	deliverFlushTimeout = time.Second
)

// Config configures a Spool.
type Config struct {
	// Folder is the directory of the spool's file.
	Folder string
	// Source and Boot identify this incarnation of the process in event ids.
	Source string
	Boot   uint64
	// Limit is the maximum number of stored events; 0 means DefaultLimit.
	Limit int
}

// Deliver sends events to the journal. It returns nil once they are stored there,
// by this call or an earlier one.
type Deliver func(ctx context.Context, events []*v1.Event) error

// Deps are the dependencies of a Spool.
type Deps struct {
	Deliver    Deliver
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Spool is a durable queue of events. It makes progress only while Run is running.
type Spool struct {
	config   Config
	deps     Deps
	store    *store
	unstored *ring.Ring[*v1.Event]
	// overflow counts events that the ring dropped and that are not reported yet.
	overflow atomic.Uint64
	// recorded counts events passed to Record; see processed.
	recorded atomic.Uint64
	dropped  prometheus.Counter
	// notifyDeliverer signals the deliverer that events were stored.
	notifyDeliverer chan struct{}
	// sequence is the last sequence number used in an event id of this incarnation.
	sequence atomic.Uint64
	// lastSlowEvent and diskFailing are used by the writer only.
	lastSlowEvent time.Time
	diskFailing   bool

	mutex sync.Mutex
	// processed counts recorded events that were stored, delivered directly or dropped
	// by the ring.
	processed uint64
	inFlight  uint64
	// attempted is the last number of the latest batch that a delivery was attempted
	// for. The journal may have stored events up to it although the response was lost,
	// so nothing is merged into them any more and the next delivery repeats only them.
	attempted uint64
	pending   bool
	changed   chan struct{}
}

// Open opens the spool in a directory, including the undelivered events of earlier
// incarnations. It fails if another process has it open.
func Open(config Config, deps Deps) (*Spool, error) {
	if config.Limit == 0 {
		config.Limit = DefaultLimit
	}
	opened, err := openStore(config.Folder)
	if err != nil {
		return nil, err
	}
	return &Spool{
		config:   config,
		deps:     deps,
		store:    opened,
		unstored: ring.New[*v1.Event](ringCapacity),
		dropped: promauto.With(deps.Registerer).NewCounter(prometheus.CounterOpts{
			Name: "martenstage_events_dropped_total",
			Help: "Events dropped because the spool was full.",
		}),
		notifyDeliverer: make(chan struct{}, 1),
		changed:         make(chan struct{}),
	}, nil
}

// Record queues an event without blocking. If the ring is full, its oldest event is
// dropped and counted.
func (s *Spool) Record(event journal.Event) {
	if event.Source == "" {
		event.Source = s.config.Source
	}
	if event.Time.IsZero() {
		event.Time = time.Now()
	}
	s.deps.Logger.WithFields(logrus.Fields{
		"event": string(event.Kind), "service": event.Service, "shard": event.Shard,
		"address": event.Address, "detail": event.Detail,
	}).Info("event recorded")
	s.recorded.Add(1)
	if lost := s.unstored.PushDropOldest(toWire(event)); lost > 0 {
		s.overflow.Add(uint64(lost))
	}
}

func toWire(event journal.Event) *v1.Event {
	last := event.LastTime
	if last.IsZero() {
		last = event.Time
	}
	return &v1.Event{
		Id: event.ID, Time: timestamppb.New(event.Time), Kind: string(event.Kind), Source: event.Source,
		Service: event.Service, Shard: event.Shard, Address: event.Address, Detail: event.Detail,
		Count: max(event.Count, 1), LastTime: timestamppb.New(last),
	}
}

// Run stores and delivers events until the context ends, then stores the events left
// in the ring.
func (s *Spool) Run(ctx context.Context) {
	var delivering sync.WaitGroup
	delivering.Go(func() { s.runDeliverer(ctx) })
	s.runWriter(ctx)
	delivering.Wait()
	if err := s.store.markStopped(); err != nil {
		s.deps.Logger.WithField("reason", err).Warn("the clean shutdown was not recorded; the next start will report a crash")
	}
}

// RecordStart records the start of the process and, if the previous incarnation was
// killed or crashed, that too. The events of that incarnation are on disk, except for
// those of its last moments.
func (s *Spool) RecordStart(detail string) {
	s.Record(journal.Event{Kind: journal.KindRestarted, Detail: detail})
	if s.store.crashed {
		s.Record(journal.Event{Kind: journal.KindCrashed, Detail: "the run before did not end as planned"})
	}
}

// Close closes the file. Run must have returned.
func (s *Spool) Close() error { return s.store.close() }

// AwaitStored waits until the events recorded so far are on disk.
func (s *Spool) AwaitStored(ctx context.Context) error {
	target := s.recorded.Load()
	err := s.await(ctx, func() bool { return s.processed >= target })
	return errors.Wrap(err, "store events")
}

// Flush waits until the events recorded so far are on disk, and then at most
// deliverFlushTimeout until they are delivered.
func (s *Spool) Flush(ctx context.Context) error {
	err := s.AwaitStored(ctx)
	if err != nil {
		return err
	}
	grace, cancel := context.WithTimeout(ctx, deliverFlushTimeout)
	defer cancel()
	err = s.await(grace, func() bool { return !s.pending })
	if err != nil {
		s.deps.Logger.Warn("events were stored but not delivered yet")
	}
	return nil
}

// await waits until a condition on the fields guarded by mutex holds.
func (s *Spool) await(ctx context.Context, condition func() bool) error {
	for {
		s.mutex.Lock()
		reached, changed := condition(), s.changed
		s.mutex.Unlock()
		if reached {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// update changes fields guarded by mutex and notifies the goroutines in await.
func (s *Spool) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// hasOwnID reports whether the event's id was assigned by this incarnation of the
// spool. An event recorded with an id must be kept as it is.
func (s *Spool) hasOwnID(event *v1.Event) bool {
	return strings.HasPrefix(event.GetId(), s.idPrefix())
}

func (s *Spool) idPrefix() string { return fmt.Sprintf("%s/%d/", s.config.Source, s.config.Boot) }

// newEvent returns an event about the spool itself.
func (s *Spool) newEvent(kind journal.Kind, count uint64, detail string) *v1.Event {
	now := timestamppb.Now()
	return &v1.Event{
		Id: s.nextID(), Time: now, LastTime: now, Kind: string(kind), Source: s.config.Source,
		Count: count, Detail: detail,
	}
}

// nextID returns an id of source, boot number and sequence. It is unique, whether the
// event is delivered from disk or directly.
func (s *Spool) nextID() string {
	return s.idPrefix() + strconv.FormatUint(s.sequence.Add(1), 10)
}
