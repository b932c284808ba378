package sockets

import (
	"time"

	"github.com/martenstage/martenstage/internal/emulator"
	"github.com/martenstage/martenstage/internal/load"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/records"
	"github.com/martenstage/martenstage/internal/router"
	"github.com/martenstage/martenstage/internal/servicetime"
)

// Config describes one run. Times count from Begin.
type Config struct {
	// Begin is when the load begins. Back ends and routers are started before.
	Begin time.Time
	// Plans are the configurations by time; the first is in force from the
	// start. The ports of replicas must be 0: back ends take free ones.
	Plans  []PlanStep
	Model  servicetime.Model
	Script []emulator.Fault
	Rolls  []emulator.Roll
	// ZoneDelay is the delay of each direction between two zones.
	ZoneDelay time.Duration
	// ProbeInterval is the pause between health probes of a back end.
	ProbeInterval time.Duration
	// Zones gives the zone of each router.
	Zones []string
	Stops []RouterStop

	Variant         string
	Seed            uint64
	Rates           []load.RouteRate
	Duration        time.Duration
	Resends         int
	ResendPause     time.Duration
	HonorRetryAfter bool
}

// PlanStep is a configuration that comes into force at a time.
type PlanStep struct {
	At   time.Duration
	Plan *plan.Plan
}

// RouterStop is the planned stop of a router, which starts again after Away.
type RouterStop struct {
	Router   int
	At, Away time.Duration
}

// Recorder receives what happened once the run is over, from one goroutine.
type Recorder interface {
	Execution(execution records.Execution)
	Departure(departure records.Departure)
	Stop(stop records.PlannedStop)
	Answer(answer records.CallerAnswer)
	// Closed says that nothing more will come about a request.
	Closed(request string)
}

// NewEngine makes an engine of a router. Only a variant that knows the future
// looks into the world.
type NewEngine func(world *World, router, engine int) router.Engine

// engines is how many engines each router has.
const engines = 4
