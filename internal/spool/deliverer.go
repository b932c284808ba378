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

// deliverAll is the deliverer.
func (s *Spool) deliverAll(ctx context.Context) {
	pause := shortestPause
	for {
		delivered, err := s.deliverOldest(ctx)
		switch {
		case err != nil:
			s.deps.Logger.WithField("reason", err).Debug("events can't be delivered yet")
			// Full jitter keeps nodes from coming back all at once.
			if !wait.For(ctx, pause/2+rand.N(pause/2)) {
				return
			}
			pause = min(2*pause, longestPause)
			continue
		case delivered:
			pause = shortestPause
			if !wait.For(ctx, deliverSpacing/2+rand.N(deliverSpacing)) {
				return
			}
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

// deliverOldest delivers one batch and reports whether there was one.
func (s *Spool) deliverOldest(ctx context.Context) (delivered bool, err error) {
	if err := s.tellLoss(); err != nil {
		return false, err
	}
	found, err := s.nextBatch()
	if err != nil {
		return false, err
	}
	if found.last == 0 {
		return false, s.notePending()
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
	return true, s.notePending()
}

// notePending tells Flush whether everything that was stored is delivered.
func (s *Spool) notePending() error {
	s.mutex.Lock()
	handled := s.handled
	s.mutex.Unlock()
	left, err := s.store.oldest(1, math.MaxUint64)
	if err != nil {
		return err
	}
	s.update(func() { s.pending = left.last != 0 || s.handled != handled })
	return nil
}

// nextBatch returns the batch whose answer was lost, or else the oldest events.
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

// tellLoss turns the count of dropped events into an event of its own.
func (s *Spool) tellLoss() error {
	count, err := s.store.lost()
	if err != nil || count == 0 {
		return err
	}
	return s.store.tellLoss(func(count uint64) *v1.Event {
		detail := fmt.Sprintf("%d events were dropped because the spool was full", count)
		return s.ownEvent(journal.KindEventsDropped, count, detail)
	})
}
