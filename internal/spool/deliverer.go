package spool

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/journal"
	"github.com/martenstage/martenstage/internal/wait"
)

// runDeliverer delivers stored events until the context ends.
func (s *Spool) runDeliverer(ctx context.Context) {
	delay := minRetryDelay
	for {
		delivered, err := s.deliverOldest(ctx)
		switch {
		case err != nil:
			s.deps.Logger.WithField("reason", err).Debug("event delivery failed; retrying after a delay")
			// Jitter keeps nodes from retrying at the same moment.
			if !wait.For(ctx, delay/2+rand.N(delay/2)) {
				return
			}
			delay = min(2*delay, maxRetryDelay)
			continue
		case delivered:
			delay = minRetryDelay
			if !wait.For(ctx, minDeliverInterval/2+rand.N(minDeliverInterval)) {
				return
			}
			continue
		}
		delay = minRetryDelay
		select {
		case <-s.notifyDeliverer:
		case <-ctx.Done():
			return
		}
	}
}

// deliverOldest delivers one batch and reports whether there was one.
func (s *Spool) deliverOldest(ctx context.Context) (delivered bool, err error) {
	if err := s.reportLoss(); err != nil {
		return false, err
	}
	found, err := s.nextBatch()
	if err != nil {
		return false, err
	}
	if found.last == 0 {
		return false, s.updatePending()
	}
	s.update(func() { s.inFlight, s.attempted = found.last, found.last })
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	err = s.deps.Deliver(ctx, found.events)
	if err == nil {
		err = s.store.removeTo(found.last)
	}
	s.update(func() { s.inFlight = 0 })
	if err != nil {
		return false, err
	}
	return true, s.updatePending()
}

// updatePending updates, for Flush, whether stored events are left to deliver.
func (s *Spool) updatePending() error {
	s.mutex.Lock()
	handled := s.processed
	s.mutex.Unlock()
	left, err := s.store.oldest(1, math.MaxUint64)
	if err != nil {
		return err
	}
	s.update(func() { s.pending = left.last != 0 || s.processed != handled })
	return nil
}

// nextBatch returns the batch of an attempt whose outcome is unknown, or else the oldest
// events.
func (s *Spool) nextBatch() (batch, error) {
	s.mutex.Lock()
	attempted := s.attempted
	s.mutex.Unlock()
	repeated, err := s.store.oldest(deliverBatch, attempted)
	if err != nil || repeated.last != 0 {
		return repeated, err
	}
	return s.store.oldest(deliverBatch, math.MaxUint64)
}

// reportLoss stores an event with the count of dropped events, if there are any.
func (s *Spool) reportLoss() error {
	count, err := s.store.lost()
	if err != nil || count == 0 {
		return err
	}
	return s.store.reportLoss(func(count uint64) *v1.Event {
		detail := fmt.Sprintf("%d events were dropped because the spool was full", count)
		return s.newEvent(journal.KindEventsDropped, count, detail)
	})
}
