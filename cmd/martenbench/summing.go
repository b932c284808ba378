package main

import (
	"sync"

	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/report"
	"github.com/martenstage/martenstage/internal/records"
)

// summingRecorder passes answers on and keeps the last one of each request for
// the report.
type summingRecorder struct {
	mutex     sync.Mutex
	next      load.Recorder
	collector *report.Collector
	last      map[string]records.CallerAnswer
}

// Answer implements load.Recorder.
func (s *summingRecorder) Answer(answer records.CallerAnswer) {
	s.next.Answer(answer)
	answer.ItemDigests = nil // not needed for the sums, and most of the memory
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.last[answer.Request] = answer
}

func (s *summingRecorder) rows() []report.Row {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for request := range s.last {
		answer := s.last[request]
		s.collector.AddAnswer(&answer)
	}
	return s.collector.Rows()
}
