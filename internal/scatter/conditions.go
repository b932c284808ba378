package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/loadview"
)

// ConditionsShared reports the servers that routers of the site find in trouble. Each event
// replaces the previous one, and an event without servers discards it. Config.SharedConditions
// enables its use.
type ConditionsShared struct {
	// At is the time as of which the figures were valid, by the clock of Engine.Step
	// (loadview.Held.At). The weight of the figures falls with their age.
	At time.Time
	// Servers are the servers in trouble, by ID.
	Servers map[string]loadview.ServerState
}

func (ConditionsShared) isEvent() {}

// shareConditions records the servers in trouble.
func (e *Engine) shareConditions(ConditionsShared) {}
