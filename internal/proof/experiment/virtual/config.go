package virtual

import (
	"net/netip"
	"time"

	"github.com/martenstage/martenstage/internal/proof/emulator"
	"github.com/martenstage/martenstage/internal/proof/experiment/schedule"
	"github.com/martenstage/martenstage/internal/proof/servicetime"
	"github.com/martenstage/martenstage/internal/query"
)

// Engine decides the life of requests; query.Engine is one.
type Engine interface {
	Step(now time.Time, event query.Event) []query.Command
}

// Config describes a world.
type Config struct {
	// Model gives service times; its seed drives every other choice.
	Model servicetime.Model
	// Plans are installed on every router in order; the first must be at 0.
	Plans []schedule.PlanStep
	// Script and Rolls are the faults and index versions of back ends. Of the
	// faults, slow, crash, drain, health_lie and health_frozen are modelled.
	Script []emulator.Fault
	Rolls  []emulator.Roll
	// Zones are those of the routers, one router each.
	Zones []string
	// Stops are planned stops of routers.
	Stops []schedule.RouterStop
	// LocalDelay and ZoneDelay are one-way delays within and between zones.
	LocalDelay time.Duration
	ZoneDelay  time.Duration
	// ConnectionSetup is the time that a new connection takes.
	ConnectionSetup time.Duration
	QueuePerSlot    int
	ColdStart       time.Duration
	ColdFactor      float64
	// ProbeEvery is the least pause between health probes, PlatformLag how much later
	// than a server's departure the platform list shows it.
	ProbeEvery  time.Duration
	PlatformLag time.Duration
	// Horizon is when arrivals end; the world runs until nothing is under way.
	Horizon time.Duration
	// Resends is how often a caller sends a failed request again; a pause that
	// the answer names is kept only if HonorRetryAfter is set.
	Resends         int
	ResendPause     time.Duration
	HonorRetryAfter bool
}

// NewEngine makes the engine of a router. The world is the one that it will
// run in; only a variant that knows the future looks into it.
type NewEngine func(world *World, router int) Engine

// Outlook is what is known beforehand about a query on a server.
type Outlook struct {
	Address netip.AddrPort
	// Finish is when the reply would be back at the router. ok is false when
	// the server would refuse the query.
	Finish time.Duration
	OK     bool
}
