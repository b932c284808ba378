package scatter

import (
	"slices"
	"time"
)

// Cause is the reason why a call has no part yet.
type Cause uint8

// Causes, as found when a part is due or its request ends.
const (
	// CauseWorking: it was sent at once, and its server answers other requests.
	CauseWorking Cause = iota
	// CauseNoServer: no usable server of the shard is known, or all are suspected.
	CauseNoServer
	// CauseSlow: its server takes several times the typical time.
	CauseSlow
	// CausePaused: nothing has come from its server since it was sent.
	CausePaused
	// CauseNoCapacity: it is queued at this router for a server with capacity.
	CauseNoCapacity
	// CauseSentLate: it was sent late, after waiting for capacity.
	CauseSentLate
	// CauseNoToken: the budget denies another attempt.
	CauseNoToken
	// CauseFailed: its attempts have failed.
	CauseFailed
)

// String returns the cause in lower case, for logs.
func (c Cause) String() string {
	return [...]string{"working", "no_server", "slow", "paused", "no_room", "waited", "no_token", "failed"}[c]
}

// MissingPart describes a call without a part.
type MissingPart struct {
	Service string
	// Server is the one that was sent to last; empty for none.
	Server  string
	Failure Failure
	Cause   Cause
	// InFlight says that an attempt was still in flight.
	InFlight bool
	// Steps are the steps of the call, in order.
	Steps []Step
}

// maxMissingParts bounds the missing parts that a result describes.
const maxMissingParts = 8

func (e *Engine) result(pending *request) Result {
	result := Result{Attempts: pending.attempts, Extras: pending.extras, Denied: pending.denied}
	for _, c := range pending.calls {
		if c.part != nil {
			continue
		}
		result.MissingCount++
		if len(result.MissingParts) < maxMissingParts {
			result.MissingParts = append(result.MissingParts, e.missingPart(c))
		}
	}
	return result
}

func (e *Engine) missingPart(c *call) MissingPart {
	lack := MissingPart{
		Service: c.group.service, Failure: c.lastFailure, Cause: e.cause(c),
		InFlight: len(c.inFlight) > 0, Steps: c.steps,
	}
	if len(c.tried) > 0 {
		lack.Server = c.tried[len(c.tried)-1].ID
	}
	return lack
}

// Thresholds of causes.
const (
	// slowPace is the multiple of the typical time from which on a server counts as slow.
	slowPace = 3.0
	// longWaitShare is the share of the time until the due time from which on a wait for
	// capacity counts as the cause.
	longWaitShare = 0.25
)

// cause determines why a call has no part.
func (e *Engine) cause(c *call) Cause {
	switch {
	case !c.group.hasHealthy(e.now):
		return CauseNoServer
	case len(c.inFlight) > 0:
		return e.causeInFlight(c)
	case c.queued && c.lastStep() == StepDenied:
		return CauseNoToken
	case c.queued:
		return CauseNoCapacity
	case len(c.tried) > 0:
		return CauseFailed
	}
	return CauseNoServer
}

// causeInFlight is the cause for a call with an attempt in flight.
func (e *Engine) causeInFlight(c *call) Cause {
	a := c.inFlight[len(c.inFlight)-1]
	waited := a.started.Sub(c.request.arrived)
	switch {
	case a.server.stalled(e.now):
		return CausePaused
	case a.server.currentPace(e.now) >= slowPace:
		return CauseSlow
	case float64(waited) > longWaitShare*float64(c.request.timeAllowed()):
		return CauseSentLate
	}
	return CauseWorking
}

// timeAllowed is the time from the arrival of a request until its due time, or until its
// deadline if it has none.
func (r *request) timeAllowed() time.Duration { return r.usefulUntil().Sub(r.arrived) }

// usefulUntil is when a reply loses part of its value: the due time, or the deadline if the
// route has no target.
func (r *request) usefulUntil() time.Time {
	if r.due.IsZero() {
		return r.deadline
	}
	return r.due
}

// lastStep returns the kind of the last recorded step.
func (c *call) lastStep() StepKind {
	if len(c.steps) == 0 {
		return StepSent
	}
	return c.steps[len(c.steps)-1].Kind
}

// hasHealthy reports whether any server may get work and is not suspected.
func (g *group) hasHealthy(now time.Time) bool {
	return slices.ContainsFunc(g.servers, func(s *server) bool { return s.usable() && s.condition(now) < suspected })
}
