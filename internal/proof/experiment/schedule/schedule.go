// Package schedule holds what runs on the virtual clock and over sockets are
// told and tell alike: the steps of a run, and the receiver of its records.
package schedule

import (
	"time"

	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/records"
)

// PlanStep is a configuration that comes into force at a time of the run.
type PlanStep struct {
	At   time.Duration
	Plan *plan.Plan
}

// RouterStop is the planned stop of a router, which starts again after Away.
type RouterStop struct {
	Router   int
	At, Away time.Duration
}

// Recorder receives the records of a run, from one goroutine.
type Recorder interface {
	Execution(execution records.Execution)
	Departure(departure records.Departure)
	Stop(stop records.PlannedStop)
	Answer(answer records.CallerAnswer)
	// Admission is what a router admitted under one revision. It comes before
	// the end of the run, in any order.
	Admission(admission records.Admission)
	// Closed says that nothing more will come about a request.
	Closed(request string)
}
