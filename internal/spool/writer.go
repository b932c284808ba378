package spool

import (
	"context"
	"fmt"
	"time"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/wait"
)

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
// ends. Meanwhile the ring takes events and drops the oldest. While the disk
// fails, events go to control without it: a node whose disk is broken or full
// must be able to say so.
func (s *Spool) storeBatch(ctx context.Context, events []*v1.Event) {
	left := uint64(len(events))
	folded := s.identified(fold(events, shortestWindow))
	lost := s.overflow.Swap(0)
	for {
		err := s.tryStore(folded, lost)
		if err == nil {
			s.diskFailing = false
			s.update(func() { s.handled += left + lost; s.pending = true })
			wait.Notify(s.arrived)
			return
		}
		s.deps.Logger.WithField("reason", err).Error("events can't be stored")
		if !s.diskFailing {
			s.diskFailing = true
			folded = append(folded, s.ownEvent(journal.KindDiskFailed, 1, "events can't be stored: "+err.Error()))
		}
		if s.deliverDirectly(ctx, folded) {
			s.overflow.Add(lost) // told of once the disk works again
			s.update(func() { s.handled += left })
			return
		}
		if !wait.For(ctx, storePause) {
			return
		}
	}
}

// tryStore is one attempt to store a batch. It adds an event when the disk was
// slow.
func (s *Spool) tryStore(events []*v1.Event, lost uint64) error {
	s.mutex.Lock()
	keep, attempted := s.inFlight, s.attempted
	s.mutex.Unlock()
	begun := time.Now()
	dropped, err := s.store.add(addition{
		events: events, lost: lost, limit: s.config.Limit, keep: keep, foldAfter: attempted, foldable: s.numbered,
	})
	if err != nil {
		return err
	}
	s.dropped.Add(float64(dropped + lost))
	s.deps.Logger.WithField("events", len(events)).Debug("events stored")
	took := time.Since(begun)
	if took >= slowStore && begun.Sub(s.slowTold) >= slowRepeat {
		s.slowTold = begun
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
		s.deps.Logger.WithField("reason", err).Debug("events can't be delivered without the disk")
	}
	return err == nil
}

// identified gives events without an id the next ones of this run.
func (s *Spool) identified(events []*v1.Event) []*v1.Event {
	for _, event := range events {
		if event.GetId() == "" {
			event.Id = s.nextID()
		}
	}
	return events
}
