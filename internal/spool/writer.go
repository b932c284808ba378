package spool

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/wait"
)

// runWriter stores events from the ring until the context ends, then those left in it.
func (s *Spool) runWriter(ctx context.Context) {
	for {
		select {
		case first := <-s.unstored.Items():
			s.storeBatch(ctx, s.drainRing(first))
		case <-ctx.Done():
			for rest := s.drainRing(nil); len(rest) > 0; rest = s.drainRing(nil) {
				s.storeBatch(ctx, rest)
			}
			return
		}
	}
}

// drainRing returns first, unless it is nil, and the events in the ring, at most
// storeBatch in all.
func (s *Spool) drainRing(first *v1.Event) []*v1.Event {
	var events []*v1.Event
	if first != nil {
		events = append(events, first)
	}
	for len(events) < storeBatch {
		select {
		case event := <-s.unstored.Items():
			events = append(events, event)
		default:
			return events
		}
	}
	return events
}

// storeBatch stores events and retries until that succeeds or the context ends.
// Meanwhile the ring accepts events and drops the oldest ones. While the disk fails,
// events are delivered directly, because a node whose disk is broken or full must be
// able to report it.
func (s *Spool) storeBatch(ctx context.Context, events []*v1.Event) {
	count := uint64(len(events))
	merged := s.assignIDs(mergeEqual(events, minWindow))
	lost := s.overflow.Swap(0)
	for {
		err := s.tryStore(merged, lost)
		if err == nil {
			s.diskFailing = false
			s.update(func() { s.processed += count + lost; s.pending = true })
			wait.Notify(s.notifyDeliverer)
			return
		}
		s.deps.Logger.WithField("reason", err).Error("events can't be stored")
		if !s.diskFailing {
			s.diskFailing = true
			merged = append(merged, s.newEvent(journal.KindDiskFailed, 1, "events can't be stored: "+err.Error()))
		}
		if s.deliverDirectly(ctx, merged) {
			s.overflow.Add(lost) // reported once the disk works again
			s.update(func() { s.processed += count })
			return
		}
		if !wait.For(ctx, storeRetryDelay) {
			return
		}
	}
}

// tryStore makes one attempt to store a batch. It records an event if the disk was
// slow.
func (s *Spool) tryStore(events []*v1.Event, lost uint64) error {
	s.mutex.Lock()
	keep, attempted := s.inFlight, s.attempted
	s.mutex.Unlock()
	begun := time.Now()
	dropped, err := s.store.add(writeBatch{
		events: events, lost: lost, limit: s.config.Limit, inFlight: keep, mergeAfter: attempted, mergeable: s.hasOwnID,
	})
	if err != nil {
		return err
	}
	s.dropped.Add(float64(dropped + lost))
	s.deps.Logger.WithField("events", len(events)).Debug("events stored")
	took := time.Since(begun)
	if took >= slowStoreThreshold && begun.Sub(s.lastSlowEvent) >= slowEventInterval {
		s.lastSlowEvent = begun
		s.Record(journal.Event{
			Kind: journal.KindDiskSlow, Detail: fmt.Sprintf("storing events took %s", took.Round(time.Millisecond)),
		})
	}
	return nil
}

func (s *Spool) deliverDirectly(ctx context.Context, events []*v1.Event) bool {
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	err := s.deps.Deliver(ctx, events)
	if err != nil {
		s.deps.Logger.WithField("reason", err).Debug("direct delivery of events failed")
	}
	return err == nil
}

// assignIDs assigns ids of this incarnation to events that have none.
func (s *Spool) assignIDs(events []*v1.Event) []*v1.Event {
	for _, event := range events {
		if event.GetId() == "" {
			event.Id = s.nextID()
		}
	}
	return events
}
