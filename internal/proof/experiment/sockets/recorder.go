package sockets

import (
	"slices"
	"sync"
	"time"

	"github.com/martenstage/martenstage/internal/admissionrecord"
	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/records"
)

// memoryRecorder keeps what back ends and callers record until the run is
// over, so that judging it takes no processor time from the run. A record
// takes some 500 bytes.
type memoryRecorder struct {
	emulator.MemoryRecorder
	mutex   sync.Mutex
	stops   []records.PlannedStop
	answers []records.CallerAnswer
	// admitted are the summaries of all lives of all routers.
	admitted []*admissionrecord.Summary
}

// admissions returns where a life of a router notes what it admits.
func (m *memoryRecorder) admissions(node string) *admissionrecord.Summary {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	summary := admissionrecord.NewSummary(node)
	m.admitted = append(m.admitted, summary)
	return summary
}

// Answer implements load.Recorder.
func (m *memoryRecorder) Answer(answer records.CallerAnswer) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.answers = append(m.answers, answer)
}

func (m *memoryRecorder) stop(stop records.PlannedStop) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.stops = append(m.stops, stop)
}

// replay hands everything over: first what requests are judged against, then
// executions and departures by time, then answers, and last the end of every
// request.
func (m *memoryRecorder) replay(next schedule.Recorder) {
	for _, stop := range m.stops {
		next.Stop(stop)
	}
	for _, summary := range m.admitted {
		for _, admission := range summary.Take() {
			next.Admission(admission)
		}
	}
	executions, departures := m.Executions(), m.Departures()
	slices.SortStableFunc(executions, func(one, other records.Execution) int { return one.Arrived.Compare(other.Arrived) })
	for _, execution := range executions {
		for len(departures) > 0 && !momentOf(&departures[0]).After(execution.Arrived) {
			next.Departure(departures[0])
			departures = departures[1:]
		}
		next.Execution(execution)
	}
	for _, departure := range departures {
		next.Departure(departure)
	}
	for _, answer := range m.answers {
		next.Answer(answer)
	}
	m.close(next)
}

// close ends each request once, in the order of their first answers.
func (m *memoryRecorder) close(next schedule.Recorder) {
	closed := map[string]bool{}
	for _, answer := range m.answers {
		if !closed[answer.Request] {
			closed[answer.Request] = true
			next.Closed(answer.Request)
		}
	}
}

// momentOf returns when a departure was recorded: at its begin, or at the
// return of the back end.
func momentOf(departure *records.Departure) time.Time {
	if departure.Returned.IsZero() {
		return departure.Began
	}
	return departure.Returned
}
