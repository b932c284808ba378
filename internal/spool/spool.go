package spool

import (
	"context"
	"fmt"
	"math/rand/v2"
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

	mutex    sync.Mutex
	handled  uint64
	inFlight uint64
	pending  bool
	changed  chan struct{}
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
}

// Close closes the file. Run must have returned.
func (s *Spool) Close() error { return s.store.close() }

// Flush waits until the events recorded so far are on disk and, for a moment
// longer, until control has them.
func (s *Spool) Flush(ctx context.Context) error {
	target := s.recorded.Load()
	err := s.await(ctx, func() bool { return s.handled >= target })
	if err != nil {
		return errors.Wrap(err, "store events")
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

// storeAll is the writer.
func (s *Spool) storeAll(ctx context.Context) {
	for {
		select {
		case first := <-s.waiting.Items():
			s.storeBatch(ctx, s.gather(first))
		case <-ctx.Done():
			for rest := s.gather(nil); len(rest) > 0; rest = s.gather(nil) {
				s.storeBatch(ctx, rest)
			}
			return
		}
	}
}

func (s *Spool) gather(first *v1.Event) []*v1.Event {
	var events []*v1.Event
	if first != nil {
		events = append(events, first)
	}
	for len(events) < storeBatch {
		select {
		case event := <-s.waiting.Items():
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}

// storeBatch stores events, and tries again until that succeeds or the context
// ends. Meanwhile the ring takes events and drops the oldest.
func (s *Spool) storeBatch(ctx context.Context, events []*v1.Event) {
	left := uint64(len(events))
	folded := fold(events)
	lost := s.overflow.Swap(0)
	for {
		s.mutex.Lock()
		keep := s.inFlight
		s.mutex.Unlock()
		dropped, err := s.store.add(addition{
			events: folded, lost: lost, limit: s.config.Limit, keep: keep, identify: s.identify,
		})
		if err == nil {
			s.dropped.Add(float64(dropped + lost))
			s.update(func() { s.handled += left + lost; s.pending = true })
			signal(s.arrived)
			return
		}
		s.deps.Logger.WithField("reason", err).Error("events can't be stored")
		if !sleep(ctx, storePause) {
			return
		}
	}
}

// deliverAll is the deliverer.
func (s *Spool) deliverAll(ctx context.Context) {
	pause := shortestPause
	for {
		more, err := s.deliverOldest(ctx)
		switch {
		case err != nil:
			s.deps.Logger.WithField("reason", err).Debug("events can't be delivered yet")
			// Full jitter keeps nodes from coming back all at once.
			if !sleep(ctx, pause/2+rand.N(pause/2)) {
				return
			}
			pause = min(2*pause, longestPause)
			continue
		case more:
			pause = shortestPause
			continue
		}
		pause = shortestPause
		select {
		case <-s.arrived:
		case <-ctx.Done():
			return
		}
	}
}

// deliverOldest delivers one batch and reports whether there may be more.
func (s *Spool) deliverOldest(ctx context.Context) (more bool, err error) {
	if err := s.tellLoss(); err != nil {
		return false, err
	}
	s.mutex.Lock()
	handled := s.handled
	s.mutex.Unlock()
	found, err := s.store.oldest(deliverBatch)
	if err != nil {
		return false, err
	}
	if found.last == 0 {
		s.update(func() { s.pending = s.handled != handled })
		return false, nil
	}
	s.update(func() { s.inFlight = found.last })
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	err = s.deps.Deliver(ctx, found.events)
	if err == nil {
		err = s.store.removeTo(found.last)
	}
	s.update(func() { s.inFlight = 0 })
	return err == nil, err
}

func (s *Spool) tellLoss() error {
	count, err := s.store.lost()
	if err != nil || count == 0 {
		return err
	}
	return s.store.tellLoss(addition{identify: s.identify, lossEvent: s.lossEvent})
}

func (s *Spool) lossEvent(count uint64) *v1.Event {
	now := timestamppb.Now()
	return &v1.Event{
		Time: now, LastTime: now, Kind: string(journal.KindEventsDropped), Source: s.config.Source,
		Count: count, Detail: fmt.Sprintf("%d events were dropped because the spool was full", count),
	}
}

// identify makes the id of a stored event from its number, which never comes
// again in this folder.
func (s *Spool) identify(number uint64) string {
	return fmt.Sprintf("%s/%d/%d", s.config.Source, s.config.Boot, number)
}

func signal(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// sleep reports whether it lasted to its end.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
