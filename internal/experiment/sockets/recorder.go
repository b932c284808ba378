package sockets

import (
	"context"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/records"
)

const (
	// settleTime is how long after an answer its request is closed: longer
	// than a resend or an attempt that nobody waits for any more.
	settleTime = 6 * time.Second
	closeEvery = 100 * time.Millisecond
)

// serialRecorder lets back ends and callers record concurrently, and closes
// requests some time after their last answer.
type serialRecorder struct {
	mutex sync.Mutex
	next  Recorder
	// open is ordered by time. A request that was answered again has a later
	// entry, too, which answered points at.
	open     []openRequest
	answered map[string]time.Time
}

type openRequest struct {
	id       string
	answered time.Time
}

func newSerialRecorder(next Recorder) *serialRecorder {
	return &serialRecorder{next: next, answered: map[string]time.Time{}}
}

// Execution implements emulator.Recorder.
func (s *serialRecorder) Execution(execution records.Execution) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next.Execution(execution)
}

// Departure implements emulator.Recorder.
func (s *serialRecorder) Departure(departure records.Departure) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next.Departure(departure)
}

// Answer implements load.Recorder.
func (s *serialRecorder) Answer(answer records.CallerAnswer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next.Answer(answer)
	s.answered[answer.Request] = answer.Received
	s.open = append(s.open, openRequest{id: answer.Request, answered: answer.Received})
}

func (s *serialRecorder) stop(stop records.PlannedStop) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.next.Stop(stop)
}

// run closes requests until the context ends.
func (s *serialRecorder) run(ctx context.Context) {
	ticker := time.NewTicker(closeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.closeBefore(now.Add(-settleTime))
		}
	}
}

// closeBefore closes the requests whose last answer is older than a moment.
func (s *serialRecorder) closeBefore(moment time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for len(s.open) > 0 && s.open[0].answered.Before(moment) {
		first := s.open[0]
		s.open = s.open[1:]
		if s.answered[first.id].Equal(first.answered) {
			delete(s.answered, first.id)
			s.next.Closed(first.id)
		}
	}
}
