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
	// DefaultLimit is how many events are kept on disk; they take about 2 MB.
	DefaultLimit = 10_000
	ringCapacity = 4096
	// storeBatch and deliverBatch bound what one transaction or call carries.
	storeBatch   = 512
	deliverBatch = 256
	// Pauses after a failed delivery, doubled up to the longest.
	shortestPause = 250 * time.Millisecond
	longestPause  = 5 * time.Second
	storePause    = time.Second
	// deliverTimeout bounds one delivery.
	deliverTimeout = 5 * time.Second
	// deliverSpacing is the least time between two deliveries that succeeded.
	// What is recorded meanwhile is folded, so a node in trouble sends few
	// batches of counts in place of many events.
	deliverSpacing = time.Second
	// slowStore is how long one transaction may take before the disk counts as
	// slow, and slowRepeat the least time between two events that say so.
	slowStore  = time.Second
	slowRepeat = time.Minute
	// deliverGrace is how long Flush waits for control once the events are
	// safe on disk; they are delivered after the next start otherwise.
	deliverGrace = time.Second
)

// Config describes a spool.
type Config struct {
	// Folder holds the spool's file.
	Folder string
	// Source and Boot name this run of the process in event ids.
	Source string
	Boot   uint64
	// Limit is how many events are kept; 0 means DefaultLimit.
	Limit int
}

// Deliver hands events to the journal. It returns nil once they are stored
// there, whether by this call or by an earlier one.
type Deliver func(ctx context.Context, events []*v1.Event) error

// Deps are the parts that a Spool works with.
type Deps struct {
	Deliver    Deliver
	Logger     logrus.FieldLogger
	Registerer prometheus.Registerer
}

// Spool is a durable queue of events. Run must run for it to make progress.
type Spool struct {
	config  Config
	deps    Deps
	store   *store
	waiting *ring.Ring[*v1.Event]
	// overflow counts events that the ring dropped.
	overflow atomic.Uint64
	// recorded and stored count events that entered and left the ring.
	recorded atomic.Uint64
	dropped  prometheus.Counter
	// arrived wakes the deliverer.
	arrived chan struct{}
	// sequence numbers the events of this run.
	sequence atomic.Uint64
	// slowTold and diskFailing belong to the writer.
	slowTold    time.Time
	diskFailing bool

	mutex    sync.Mutex
	handled  uint64
	inFlight uint64
	// attempted is the last number that a delivery was begun with. Control may
	// have stored events up to it although the answer was lost, so nothing is
	// folded into them any more and the next delivery repeats just them.
	attempted uint64
	pending   bool
	changed   chan struct{}
}

// Open opens the spool in a folder, with the events that an earlier run left.
// It fails if another process has it open.
func Open(config Config, deps Deps) (*Spool, error) {
	if config.Limit == 0 {
		config.Limit = DefaultLimit
	}
	opened, err := openStore(config.Folder)
	if err != nil {
		return nil, err
	}
	return &Spool{
		config:  config,
		deps:    deps,
		store:   opened,
		waiting: ring.New[*v1.Event](ringCapacity),
		dropped: promauto.With(deps.Registerer).NewCounter(prometheus.CounterOpts{
			Name: "martenstage_events_dropped_total",
			Help: "Events dropped because the spool was full.",
		}),
		arrived: make(chan struct{}, 1),
		changed: make(chan struct{}),
	}, nil
}

// Record takes an event. It does not block; when the ring is full the oldest
// event in it is dropped and counted.
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
	if lost := s.waiting.PushDropOldest(toWire(event)); lost > 0 {
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

// Run stores and delivers events until the context ends, then stores what is
// still waiting.
func (s *Spool) Run(ctx context.Context) {
	var delivering sync.WaitGroup
	delivering.Go(func() { s.deliverAll(ctx) })
	s.storeAll(ctx)
	delivering.Wait()
	if err := s.store.end(); err != nil {
		s.deps.Logger.WithField("reason", err).Warn("the next start will take this run for one that crashed")
	}
}

// RecordStart records the start of the process, and that the run before it was
// killed or crashed if so. Its events are on disk then, but for the last moments.
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
	err := s.await(ctx, func() bool { return s.handled >= target })
	return errors.Wrap(err, "store events")
}

// Flush waits until the events recorded so far are on disk and, for a moment
// longer, until control has them.
func (s *Spool) Flush(ctx context.Context) error {
	err := s.AwaitStored(ctx)
	if err != nil {
		return err
	}
	grace, cancel := context.WithTimeout(ctx, deliverGrace)
	defer cancel()
	err = s.await(grace, func() bool { return !s.pending })
	if err != nil {
		s.deps.Logger.Warn("events were stored but not delivered yet")
	}
	return nil
}

// await waits for a condition on the fields under the lock.
func (s *Spool) await(ctx context.Context, holds func() bool) error {
	for {
		s.mutex.Lock()
		reached, changed := holds(), s.changed
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

// update changes fields under the lock and wakes who waits for them.
func (s *Spool) update(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// numbered reports whether an event has its id from this run, and not from its
// recorder, who wants it kept as it is.
func (s *Spool) numbered(event *v1.Event) bool {
	return strings.HasPrefix(event.GetId(), s.idPrefix())
}

func (s *Spool) idPrefix() string { return fmt.Sprintf("%s/%d/", s.config.Source, s.config.Boot) }

// ownEvent is an event about the spool itself.
func (s *Spool) ownEvent(kind journal.Kind, count uint64, detail string) *v1.Event {
	now := timestamppb.Now()
	return &v1.Event{
		Id: s.nextID(), Time: now, LastTime: now, Kind: string(kind), Source: s.config.Source,
		Count: count, Detail: detail,
	}
}

// nextID returns source, boot number and sequence: no two events have the same,
// whether they reach control by way of the disk or without it.
func (s *Spool) nextID() string {
	return s.idPrefix() + strconv.FormatUint(s.sequence.Add(1), 10)
}
