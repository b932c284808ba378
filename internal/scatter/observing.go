package scatter

import (
	"time"

	"github.com/martenstage/martenstage/internal/loadview"
)

// EngineLoad is what an engine observed itself; it holds no figure of ConditionsShared.
type EngineLoad struct {
	// Services are those on which calls wait or whose servers are in trouble: those with the
	// most servers in trouble, then the most waiting calls, first; at most loadview.MaxServices.
	Services []loadview.ServiceReport
	// Work is how long an attempt of a route occupies a slot of a sound server, by the name of
	// the route. Routes with too few observations are absent.
	Work map[string]time.Duration
	// Heard counts the servers that answered within the last 2 s, and Troubled those of them
	// that are in trouble.
	Heard    int
	Troubled int
}

// LoadReport returns what the engine observed up to now. Like Step, it must be called by the
// goroutine that owns the engine.
func (e *Engine) LoadReport(now time.Time) EngineLoad { return EngineLoad{} }
