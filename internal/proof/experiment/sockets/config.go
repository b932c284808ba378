package sockets

import (
	"time"

	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/load"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/router"
)

// Config describes one run. Times count from Begin.
type Config struct {
	// Begin is when the load begins. Back ends and routers are started before.
	Begin time.Time
	// Plans are the configurations by time; the first is in force from the
	// start. The ports of replicas must be 0: back ends take free ones.
	Plans  []schedule.PlanStep
	Model  servicetime.Model
	Script []emulator.Fault
	Rolls  []emulator.Roll
	// ZoneDelay is the delay of each direction between two zones.
	ZoneDelay time.Duration
	// ProbeInterval is the pause between health probes of a back end.
	ProbeInterval time.Duration
	// Zones gives the zone of each router.
	Zones []string
	Stops []schedule.RouterStop

	Variant         string
	Seed            uint64
	Rates           []load.RouteRate
	Duration        time.Duration
	Resends         int
	ResendPause     time.Duration
	HonorRetryAfter bool
}

// NewEngine makes an engine of a router. Only a variant that knows the future
// looks into the world.
type NewEngine func(world *World, router, engine int) router.Engine

// engines is how many engines each router has.
const engines = 4
